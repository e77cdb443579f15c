"""Raft group whose members join by address, without checks across members."""

import asyncio

from cranberrylever.consensus import (
    ConsensusConfig,
    MemoryDisk,
    MemoryNetwork,
    MemoryStorage,
    MemoryTransport,
    create_driver,
)
from tests.consensus.cluster import ListMachine, wait_for

CLUSTER = "test"
FOUNDERS = ("a:1", "b:1", "c:1")


class Group:
    """Group whose member ids are addresses; the leader grows it to ``voters``."""

    def __init__(self, voters=0):
        self.voters = voters
        self.network = MemoryNetwork(min_delay=0.001, max_delay=0.003)
        self.disks = {}
        self.drivers = {}
        self.machines = {}
        self.create_machine = ListMachine

    async def start(self, name, bootstrap=False, members=(), failure_domain=""):
        disk = self.disks.setdefault(name, MemoryDisk())
        members = {member: member for member in (FOUNDERS if bootstrap else members)}
        # Contacts are the addresses known at the start of the member, like a list given by an operator.
        known = dict.fromkeys((*FOUNDERS, *self.drivers))
        contacts = tuple(member for member in known if member != name)
        config = ConsensusConfig(
            CLUSTER, name, members, contacts=contacts, voters=self.voters, failure_domain=failure_domain
        )
        storage = MemoryStorage(disk, CLUSTER, bootstrap)
        self.machines[name] = self.create_machine()
        transport = MemoryTransport(self.network, name)
        self.drivers[name] = create_driver(config, storage, transport, self.machines[name])
        await self.drivers[name].start()

    async def stop(self, name):
        await self.drivers.pop(name).close()
        self.network.transports.pop(name, None)

    async def stop_all(self):
        for name in list(self.drivers):
            await self.stop(name)

    def leader(self):
        leaders = [driver for driver in self.drivers.values() if driver.leader_since is not None]
        return leaders[0] if len(leaders) == 1 else None

    async def form(self):
        for name in FOUNDERS:
            await self.start(name, bootstrap=True)
        await wait_for(self.leader)

    async def grow(self, *names):
        """Start founders and further members, and wait until all of them vote."""
        for name in FOUNDERS:
            await self.start(name, bootstrap=True)
        for name in names:
            await self.start(name)
        await wait_for(lambda: self.is_voting(*FOUNDERS, *names))

    def is_voting(self, *names):
        """Return whether the leader counts exactly these members, and each knows that it votes."""
        leader = self.leader()
        if leader is None or set(leader.group()) != set(names):
            return False
        return all(driver.node.may_vote() for name, driver in self.drivers.items() if name in names)

    async def lose_disks(self, names, down=0.0):
        """Stop members at once, remove their disks and start them again after ``down`` seconds."""
        for name in names:
            await self.stop(name)
            del self.disks[name]
        await asyncio.sleep(down)
        for name in names:
            await self.start(name)

    def follower(self):
        leader = self.leader()
        return next(name for name, driver in self.drivers.items() if driver is not leader)

    async def replace_follower(self, added):
        """Stop a follower and start ``added``; return the follower once the other one has its place."""
        lost = self.follower()
        await self.stop(lost)
        await self.start(added)
        await wait_for(lambda: added in self.leader().group() and lost not in self.leader().group())
        return lost
