"""Planned stops of real processes under load."""

import asyncio

import testtools

from bench.cluster import Cluster, open_cluster
from bench.load import DONE, LoadGenerator
from bench.scenario import Layout, mixed_request, start_layout

LAYOUT = Layout(entries=3, keyed=3, pooled=3)
RATE = 60.0
SERVICE_MS = 50.0
# Between the readiness failing and the listener closing, a balancer has this time to send no more.
DRAIN_DELAY_SECONDS = 0.5
LIMIT_SECONDS = 60.0


async def stop_entry(cluster: Cluster, load: LoadGenerator, entry_id: str) -> int:
    """Stop an entry as a platform does: the balancer follows its readiness, then the process ends."""
    ending = asyncio.create_task(cluster.entries[entry_id].terminate())
    address = cluster.entry_addresses[entry_id]
    while True:
        async with cluster.session.get(f"http://{address}/readyz") as answer:
            if answer.status != 200:
                break
        await asyncio.sleep(0.02)
    load.addresses.remove(address)
    return await ending


class PlannedStopTest(testtools.TestCase):
    def test_planned_stops_interrupt_no_request(self):
        """Guards against requests cut off when an entry, the control leader or a target is stopped."""

        async def main():
            async with asyncio.timeout(LIMIT_SECONDS), open_cluster() as cluster:
                await start_layout(cluster, LAYOUT)
                load = LoadGenerator(
                    cluster.entry_list(), lambda number: mixed_request(LAYOUT, number, SERVICE_MS)
                )
                running = asyncio.create_task(load.run_open(RATE, LIMIT_SECONDS))
                await asyncio.sleep(1)
                statuses = [await stop_entry(cluster, load, "e0")]
                leader = await cluster.wait_for_leader()
                statuses.append(await cluster.control[leader].terminate())
                await asyncio.sleep(2)
                statuses.append(await cluster.targets["k0"].terminate())
                statuses.append(await cluster.targets["p0"].terminate())
                await asyncio.sleep(2)
                load.stopped = True
                return statuses, await running

        statuses, result = asyncio.run(main())
        self.assertEqual([0, 0, 0, 0], statuses)
        other = [sample for sample in result.samples if sample.outcome != DONE]
        self.assertEqual([], other)
        self.assertTrue(result.outcomes[DONE] > 300)
