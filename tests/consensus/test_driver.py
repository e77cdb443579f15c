"""Tests of a running group in memory and on real data directories and sockets."""

import asyncio
import random
import tempfile
from pathlib import Path

import grpclib.server
import testtools

from cranberrylever.consensus import (
    ConsensusConfig,
    MemoryDisk,
    MemoryNetwork,
    MemoryStorage,
    MemoryTransport,
    create_driver,
    open_disk_storage,
)
from cranberrylever.control_member import PeerTransport
from cranberrylever.wire import MsgpackCodec
from tests.consensus.cluster import CLUSTER, ListMachine, wait_for
from tests.support import run_in_simulated_time


def leader_of(drivers):
    for driver in drivers:
        if driver.leader_since is not None:
            return driver
    return None


class MemoryGroupTest(testtools.TestCase):
    def check_group(self, size):
        async def main():
            network = MemoryNetwork(random.Random(1), 0.0005, 0.002)
            names = [f"m{number}" for number in range(size)]
            members = {name: f"{name}:1" for name in names}
            drivers = []
            for name in names:
                config = ConsensusConfig(CLUSTER, name, members)
                storage = MemoryStorage(MemoryDisk(), CLUSTER, bootstrap=True, sync_time=0.001)
                transport = MemoryTransport(network, name)
                drivers.append(create_driver(config, storage, transport, ListMachine(), random.Random(name)))
            for driver in drivers:
                await driver.start()
            await wait_for(lambda: leader_of(drivers))
            leader = leader_of(drivers)
            results = await asyncio.gather(*(leader.propose(b"%d" % number) for number in range(20)))
            self.assertEqual(list(range(1, 21)), results)
            await leader.read_barrier()
            await asyncio.sleep(0.2)
            for driver in drivers:
                self.assertEqual(leader.state_machine.items, driver.state_machine.items)
            self.assertTrue(leader.has_lease(asyncio.get_running_loop().time()))
            for driver in drivers:
                await driver.close()

        run_in_simulated_time(main)

    def test_single_member(self):
        """Guards against a single-member group that waits for votes of other members."""
        self.check_group(1)

    def test_three_members(self):
        """Guards against a group that does not elect a leader or does not replicate entries."""
        self.check_group(3)


class DiskGroupTest(testtools.TestCase):
    def test_three_members_over_sockets(self):
        """Guards against faults that occur only with real data directories and streams."""

        async def main(folder):
            sockets = []
            for _ in range(3):
                server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
                sockets.append(server)
            ports = [server.sockets[0].getsockname()[1] for server in sockets]
            for server in sockets:
                server.close()
                await server.wait_closed()
            members = {f"m{number}": f"127.0.0.1:{port}" for number, port in enumerate(ports)}
            drivers, servers, transports = [], [], []
            for number, (name, port) in enumerate(zip(members, ports, strict=True)):
                transport = PeerTransport(CLUSTER, name, members)
                server = grpclib.server.Server([transport], codec=MsgpackCodec())
                await server.start("127.0.0.1", port)
                await transport.start()
                storage = open_disk_storage(Path(folder) / name, CLUSTER, bootstrap=True)
                config = ConsensusConfig(CLUSTER, name, members)
                driver = create_driver(config, storage, transport, ListMachine(), random.Random(number))
                await driver.start()
                drivers.append(driver)
                servers.append(server)
                transports.append(transport)
            await wait_for(lambda: leader_of(drivers))
            leader = leader_of(drivers)
            await asyncio.gather(*(leader.propose(b"%d" % number) for number in range(50)))
            await leader.read_barrier()
            await wait_for(lambda: all(len(driver.state_machine.items) == 50 for driver in drivers))
            for transport in transports:
                await transport.close()
            for driver in drivers:
                await driver.close()
            for server in servers:
                server.close()
                await server.wait_closed()

        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(main(folder))
