"""Tests of the grpclib transport between control members, on loopback."""

import asyncio

import attrs
import grpclib.server
import testtools

from cranberrylever.control_member import PeerTransport, _peers
from cranberrylever.wire import MsgpackCodec, PeerFrame
from tests.consensus.cluster import wait_for
from tests.support import end_slowly

CLUSTER = "test"
HOST = "127.0.0.1"


def frame(number, cluster_id=CLUSTER, receiver="b"):
    return PeerFrame(cluster_id, "a", receiver, "folder", "Test", b"%d" % number)


class Peer:
    """A transport with a server that records the frames that arrive."""

    def __init__(self, member_id, members, cluster_id=CLUSTER):
        self.transport = PeerTransport(cluster_id, member_id, members)
        self.received = []
        self.transport.set_receiver(lambda item: self.received.append(item.body))
        self.server = None

    async def listen(self, port=0):
        self.server = grpclib.server.Server([self.transport], codec=MsgpackCodec())
        await self.server.start(HOST, port)
        return self.server._server.sockets[0].getsockname()[1]

    async def restart(self, port):
        """Listen again so that the server uses a replaced handler."""
        self.server.close()
        await self.server.wait_closed()
        await self.listen(port)

    async def close(self):
        await self.transport.close()
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()


class PeerTransportTest(testtools.TestCase):
    def run_pair(self, scenario, cluster_id=CLUSTER):
        async def main():
            receiver = Peer("b", {}, cluster_id)
            port = await receiver.listen()
            sender = Peer("a", {"a": f"{HOST}:1", "b": f"{HOST}:{port}"})
            await sender.transport.start()
            try:
                await scenario(sender, receiver, port)
            finally:
                await sender.close()
                await receiver.close()

        asyncio.run(main())

    async def send_until(self, sender, condition):
        """Send a frame every 10 ms, as heartbeats do, until the condition holds."""
        number = 0
        while not condition():
            number += 1
            self.assertLess(number, 800)
            sender.transport.send("b", frame(number))
            await asyncio.sleep(0.01)

    def test_frames_arrive_in_order(self):
        """Guards against reordering, each case of which makes Raft reject an append."""

        async def scenario(sender, receiver, port):
            for number in range(500):
                sender.transport.send("b", frame(number))
            await wait_for(lambda: len(receiver.received) == 500)
            self.assertEqual([b"%d" % number for number in range(500)], receiver.received)

        self.run_pair(scenario)

    def test_reconnects_after_restart(self):
        """Guards against a link that stays disconnected after its peer has restarted."""

        async def scenario(sender, receiver, port):
            await self.send_until(sender, lambda: receiver.received)
            await receiver.close()
            restarted = Peer("b", {})
            await restarted.listen(port)
            await self.send_until(sender, lambda: restarted.received)
            await restarted.close()

        self.run_pair(scenario)

    def test_other_cluster_is_refused(self):
        """Guards against two clusters that replicate into each other because of a wrong address setting."""

        async def scenario(sender, receiver, port):
            link = sender.transport.links["b"]
            await self.send_until(sender, lambda: link.connections >= 3)
            self.assertEqual([], receiver.received)

        self.run_pair(scenario, cluster_id="other")

    def test_link_that_is_closed_while_its_stream_is_lost_ends(self):
        """Guards against a close that waits forever because the lost stream hides its cancellation."""

        async def scenario(sender, receiver, port):
            link = sender.transport.links["b"]
            is_ending = asyncio.Event()

            async def lose_stream(stream):
                raise ConnectionError("lost")

            link._receive_echoes = lose_stream
            link._send_frames = end_slowly(is_ending)
            await is_ending.wait()
            async with asyncio.timeout(5.0):
                await link.close()
            self.assertTrue(link._task.done())

        self.run_pair(scenario)

    def test_queue_is_bounded(self):
        """Guards against memory that grows without bound while a peer is down."""

        async def main():
            sender = Peer("a", {"b": f"{HOST}:1"})
            for number in range(_peers.MAX_QUEUED_FRAMES + 10):
                sender.transport.send("b", frame(number))
            link = sender.transport.links["b"]
            self.assertEqual((_peers.MAX_QUEUED_FRAMES, 10), (len(link.queue), link.dropped))
            self.assertEqual(b"10", link.queue[0].body)

        asyncio.run(main())

    def test_queue_of_large_frames_is_bounded(self):
        """Guards against plans that fill the memory while a peer is down: 200 of 0.5 MB are 100 MB."""

        async def main():
            sender = Peer("a", {"b": f"{HOST}:1"})
            for _ in range(200):
                sender.transport.send("b", attrs.evolve(frame(1), body=bytes(500_000)))
            link = sender.transport.links["b"]
            self.assertTrue(sum(len(item.body) for item in link.queue) <= _peers.MAX_QUEUED_BYTES)
            self.assertEqual(200, len(link.queue) + link.dropped)
            sender.transport.send("b", attrs.evolve(frame(2), body=bytes(2 * _peers.MAX_QUEUED_BYTES)))
            self.assertEqual(1, len(link.queue))

        asyncio.run(main())

    def test_peer_without_echoes_is_reconnected(self):
        """Guards against a link that sends on a dead connection until TCP times out."""

        async def scenario(sender, receiver, port):
            link = sender.transport.links["b"]
            resume = asyncio.Event()
            original_exchange = receiver.transport.exchange

            async def exchange(stream):
                if link.connections == 1:
                    await resume.wait()
                await original_exchange(stream)

            receiver.transport.exchange = exchange
            await receiver.restart(port)
            await self.send_until(sender, lambda: receiver.received)
            self.assertGreaterEqual(link.connections, 2)
            resume.set()

        self.run_pair(scenario)
