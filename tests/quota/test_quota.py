"""Replays of uneven arrivals at entries that share the quota of a customer."""

import asyncio
import random

import testtools

from tests.quota.feed_model import Cluster, customer, excess
from tests.support import run_in_simulated_time

RATE = 40.0
BURST = 40.0
BELOW = 0.8
"""Share of a quota that is used where nothing may be refused."""

FILL_S = 3.0
"""Time after which a new account is full and nothing of an earlier leader counts."""


def replay(entries, main, **quota):
    """Run ``main`` with a cluster whose accounts are full; return the cluster."""

    async def run():
        cluster = Cluster(entries, customer(**quota))
        for entry in cluster.entries:
            entry.send()
        await asyncio.sleep(FILL_S)
        await main(cluster)
        await cluster.finish()
        return cluster

    return run_in_simulated_time(run)


class QuotaTest(testtools.TestCase):
    """Never above rate x window + burst in any window; nothing refused that stays below."""

    def assert_below(self, cluster, rate=RATE, burst=BURST):
        assert excess(cluster.ran, rate, burst) <= 0
        assert not cluster.refused, f"{len(cluster.refused)} refused, {len(cluster.ran)} ran"

    def test_uneven_arrival(self):
        """Guards against tokens that lie unused at one entry while another refuses."""
        for entries in (1, 8, 80):
            rng = random.Random(entries)
            weights = [1 / (1 + number) for number in range(entries)]

            async def main(cluster, rng=rng, weights=weights):
                numbers = range(len(weights))
                await cluster.request_evenly(BELOW * RATE, 12, lambda count: rng.choices(numbers, weights)[0])

            self.assert_below(replay(entries, main))

    def test_burst(self):
        """Guards against a burst that is refused although the quota was unused before."""
        for entries in (1, 8, 80):

            async def main(cluster):
                for burst in range(3):
                    for number in range(int(BELOW * BURST)):
                        cluster.request(number * (burst + 1) % len(cluster.entries), cluster.customers[0])
                    await asyncio.sleep(3.0)

            self.assert_below(replay(entries, main))

    def test_overload(self):
        """Guards against more than the quota, and against much less, when entries ask for far more."""
        for entries in (1, 8, 80):
            rng = random.Random(entries)

            async def main(cluster, rng=rng, entries=entries):
                await cluster.request_evenly(4 * RATE, 12, lambda count: rng.randrange(entries))

            cluster = replay(entries, main)
            assert excess(cluster.ran, RATE, BURST) <= 0
            assert len(cluster.ran) > BELOW * RATE * 12, len(cluster.ran)
            assert all(0 < retry_after <= 60 for _, retry_after in cluster.refused)

    def test_overload_serves_in_time(self):
        """Guards against a customer over its quota whose requests are all served, but late."""
        for entries in (1, 8, 55):
            rng = random.Random(entries)

            async def main(cluster, rng=rng, entries=entries):
                await cluster.request_evenly(1.6 * RATE, 12, lambda count: rng.randrange(entries))

            cluster = replay(entries, main)
            waits = sorted(cluster.waits)
            assert len(waits) > BELOW * RATE * 12, len(waits)
            assert waits[len(waits) // 2] <= 0.3, waits[len(waits) // 2]

    def test_demand_that_moves(self):
        """Guards against tokens that stay where the demand was, in another failure domain."""

        async def main(cluster):
            rng = random.Random(5)
            for turn in range(8):
                first = turn % 3 * 10
                await cluster.request_evenly(
                    BELOW * RATE, 1.0, lambda count, first=first: first + rng.randrange(10)
                )

        self.assert_below(replay(30, main))

    def test_one_entry_only(self):
        """Guards against equal shares, of which a customer at one entry would get a small part."""

        async def main(cluster):
            await cluster.request_evenly(BELOW * RATE, 12, lambda count: 7)

        self.assert_below(replay(55, main))

    def test_takeover(self):
        """Guards against a new leader that grants again what its predecessor has granted."""

        async def main(cluster, load):
            rng = random.Random(9)
            load = asyncio.create_task(cluster.request_evenly(load, 10, lambda count: rng.randrange(20)))
            await asyncio.sleep(3.0)
            for _ in range(2):
                cluster.lose_leader()
                await asyncio.sleep(0.4)
                cluster.start_leader()
                await asyncio.sleep(2.5)
            await load

        self.assert_below(replay(20, lambda cluster: main(cluster, BELOW * RATE)))
        assert excess(replay(20, lambda cluster: main(cluster, 3 * RATE)).ran, RATE, BURST) <= 0

    def test_takeover_during_a_burst(self):
        """Guards against tokens of a predecessor that are used while the new leader grants as many."""

        async def main(cluster):
            for number in range(200):
                cluster.request(number % 8, cluster.customers[0])
            await asyncio.sleep(0.065)
            cluster.start_leader()
            for _ in range(20):
                for number in range(20):
                    cluster.request(number % 8, cluster.customers[0])
                await asyncio.sleep(0.2)

        assert excess(replay(8, main).ran, RATE, BURST) <= 0

    def test_restart_of_half_of_the_entries(self):
        """Guards against tokens that are lost with a process, or that count for its successor as well."""

        async def main(cluster, load):
            rng = random.Random(11)
            task = asyncio.create_task(cluster.request_evenly(load, 9, lambda count: rng.randrange(40)))
            await asyncio.sleep(3.0)
            for number in range(0, 40, 2):
                cluster.restart(number)
            await task

        self.assert_below(replay(40, lambda cluster: main(cluster, BELOW * RATE)))
        assert excess(replay(40, lambda cluster: main(cluster, 3 * RATE)).ran, RATE, BURST) <= 0

    def test_entry_without_contact(self):
        """Guards against an entry that goes on by itself when it is cut off."""

        async def main(cluster):
            rng = random.Random(13)
            task = asyncio.create_task(cluster.request_evenly(3 * RATE, 9, lambda count: rng.randrange(4)))
            await asyncio.sleep(3.0)
            cluster.entries[0].is_connected = False
            await asyncio.sleep(3.0)
            cluster.entries[0].is_connected = True
            await task

        cluster = replay(4, main)
        assert excess(cluster.ran, RATE, BURST) <= 0
        assert len(cluster.ran) > BELOW * RATE * 9

    def test_burst_beside_held_tokens(self):
        """Guards against an account that is full while entries still hold tokens, which a burst then uses."""
        for link_delay in (0.005, 0.06):

            async def main(cluster, link_delay=link_delay):
                cluster.link_delay = link_delay
                for count in range(12):
                    await cluster.request_evenly(0.5 * RATE, 0.8, lambda number: number % 2)
                    await asyncio.sleep(0.05 * count)
                    for number in range(120):
                        cluster.request(number % 2, cluster.customers[0])
                    await asyncio.sleep(2.0)

            cluster = replay(2, main)
            assert excess(cluster.ran, RATE, BURST) <= 0, excess(cluster.ran, RATE, BURST)

    def test_tokens_held_beyond_a_takeover(self):
        """Guards against a full account of a new leader beside tokens at an entry that it can't reach."""

        async def main(cluster):
            await cluster.request_evenly(0.7 * RATE, 3.0, lambda number: 0)
            cluster.entries[0].is_connected = False
            cluster.start_leader()
            await asyncio.sleep(1.5)
            for number in range(200):
                cluster.request(number % 2, cluster.customers[0])

        cluster = replay(2, main)
        assert excess(cluster.ran, RATE, BURST) <= 0, excess(cluster.ran, RATE, BURST)

    def test_busy_entry_holds_tokens_ahead(self):
        """Guards against requests that each wait for the leader at an entry that sees many of a customer."""

        async def main(cluster):
            await cluster.request_evenly(BELOW * RATE, 12, lambda count: count % 4)

        waits = replay(4, main).waits
        assert sum(wait == 0 for wait in waits) > 0.5 * len(waits)

    def test_any_order_of_faults(self):
        """Guards against an order of faults in which more runs than the quota, under three times the load."""
        for seed in range(12):
            rng = random.Random(seed)

            async def main(cluster, rng=rng):
                task = asyncio.create_task(
                    cluster.request_evenly(3 * RATE, 9, lambda count: rng.randrange(8))
                )
                while not task.done():
                    await asyncio.sleep(rng.uniform(0.0, 1.0))
                    number = rng.randrange(8)
                    fault = rng.choice(["leader", "restart", "cut", "burst", "rest"])
                    if fault == "leader":
                        cluster.lose_leader()
                        await asyncio.sleep(rng.uniform(0.0, 0.5))
                        cluster.start_leader()
                    elif fault == "restart":
                        cluster.restart(number)
                    elif fault == "cut":
                        entry = cluster.entries[number]
                        entry.is_connected = not entry.is_connected
                    elif fault == "burst":
                        for count in range(60):
                            cluster.request((number + count) % 8, cluster.customers[0])
                    else:
                        await asyncio.sleep(2.0)

            cluster = replay(8, main)
            assert excess(cluster.ran, RATE, BURST) <= 0, (seed, excess(cluster.ran, RATE, BURST))

    def test_quota_lowered_and_raised(self):
        """Guards against tokens of a larger quota, and against a small one that stays in force."""

        async def main(cluster):
            rng = random.Random(17)
            for rate in (40.0, 10.0, 40.0):
                cluster.customers = (customer(rate, rate),)
                changed_at = asyncio.get_running_loop().time()
                await cluster.request_evenly(BELOW * rate, 4, lambda count: rng.randrange(12))
                changes.append(changed_at)

        changes = []
        cluster = replay(12, main)
        self.assert_below(cluster)
        lowered = [time for time in cluster.ran if changes[1] + 0.5 <= time < changes[2]]
        assert excess(lowered, 10.0, 10.0) <= 0

    def test_lowered_quota_under_overload(self):
        """Guards against a lower quota that never comes into force."""

        async def main(cluster):
            rng = random.Random(19)
            task = asyncio.create_task(cluster.request_evenly(100, 9, lambda count: rng.randrange(12)))
            await asyncio.sleep(3.0)
            cluster.customers = (customer(10.0, 10.0),)
            changes.append(asyncio.get_running_loop().time())
            await task

        changes = []
        cluster = replay(12, main)
        lowered = [time for time in cluster.ran if time >= changes[0] + 1.0]
        assert excess(cluster.ran, RATE, BURST) <= 0
        assert excess(lowered, 10.0, 10.0) <= 0
        assert len(lowered) > BELOW * 10 * 4

    def test_refused_requests_give_their_share_back(self):
        """Guards against a customer whose requests find no room and that is then over its quota."""

        async def main(cluster):
            async def find_no_room():
                for count in range(1000):
                    cluster.request(count % 4, cluster.customers[0], give_back=True)
                    await asyncio.sleep(0.01)

            task = asyncio.create_task(find_no_room())
            await cluster.request_evenly(0.5 * RATE, 9, lambda count: count % 4)
            await task

        self.assert_below(replay(4, main))
