"""Random schedules of kills, partitions, lost disks and delays with checks of the safety properties."""

import asyncio
import itertools
import tempfile
from pathlib import Path

import testtools

from cranberrylever.consensus import _leadership as leadership
from tests.consensus.cluster import Cluster, wait_for
from tests.support import run_in_simulated_time

STEPS = 150
ATTEMPTS_AFTER_RECOVERY = 3


class Schedule:
    """Runs random steps on a cluster and loses at most as many disks at a time as the group tolerates.

    A group of fewer ``founders`` grows during the steps; no disk is lost before it has its voters.
    """

    def __init__(self, size, seed, folder=None, founders=None):
        self.cluster = Cluster(
            size,
            seed,
            snapshot_entries=30,
            sync_times=(0.002, 0.01, 0.2),
            folder=folder,
            founders=founders,
            min_delay=0.0005,
            max_delay=0.02,
            loss=0.02,
        )
        self.rng = self.cluster.rng
        self.max_lost_disks = (size - 1) // 2
        self.recovering = set()
        self.payloads = itertools.count()
        self.tasks = []
        self.paused = set()
        self.lost_disks = 0
        self.is_grown = founders is None

    def has_all_voters(self):
        return all(self.cluster.is_active_voter(name) for name in self.cluster.names)

    async def run(self):
        cluster = self.cluster
        await cluster.start_all()
        await cluster.wait_leader()
        if cluster.founders == cluster.names:
            await wait_for(self.has_all_voters)
        for _ in range(STEPS):
            await self.step()
            await asyncio.sleep(self.rng.choice([0.005, 0.05, 0.3]))
            cluster.observe()
            self.is_grown = self.is_grown or self.has_all_voters()
            self.recovering = {name for name in self.recovering if not cluster.is_active_voter(name)}
        await self.recover()

    async def step(self):
        action = self.rng.choices(
            [
                self.propose,
                self.read,
                self.kill,
                self.restart,
                self.partition,
                self.block,
                self.heal,
                self.lose_disk,
                self.pause,
            ],
            [10, 4, 2, 4, 1, 1, 2, 2, 2],
        )[0]
        await action()

    async def propose(self):
        for driver in list(self.cluster.drivers.values()):
            if driver.node.leadership is not None:
                for _ in range(self.rng.randint(1, 12)):
                    payload = b"%d" % next(self.payloads)
                    self.tasks.append(asyncio.ensure_future(self.cluster.propose(driver, payload)))

    async def read(self):
        for driver in list(self.cluster.drivers.values()):
            if driver.node.leadership is not None:
                self.tasks.append(asyncio.ensure_future(self.cluster.read(driver)))

    async def kill(self):
        if self.cluster.drivers:
            await self.cluster.kill(self.rng.choice(sorted(self.cluster.drivers)))

    async def restart(self):
        for name in self.cluster.names:
            if name not in self.cluster.drivers:
                await self.cluster.start(name)

    async def partition(self):
        names = self.rng.sample(self.cluster.names, len(self.cluster.names))
        cut = self.rng.randint(1, len(names) - 1)
        self.cluster.network.partition(set(names[:cut]), set(names[cut:]))

    async def block(self):
        self.cluster.network.block(*self.rng.sample(self.cluster.names, 2))

    async def pause(self):
        """Suspend a member for a time around the election timeout."""
        names = [name for name in sorted(self.cluster.drivers) if name not in self.paused]
        if names:
            name = self.rng.choice(names)
            self.paused.add(name)
            resume = self.cluster.pause(name)
            self.tasks.append(asyncio.ensure_future(self.resume_later(name, resume)))

    async def resume_later(self, name, resume):
        await asyncio.sleep(self.rng.uniform(0.1, 1.2))
        self.paused.discard(name)
        resume()

    async def heal(self):
        self.cluster.network.heal()

    async def lose_disk(self):
        name = self.rng.choice(self.cluster.names)
        if self.is_grown and len(self.recovering | {name}) <= self.max_lost_disks:
            self.recovering.add(name)
            self.lost_disks += 1
            await self.cluster.lose_disk(name)

    async def recover(self):
        """Restore all members and check that none lacks an acknowledged payload.

        A member that was just resumed can still start an election, which may fail a proposal.
        """
        cluster = self.cluster
        await self.heal()
        await self.restart()
        await cluster.wait_leader()
        await wait_for(self.has_all_voters)
        await asyncio.gather(*self.tasks)
        for attempt in range(ATTEMPTS_AFTER_RECOVERY):
            leader = await cluster.wait_leader()
            await cluster.propose(leader, b"last %d" % attempt)
            if b"last %d" % attempt in cluster.acknowledged:
                break
        else:
            raise AssertionError("the recovered group accepts no proposal")
        await wait_for(lambda: all(d.applied_index >= leader.commit_index for d in cluster.drivers.values()))
        for driver in cluster.drivers.values():
            cluster.check_read(driver, cluster.acknowledged)
            assert driver.state_machine.items == leader.state_machine.items
        await cluster.close()


class RandomScheduleTest(testtools.TestCase):
    def setUp(self):
        """Set small limits, so that short runs use chunked snapshots and reach the in-flight limit."""
        super().setUp()
        self.patch(leadership, "SNAPSHOT_CHUNK_BYTES", 400)
        self.patch(leadership, "MAX_APPEND_ENTRIES", 4)
        self.patch(leadership, "MAX_IN_FLIGHT", 3)

    def run_schedules(self, size, seeds, on_disk=False, founders=None):
        lost_disks = 0
        for seed in seeds:
            with tempfile.TemporaryDirectory() as folder:
                schedule = Schedule(size, seed, Path(folder) if on_disk else None, founders)
                try:
                    run_in_simulated_time(schedule.run)
                except BaseException as error:
                    error.add_note(f"size {size}, seed {seed}")
                    raise
                lost_disks += schedule.lost_disks
        self.assertGreater(lost_disks, len(seeds))

    def test_three_members(self):
        """Guards against two leaders in a term, lost entries and stale reads in a group of three."""
        self.run_schedules(3, range(1, 8))

    def test_three_members_on_folders(self):
        """Guards against two leaders in a term, lost entries and stale reads with data directories on disk.

        Members are killed between two operations of a write.
        """
        self.run_schedules(3, range(201, 205), on_disk=True)

    def test_five_members(self):
        """Guards against two leaders in a term, lost entries and stale reads in a group of five.

        At most two disks are lost at a time.
        """
        self.run_schedules(5, range(101, 104))

    def test_three_founders_that_grow_to_five_members(self):
        """Guards against two leaders in a term, lost entries and a stuck group while voters are added."""
        self.run_schedules(5, range(301, 307), founders=3)
