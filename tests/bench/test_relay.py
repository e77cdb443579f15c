"""Tests of the relays that simulate partitions."""

import asyncio

import testtools

from bench.processes import free_address
from bench.relay import Relay


class RelayTest(testtools.TestCase):
    def test_cut_relay_holds_bytes_until_it_heals(self):
        """Guards against a cut relay that drops bytes or resets, which is another fault than a partition."""

        async def echo(reader, writer):
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        async def main():
            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            relay = Relay(f"{host}:{port}", free_address())
            await relay.start()
            reader, writer = await asyncio.open_connection("127.0.0.1", int(relay.address.rpartition(":")[2]))
            writer.write(b"one")
            first = await reader.read(100)
            relay.cut()
            writer.write(b"two")
            try:
                async with asyncio.timeout(0.1):
                    during = await reader.read(100)
            except TimeoutError:
                during = None
            relay.heal()
            after = await reader.read(100)
            writer.close()
            await relay.close()
            server.close()
            return first, during, after

        self.assertEqual((b"one", None, b"two"), asyncio.run(main()))

    def test_slow_relay_takes_the_time_of_its_link(self):
        """Guards against a soak whose slow links are as fast as loopback."""

        async def main():
            async def send(reader, writer):
                writer.write(bytes(40_000))
                await writer.drain()
                writer.close()

            server = await asyncio.start_server(send, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            relay = Relay(f"{host}:{port}", free_address())
            await relay.start()
            relay.bytes_per_s = 100_000.0
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            reader, writer = await asyncio.open_connection("127.0.0.1", int(relay.address.rpartition(":")[2]))
            received = await reader.readexactly(40_000)
            elapsed = loop.time() - started_at
            writer.close()
            await relay.close()
            server.close()
            return len(received), elapsed

        received, elapsed = asyncio.run(main())
        self.assertEqual(40_000, received)
        assert elapsed >= 0.35, elapsed
