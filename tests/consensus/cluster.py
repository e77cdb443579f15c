"""Raft group on simulated disks and a simulated network, with checks of the safety properties."""

import asyncio
import random
import shutil

from cranberrylever.consensus import (
    ConsensusConfig,
    MemoryDisk,
    MemoryNetwork,
    MemoryStorage,
    MemoryTransport,
    StateMachine,
    create_driver,
)
from cranberrylever.errors import CranberryleverError
from tests.consensus.simulated_kills import SimulatedDiskStorage

CLUSTER = "test"


class ListMachine(StateMachine):
    """State machine that stores the applied payloads in a list."""

    def __init__(self, on_apply=lambda index, payload: None):
        self.items = []
        self.payloads = set()
        self.on_apply = on_apply

    def apply(self, index, payload):
        self.on_apply(index, payload)
        self.items.append((index, payload))
        self.payloads.add(payload)
        return len(self.items)

    def snapshot(self):
        return b"\n".join(b"%d %s" % item for item in self.items)

    def restore(self, index, data):
        lines = [line.split(b" ", 1) for line in data.split(b"\n") if line]
        self.items = [(int(number), payload) for number, payload in lines]
        self.payloads = {payload for _, payload in lines}


async def wait_for(condition, seconds=10.0):
    """Wait until ``condition()`` is true, or fail after ``seconds``."""
    deadline = asyncio.get_running_loop().time() + seconds
    while not condition():
        if asyncio.get_running_loop().time() > deadline:
            raise AssertionError(f"condition is not true after {seconds} seconds")
        await asyncio.sleep(0.01)


class _ObservedNetwork(MemoryNetwork):
    """Network that calls ``observer`` before and after each delivery."""

    observer = None

    def _arrive(self, frame):
        self.observer()
        super()._arrive(frame)
        self.observer()


class Cluster:
    """Group of named members; ``observe`` checks the safety properties across members."""

    def __init__(
        self,
        size,
        seed=1,
        snapshot_entries=50,
        snapshot_bytes=2**25,
        sync_times=(0.01,),
        folder=None,
        founders=None,
        **network,
    ):
        self.rng = random.Random(seed)
        self.network = _ObservedNetwork(random.Random(seed + 1), **network)
        self.network.observer = self.observe
        self.names = [f"m{number}" for number in range(size)]
        self.addresses = {name: f"{name}:1" for name in self.names}
        self.founders = self.names[:founders]
        self.snapshot_entries = snapshot_entries
        self.snapshot_bytes = snapshot_bytes
        self.sync_times = sync_times
        self.folder = folder
        self.disks = {name: MemoryDisk() for name in self.names}
        self.drivers = {}
        self.storages = {}
        self.leaders = {}
        self.applied = {}
        self.acknowledged = set()

    async def start(self, name, bootstrap=False):
        sync_time = self.rng.uniform(0, self.rng.choice(self.sync_times))
        if self.folder is None:
            storage = MemoryStorage(self.disks[name], CLUSTER, bootstrap, sync_time)
        else:
            storage = SimulatedDiskStorage(self.folder / name, CLUSTER, bootstrap, sync_time, self.rng)
        config = ConsensusConfig(
            CLUSTER,
            name,
            {founder: self.addresses[founder] for founder in self.founders} if name in self.founders else {},
            contacts=tuple(self.names),
            voters=len(self.names),
            snapshot_entries=self.snapshot_entries,
            snapshot_bytes=self.snapshot_bytes,
        )
        driver = create_driver(
            config,
            storage,
            MemoryTransport(self.network, name),
            ListMachine(self.check_applied),
            random.Random(self.rng.random()),
        )
        self.storages[name] = storage
        self.drivers[name] = driver
        await driver.start()

    async def start_all(self):
        for name in self.names:
            await self.start(name, bootstrap=name in self.founders)

    async def kill(self, name):
        """Kill a member; a random part of its unsynced writes survives."""
        driver = self.drivers.pop(name)
        driver.transport.close()
        self.storages.pop(name).kill(self.rng)
        await driver.close()
        assert driver.error is None, driver.error

    def pause(self, name):
        """Suspend a member and return a function that resumes it; received frames are queued until then."""
        driver = self.drivers[name]
        received = []
        driver.transport.set_receiver(received.append)
        driver._run_cycle = lambda *args: None

        def resume():
            if self.drivers.get(name) is driver:
                del driver._run_cycle
                driver.transport.set_receiver(driver._on_frame)
                driver._is_cycle_scheduled = False
                driver._timer = None
                for frame in received:
                    driver._on_frame(frame)
                driver._run_cycle()

        return resume

    async def lose_disk(self, name):
        if name in self.drivers:
            await self.kill(name)
        self.disks[name] = MemoryDisk()
        if self.folder is not None:
            shutil.rmtree(self.folder / name, ignore_errors=True)

    async def close(self):
        for name in list(self.drivers):
            await self.kill(name)

    def leader(self):
        for driver in self.drivers.values():
            if driver.has_lease(self.now()):
                return driver
        return None

    async def wait_leader(self):
        await wait_for(lambda: self.leader() is not None)
        return self.leader()

    def now(self):
        return asyncio.get_running_loop().time()

    def is_active_voter(self, name):
        """Return whether both the leader and the member itself regard the member as a voter."""
        leader = self.leader()
        driver = self.drivers.get(name)
        if leader is None or driver is None or not driver.node.may_vote():
            return False
        return all(
            status.role in ("voter", "leader") and status.folder_id == driver.folder_id
            for status in leader.members()
            if status.member_id == name
        )

    # Checks ------------------------------------------------------------------------------------

    def check_applied(self, index, payload):
        """Check that no two members apply different payloads at one index."""
        known = self.applied.setdefault(index, payload)
        assert known == payload, f"members applied {known} and {payload} at index {index}"

    def observe(self):
        lease_holders = []
        for name, driver in self.drivers.items():
            assert driver.error is None, driver.error
            if driver.node.leadership is not None:
                other = self.leaders.setdefault(driver.term, name)
                assert other == name, f"{other} and {name} both lead term {driver.term}"
            if driver.has_lease(self.now()):
                lease_holders.append(driver)
        assert len(lease_holders) <= 1, "two members hold a lease"
        if lease_holders:
            self.check_read(lease_holders[0], self.acknowledged)

    def check_read(self, driver, acknowledged):
        """Check that a confirmed read contains all payloads acknowledged before it started."""
        missing = acknowledged - driver.state_machine.payloads
        assert not missing, f"{driver.config.member_id} lacks acknowledged payloads {missing}"

    async def propose(self, driver, payload):
        try:
            await asyncio.wait_for(driver.propose(payload), 2)
        except (CranberryleverError, TimeoutError):
            return
        self.acknowledged.add(payload)

    async def read(self, driver):
        before = set(self.acknowledged)
        try:
            await asyncio.wait_for(driver.read_barrier(), 2)
        except (CranberryleverError, TimeoutError):
            return
        self.check_read(driver, before)
