"""Concurrent tickets with equal numbers at different control members as processes."""

import asyncio
from http import HTTPStatus

import aiohttp
import testtools

from bench.cluster import Cluster, open_cluster, service_text

ROUNDS = 5
TEST_TIMEOUT_SECONDS = 60.0
MAX_ATTEMPTS = 100


async def submit(cluster: Cluster, member: int, text: str) -> int:
    """Submit a ticket to one member, retry without a leader, and return the HTTP status of the answer."""
    url = f"http://{cluster.peers[member].http}/v1/tickets"
    for _ in range(MAX_ATTEMPTS):
        try:
            async with cluster.session.post(url, data=text) as answer:
                if answer.status != HTTPStatus.SERVICE_UNAVAILABLE:
                    return answer.status
        except aiohttp.ClientError:
            member = (member + 1) % len(cluster.peers)
            url = f"http://{cluster.peers[member].http}/v1/tickets"
        await asyncio.sleep(0.05)
    raise AssertionError("no control member answered the ticket")


async def deadline_in_force(cluster: Cluster) -> int:
    """Return the deadline in ms of the service in the leader's configuration."""
    leader = await cluster.wait_for_leader()
    address = next(peer.http for peer in cluster.peers if peer.member_id == leader)
    content = await cluster.get_json(address, "/v1/configuration")
    return content["services"][0]["deadline_ms"]


class TicketRaceTest(testtools.TestCase):
    def test_one_of_two_tickets_with_equal_numbers_wins_and_stays(self):
        """Guards against two accepted tickets with one number and a reverted configuration (invariant 10)."""

        async def main():
            results = []
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS), open_cluster() as cluster:
                await cluster.start_control()
                for number in range(1, ROUNDS + 1):
                    deadlines = (1000 + number, 2000 + number)
                    texts = [
                        f"number = {number}\n{service_text('desk', 'pooled', deadline_ms=deadline)}"
                        for deadline in deadlines
                    ]
                    race = await asyncio.gather(submit(cluster, 1, texts[0]), submit(cluster, 2, texts[1]))
                    winner = race.index(HTTPStatus.OK)
                    if number == ROUNDS:
                        await cluster.control[await cluster.wait_for_leader()].kill()
                    resent = [await submit(cluster, 0, text) for text in texts]
                    results.append(
                        (sorted(race), race == resent, await deadline_in_force(cluster) == deadlines[winner])
                    )
            return results

        expected = ([HTTPStatus.OK, HTTPStatus.CONFLICT], True, True)
        self.assertEqual([expected] * ROUNDS, asyncio.run(main()))
