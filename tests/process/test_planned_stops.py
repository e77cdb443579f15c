"""Planned stops of processes under load."""

import asyncio
import random

import testtools

from bench.cluster import Cluster, failure_domain_text, open_cluster
from bench.faults import FaultInjector
from bench.load import DONE, LoadGenerator
from bench.scenario import Layout, mixed_request, start_layout

LAYOUT = Layout(entries=3, keyed=3, pooled=3, target={"service_time_ms": 10})
RATE = 60.0
TEST_TIMEOUT_SECONDS = 50.0


async def stop_entry(cluster: Cluster, load: LoadGenerator, entry_id: str) -> int:
    """Stop an entry and, like a load balancer, send it no requests after its readiness check fails."""
    termination = asyncio.create_task(cluster.entries[entry_id].terminate())
    address = cluster.entry_addresses[entry_id]
    while True:
        async with cluster.session.get(f"http://{address}/readyz") as answer:
            if answer.status != 200:
                break
        await asyncio.sleep(0.02)
    load.addresses.remove(address)
    return await termination


class PlannedStopTest(testtools.TestCase):
    def test_planned_stops_interrupt_no_request(self):
        """Guards against a stop that closes connections too early and fails requests (invariant 9)."""

        async def main():
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS), open_cluster() as cluster:
                await start_layout(cluster, LAYOUT)
                injector = FaultInjector(cluster, LAYOUT, random.Random(1))
                load = LoadGenerator(
                    cluster.started_entry_addresses(), lambda number: mixed_request(LAYOUT, number, 100)
                )
                task = asyncio.create_task(load.run_open(RATE, TEST_TIMEOUT_SECONDS))
                await asyncio.sleep(0.5)
                statuses = [await stop_entry(cluster, load, "e0")]
                statuses += [await injector.stop_target("k0"), await injector.stop_target("p0")]
                await cluster.submit(failure_domain_text("b", "withdrawn"))
                await asyncio.sleep(3)
                await cluster.submit(failure_domain_text("b", "active"))
                leader = await cluster.wait_for_leader()
                statuses.append(await cluster.control[leader].terminate())
                await cluster.start_member(leader)
                await injector.wait_until_repaired(leader)
                load.stopped = True
                result = await task
                return statuses, [sample for sample in result.samples if sample.outcome != DONE], result

        statuses, failed, result = asyncio.run(main())
        print(f"{len(result.samples)} requests, slowest {result.percentile_ms(100) / 1000:.2f} s")
        self.assertEqual([0, 0, 0, 0], statuses)
        self.assertEqual([], failed)
