"""Tests of a complete group with lost disks, promotion, snapshot installation, full disks and partitions."""

import asyncio
import collections
import errno

import testtools

from cranberrylever.consensus import MemoryDisk, MemoryStorage
from cranberrylever.consensus import _leadership as leadership
from cranberrylever.consensus._messages import LogEntry, SnapshotChunk
from cranberrylever.consensus._storage import StorageBatch
from cranberrylever.errors import NotLeaderError, ProposalLostError, StorageError
from cranberrylever.wire import decode
from tests.consensus.cluster import Cluster, wait_for
from tests.support import run_in_simulated_time


class GroupCase(testtools.TestCase):
    def run_group(self, scenario, size=3, **options):
        async def main():
            cluster = Cluster(size, min_delay=0.0005, max_delay=0.002, **options)
            await cluster.start_all()
            await cluster.wait_leader()
            await wait_for(lambda: all(cluster.is_active_voter(name) for name in cluster.names))
            await scenario(cluster)
            await cluster.close()

        run_in_simulated_time(main)

    async def propose_many(self, cluster, first, count):
        leader = await cluster.wait_leader()
        await asyncio.gather(*(leader.propose(b"%d" % number) for number in range(first, first + count)))
        cluster.acknowledged |= {b"%d" % number for number in range(first, first + count)}

    def follower_names(self, cluster):
        leader = cluster.leader()
        return [name for name in cluster.names if name != leader.config.member_id]


class LostDiskTest(GroupCase):
    def test_lost_disk_then_second_loss(self):
        """Guards against a lost acknowledged entry when a second disk fails after a promotion."""

        async def scenario(cluster):
            await self.propose_many(cluster, 0, 20)
            for turn in range(1, 7):
                name = cluster.names[turn % 3]
                await cluster.lose_disk(name)
                await self.propose_many(cluster, 100 * turn, 5)
                await cluster.start(name)
                await wait_for(lambda name=name: cluster.is_active_voter(name))
            leader = await cluster.wait_leader()
            cluster.check_read(leader, cluster.acknowledged)
            self.assertEqual(6, len(leader.node.memberships.latest.retired))

        self.run_group(scenario)

    def test_no_promotion_without_both_others(self):
        """Guards against a promotion that is committed by the promoted member or by a single other one."""

        async def scenario(cluster):
            first, second = self.follower_names(cluster)
            await cluster.lose_disk(first)
            cluster.network.partition({second}, set(cluster.names) - {second})
            await cluster.start(first)
            await asyncio.sleep(5)
            driver = cluster.drivers[first]
            self.assertFalse(driver.node.may_vote())
            self.assertEqual([], [d for d in cluster.drivers.values() if d.node.leadership])
            cluster.network.heal()
            await wait_for(lambda: cluster.is_active_voter(first))

        self.run_group(scenario)

    def test_empty_folders_form_no_group(self):
        """Guards against members with lost disks that form a second, empty group."""

        async def main():
            cluster = Cluster(3)
            for name in cluster.names:
                await cluster.start(name)
            await asyncio.sleep(10)
            for driver in cluster.drivers.values():
                self.assertIsNone(driver.leader_id)
                self.assertEqual(0, driver.term)
            await cluster.close()

        run_in_simulated_time(main)

    def test_repeated_bootstrap_does_not_vote(self):
        """Guards against a vote by a member with a lost disk that was started with bootstrap by mistake."""

        async def scenario(cluster):
            leader = cluster.leader().config.member_id
            first, second = self.follower_names(cluster)
            await cluster.lose_disk(first)
            await cluster.kill(leader)
            await cluster.start(first, bootstrap=True)
            await asyncio.sleep(5)
            self.assertIsNone(cluster.drivers[second].node.leadership)
            self.assertIsNone(cluster.drivers[first].node.leadership)
            await cluster.start(leader)
            await wait_for(lambda: cluster.is_active_voter(first))

        self.run_group(scenario)

    def test_replaced_folder_stops(self):
        """Guards against a vote with an old data directory after its member was promoted with a new one."""

        async def scenario(cluster):
            name = self.follower_names(cluster)[0]
            old = cluster.disks[name]
            await cluster.lose_disk(name)
            await cluster.start(name)
            await wait_for(lambda: cluster.is_active_voter(name))
            new = cluster.disks[name]
            await cluster.kill(name)
            cluster.disks[name] = old
            await cluster.start(name)
            driver = cluster.drivers.pop(name)
            error = await asyncio.wait_for(driver.wait_stopped(), 5)
            self.assertIsInstance(error, StorageError)
            self.assertIn(old.folder_id, str(error))
            cluster.disks[name] = new
            await cluster.start(name)
            await wait_for(lambda: cluster.is_active_voter(name))

        self.run_group(scenario)

    def test_folder_that_lost_its_log_stops(self):
        """Guards against a member that still votes with its directory after it lost acknowledged entries."""

        async def scenario(cluster):
            await self.propose_many(cluster, 0, 20)
            name = self.follower_names(cluster)[0]
            await wait_for(lambda: cluster.drivers[name].applied_index >= 20)
            await cluster.kill(name)
            del cluster.disks[name].entries[10:]
            await cluster.start(name)
            driver = cluster.drivers.pop(name)
            error = await asyncio.wait_for(driver.wait_stopped(), 5)
            self.assertIsInstance(error, StorageError)

        self.run_group(scenario)


class SnapshotTest(GroupCase):
    async def leave_behind(self, cluster):
        """Kill a follower and compact the log; return its name and the leader."""
        self.patch(leadership, "SNAPSHOT_CHUNK_BYTES", 700)
        name = self.follower_names(cluster)[0]
        await cluster.kill(name)
        await self.propose_many(cluster, 0, 800)
        leader = cluster.leader()
        await wait_for(lambda: leader.node.log.base_index > 500)
        return name, leader

    def test_member_far_behind_installs_snapshot(self):
        """Guards against a member that cannot catch up because the entries it lacks were compacted."""

        async def scenario(cluster):
            name, leader = await self.leave_behind(cluster)
            cluster.network.loss = 0.05
            await cluster.start(name)
            await wait_for(lambda: cluster.drivers[name].applied_index >= leader.commit_index)
            self.assertGreater(cluster.disks[name].snapshot.index, 500)
            self.assertEqual(leader.state_machine.items, cluster.drivers[name].state_machine.items)
            await cluster.kill(name)
            await cluster.start(name)
            await wait_for(lambda: cluster.drivers[name].applied_index >= leader.commit_index)
            self.assertEqual(leader.state_machine.items, cluster.drivers[name].state_machine.items)

        self.run_group(scenario)

    def test_chunk_under_way_is_not_sent_again(self):
        """Guards against a slow member for which the leader queues the same chunks again and again."""

        async def scenario(cluster):
            name, leader = await self.leave_behind(cluster)
            sent = collections.Counter()
            deliver = cluster.network.deliver

            def deliver_slowly(frame):
                if frame.receiver != name or frame.kind != "SnapshotChunk":
                    deliver(frame)
                    return
                chunk = decode(frame.body, SnapshotChunk)
                sent[chunk.last_index, chunk.offset] += 1
                asyncio.get_running_loop().call_later(0.2, deliver, frame)

            cluster.network.deliver = deliver_slowly
            await cluster.start(name)
            await wait_for(lambda: cluster.drivers[name].applied_index >= leader.commit_index)
            self.assertEqual({1}, set(sent.values()), sent)

        self.run_group(scenario)

    def test_log_is_compacted(self):
        """Guards against a log that grows without bound."""

        async def scenario(cluster):
            for turn in range(10):
                await self.propose_many(cluster, 1000 * turn, 100)
            await asyncio.sleep(1)
            for name in cluster.names:
                self.assertLess(len(cluster.disks[name].entries), 150)
                self.assertLess(len(cluster.drivers[name].node.log.entries), 150)

        self.run_group(scenario)


class FailureTest(GroupCase):
    def test_full_disk_stops_the_member(self):
        """Guards against a proposal that is acknowledged after a failed write."""

        async def scenario(cluster):
            await self.propose_many(cluster, 0, 5)
            leader = cluster.leader()
            name = leader.config.member_id
            for failed in cluster.names:
                if failed != self.follower_names(cluster)[0]:
                    cluster.storages[failed].error = OSError(errno.ENOSPC, "No space left on device")
            stopping = [d for n, d in cluster.drivers.items() if cluster.storages[n].error]
            cluster.drivers = {n: d for n, d in cluster.drivers.items() if d not in stopping}
            try:
                await leader.propose(b"never acknowledged")
            except ProposalLostError as error:
                self.assertIn("space", error.remedy)
            else:
                self.fail("a proposal on a full disk was acknowledged")
            self.assertIsInstance(leader.error, StorageError)
            self.assertRaises(NotLeaderError, leader._require_running)
            self.assertFalse(leader.has_lease(cluster.now()))
            for driver in stopping:
                await driver.wait_stopped()
                driver.transport.close()
                await driver.close()
            for failed in cluster.names:
                if failed not in cluster.drivers:
                    await cluster.start(failed)
            leader = await cluster.wait_leader()
            cluster.check_read(leader, cluster.acknowledged)
            self.assertIn(name, cluster.drivers)

        self.run_group(scenario)

    def test_partitioned_leader_loses_its_lease_first(self):
        """Guards against an old leader that still holds its lease when the new leader can commit."""

        async def scenario(cluster):
            old = cluster.leader()
            name = old.config.member_id
            cut_at = cluster.now()
            cluster.network.partition({name}, set(cluster.names) - {name})
            pending = asyncio.ensure_future(old.propose(b"lost"))
            reading = asyncio.ensure_future(old.read_barrier())
            await wait_for(lambda: not old.has_lease(cluster.now()))
            self.assertLess(cluster.now() - cut_at, 0.25)
            new = await cluster.wait_leader()
            self.assertIsNot(old, new)
            self.assertLess(cluster.now() - cut_at, 1.5)
            await new.propose(b"kept")
            self.assertIsInstance(
                (await asyncio.gather(pending, return_exceptions=True))[0], ProposalLostError
            )
            self.assertIsInstance((await asyncio.gather(reading, return_exceptions=True))[0], NotLeaderError)
            cluster.network.heal()
            await wait_for(lambda: old.applied_index >= new.commit_index)
            self.assertNotIn(b"lost", old.state_machine.payloads)

        self.run_group(scenario)

    def test_partitioned_follower_does_not_disturb(self):
        """Guards against a member that returns from a partition with a higher term and deposes the leader."""

        async def scenario(cluster):
            leader = cluster.leader()
            term = leader.term
            name = self.follower_names(cluster)[0]
            cluster.network.partition({name}, set(cluster.names) - {name})
            await asyncio.sleep(10)
            cluster.network.heal()
            await asyncio.sleep(2)
            self.assertEqual(term, leader.term)
            self.assertIs(leader, cluster.leader())

        self.run_group(scenario)

    def test_proposals_share_a_sync(self):
        """Guards against a separate sync for each proposal."""

        async def scenario(cluster):
            leader = cluster.leader()
            storage = leader.storage
            saves = []
            save = storage.save

            async def counting(batch):
                saves.append(len(batch.entries))
                await save(batch)

            storage.save = counting
            await self.propose_many(cluster, 0, 200)
            self.assertLess(len(saves), 4)

        self.run_group(scenario)


class CommitStepTest(testtools.TestCase):
    def test_leader_killed_at_each_step_of_a_commit(self):
        """Guards against an acknowledged proposal that is lost, and one that only some members apply."""
        outcomes = set()
        for step in range(1, 60):
            outcome = []
            run_in_simulated_time(lambda step=step, outcome=outcome: self.commit_with_kill(step, outcome))
            outcomes.add(tuple(outcome))
            if outcome[0] == "survived":
                break
        self.assertEqual({"killed", "survived"}, {kind for kind, _, _ in outcomes})
        self.assertIn(("killed", False, False), outcomes)
        self.assertIn(("killed", False, True), outcomes)

    async def commit_with_kill(self, step, outcome):
        """Kill the leader at send or sync number ``step`` of a commit and add the result to ``outcome``."""
        cluster = Cluster(3, min_delay=0.001, max_delay=0.003)
        await cluster.start_all()
        leader = await cluster.wait_leader()
        await wait_for(lambda: all(cluster.is_active_voter(name) for name in cluster.names))
        name = leader.config.member_id
        steps = _KillAtStep(cluster, leader, step)
        await cluster.propose(leader, b"payload")
        if steps.is_killed:
            await leader.close()
        is_acknowledged = b"payload" in cluster.acknowledged
        new = await cluster.wait_leader()
        await cluster.propose(new, b"next")
        cluster.check_read(new, cluster.acknowledged)
        if steps.is_killed:
            await cluster.start(name)
        await wait_for(lambda: all(d.applied_index >= new.commit_index for d in cluster.drivers.values()))
        applied = {b"payload" in driver.state_machine.payloads for driver in cluster.drivers.values()}
        self.assertEqual(1, len(applied))
        outcome += ["killed" if steps.is_killed else "survived", is_acknowledged, applied.pop()]
        await cluster.close()


class _KillAtStep:
    """Counts the sends and syncs of a member during a proposal and kills it at a given one."""

    def __init__(self, cluster, driver, step):
        self.cluster = cluster
        self.driver = driver
        self.remaining = step
        self.is_killed = False
        self.send = driver.transport.send
        self.save = driver.storage.save
        driver.transport.send = self.count_send
        driver.storage.save = self.count_save

    def count_send(self, receiver, frame):
        self.count()
        self.send(receiver, frame)

    async def count_save(self, batch):
        self.count()
        await self.save(batch)
        self.count()

    def count(self):
        self.remaining -= 1
        if self.remaining == 0 and b"payload" not in self.cluster.acknowledged:
            self.is_killed = True
            name = self.driver.config.member_id
            self.driver.transport.close()
            self.cluster.drivers.pop(name)
            self.cluster.storages.pop(name).kill(self.cluster.rng)


class MemoryDiskTest(testtools.TestCase):
    def test_kill_drops_unsynced_writes(self):
        """Guards against a simulated disk that keeps unsynced writes after a kill."""

        class First:
            def randint(self, low, high):
                return 0

        async def main():
            disk = MemoryDisk()
            storage = MemoryStorage(disk, "c", sync_time=1.0)
            batch = StorageBatch(None, None, (LogEntry(1, 1, 0),), None, ())
            saving = asyncio.ensure_future(storage.save(batch))
            await asyncio.sleep(0.5)
            storage.kill(First())
            self.assertIsInstance((await asyncio.gather(saving, return_exceptions=True))[0], StorageError)
            self.assertEqual([], disk.entries)

        run_in_simulated_time(main)
