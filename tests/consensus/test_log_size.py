"""Tests of the memory that large commands take in the log."""

import asyncio

import testtools

from cranberrylever.consensus._log import RaftLog
from cranberrylever.consensus._messages import EntryKind, LogEntry
from tests.consensus.cluster import Cluster, ListMachine, wait_for
from tests.support import run_in_simulated_time

COMMAND_BYTES = 20_000
COMMANDS = 120
SNAPSHOT_BYTES = 400_000


class LargeCommandsTest(testtools.TestCase):
    """Changes of a plan with many routes, each a large command, far fewer than cause a snapshot by number."""

    def play(self, restarts_member):
        """Return the largest log of any member in bytes after a row of large commands."""

        async def scenario():
            cluster = Cluster(3, snapshot_entries=10_000, snapshot_bytes=SNAPSHOT_BYTES)
            await cluster.start_all()
            leader = await cluster.wait_leader()
            largest = 0
            for number in range(COMMANDS):
                await cluster.propose(leader, b"%d" % number + b"x" * COMMAND_BYTES)
                largest = max(largest, *(driver.log_bytes() for driver in cluster.drivers.values()))
            assert len(cluster.acknowledged) == COMMANDS
            if restarts_member:
                follower = next(name for name, driver in cluster.drivers.items() if driver is not leader)
                await cluster.kill(follower)
                await cluster.propose(leader, b"while one is away")
                await cluster.start(follower)
                driver = cluster.drivers[follower]
                await wait_for(lambda: driver.applied_index == leader.applied_index)
                largest = max(largest, driver.log_bytes())
            await asyncio.sleep(0.5)
            await cluster.close()
            return largest

        return run_in_simulated_time(scenario)

    def test_log_of_large_commands_stays_small(self):
        """Guards against a member whose memory fills with plans until it exceeds its limit."""
        assert self.play(restarts_member=False) <= 1.5 * SNAPSHOT_BYTES

    def test_restarted_member_reads_a_small_log(self):
        """Guards against a member that exceeds its memory each time it starts."""
        assert self.play(restarts_member=True) <= 1.5 * SNAPSHOT_BYTES

    def test_restarted_member_takes_no_snapshot_for_what_one_covers(self):
        """Guards against a recovery that writes one snapshot after the other before the member can lead."""

        async def scenario():
            cluster = Cluster(1, snapshot_entries=10_000, snapshot_bytes=SNAPSHOT_BYTES)
            await cluster.start_all()
            leader = await cluster.wait_leader()
            for number in range(COMMANDS):
                await cluster.propose(leader, b"%d" % number + b"x" * COMMAND_BYTES)
                snapshot = leader.node.snapshot
                # Almost enough commands for the next snapshot, besides those kept before the last one.
                if snapshot is not None and leader.applied_index - snapshot.index == 18:
                    break
            else:
                raise AssertionError("snapshots come more often than their limit of bytes says")
            name = leader.config.member_id
            await cluster.kill(name)
            taken = []
            take_snapshot = ListMachine.snapshot

            def count_and_take(machine):
                taken.append(len(machine.items))
                return take_snapshot(machine)

            self.patch(ListMachine, "snapshot", count_and_take)
            await cluster.start(name)
            restarted = await cluster.wait_leader()
            await asyncio.sleep(1.0)
            assert restarted.applied_index == restarted.commit_index
            await cluster.close()
            return taken

        assert run_in_simulated_time(scenario) == []

    def test_size_follows_appends_truncations_and_compaction(self):
        """Guards against a size that drifts, so that no snapshot is taken or one after the other."""
        log = RaftLog(0, 0, [])
        for index in range(1, 11):
            log.append(LogEntry(index, 1, EntryKind.COMMAND, bytes(index)))
        assert log.size == 55
        log.truncate(9)
        assert log.size == 36
        assert log.index_before_last(8, 3, 1_000) == 5
        assert log.index_before_last(8, 100, 16) == 6
        log.compact(6)
        assert log.size == 15
        log.reset(20, 2)
        assert log.size == 0
