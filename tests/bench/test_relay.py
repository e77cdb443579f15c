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
