"""Faults in a cluster of processes, with checks of the recorded runs and answers."""

import asyncio
import random

import testtools

from bench.cluster import open_cluster, service_text
from bench.faults import FaultInjector
from bench.scenario import Layout, start_layout
from bench.trial import Trial

# Few keys, so that requests for one key often overlap and two owners at once are detected.
LAYOUT = Layout(entries=2, keyed=3, pooled=1, keys=20, target={"service_time_ms": 10})
RATE = 40.0
# Longer than the lease of a grant with its margin, so that control moves the keys of a frozen target.
LONGER_THAN_GRANT_SECONDS = 2.5
TEST_TIMEOUT_SECONDS = 60.0


async def lose_two_members(injector):
    """Lose a data directory, wait for the rejoin, then kill another member and submit a ticket without it."""
    cluster = injector.cluster
    leader = await cluster.wait_for_leader()
    first, second = (peer.member_id for peer in cluster.peers if peer.member_id != leader)
    await injector.lose_data_dir(first)
    await cluster.control[second].kill()
    injector.record(f"kill {second}")
    await injector.submit_and_record(service_text("spare", "pooled", deadline_ms=2000))
    await cluster.start_member(second)
    await injector.wait_until_repaired(second)


class ProcessFaultTest(testtools.TestCase):
    def test_invariants_hold_under_kills_freezes_and_a_lost_data_directory(self):
        """Guards against violations of invariants 1, 2, 5, 6, 7 and 10 between processes.

        Section 1.3 of docs/design.md lists them. Tests with fakes miss faults of separate clocks and of
        message order, because all fakes share one clock and one order of events.
        """

        async def main():
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS), open_cluster() as cluster:
                await start_layout(cluster, LAYOUT)
                injector = FaultInjector(cluster, LAYOUT, random.Random(1))
                trial = Trial(cluster, LAYOUT, injector)
                trial.start(RATE)
                leader = await cluster.wait_for_leader()
                await cluster.control[leader].kill()
                injector.record(f"kill {leader}")
                await injector.submit_and_record(service_text("spare", "pooled", deadline_ms=1000))
                await cluster.start_member(leader)
                await injector.wait_until_repaired(leader)
                await injector.kill_target("k0")
                await injector.freeze_target("k1", LONGER_THAN_GRANT_SECONDS)
                await injector.freeze_member(seconds=LONGER_THAN_GRANT_SECONDS)
                await injector.submit_and_record(service_text("spare", "pooled", deadline_ms=1500))
                await lose_two_members(injector)
                problems = await trial.stop()
                print(trial.summary())
                return problems, trial

        problems, trial = asyncio.run(main())
        self.assertEqual([], problems)
        self.assertTrue(trial.caller.served > 100, trial.summary())
        self.assertTrue(trial.reads.result.served_share() > 0.5, trial.summary())
        self.assertTrue(trial.moved_keys >= 5, "the faults caused too few moves of keys")
