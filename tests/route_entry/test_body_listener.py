"""Tests of large request bodies over loopback, at a listener with a small limit on their memory."""

import asyncio
import contextlib

import testtools

from cranberrylever.body_memory import READ_AHEAD_BYTES
from cranberrylever.caller_http import CallerServer
from cranberrylever.route_entry._body import WATCHED_BYTES
from cranberrylever.route_entry._program import RouteEntryTuning
from tests.route_entry.test_body import make_app

BODY_BYTES = 1_000_000
MEMORY_BYTES = 4 * BODY_BYTES
HEAD = b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nCranberrylever-Request-Id: q\r\nContent-Length: %d\r\n\r\n"


@contextlib.asynccontextmanager
async def listening(app):
    """Run a listener for an application."""
    server = CallerServer(app, "127.0.0.1:0", RouteEntryTuning())
    await server.start()
    try:
        yield server
    finally:
        server.stop_accepting()
        await server.close()


async def begin(address, sent=0):
    """Send the head of a large request and the first bytes of its body."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(HEAD % BODY_BYTES + b"x" * sent)
    return reader, writer


async def read_status(reader):
    """Read an answer and return its status."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.lower().split(b"\r\n")
    length = next(int(line.split(b":")[1]) for line in lines if line.startswith(b"content-length"))
    await reader.readexactly(length)
    return int(lines[0].split()[1])


async def until(condition):
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.01)


class BodyListenerTest(testtools.TestCase):
    def run_callers(self, scenario):
        async def main():
            app = make_app(MEMORY_BYTES, work=0.0)
            async with listening(app) as server:
                return await scenario(app, server)

        return asyncio.run(main())

    def test_little_of_a_waiting_body_arrives(self):
        """Guards against bodies that fill the process while they wait for memory."""

        async def scenario(app, server):
            address = server.bound_address.split(":")
            holders = [await begin(address) for _ in range(4)]
            await until(lambda: app.bodies.memory.held == MEMORY_BYTES)
            reader, writer = await begin(address, BODY_BYTES)
            await until(lambda: app.bodies.memory.waiting)
            await asyncio.sleep(0.2)
            arrived = max(len(connection.cycle.body) for connection in server.state.connections)
            read = app.bodies.memory.waiting[0].received
            for _, holder in holders:
                holder.close()
            status = await read_status(reader)
            writer.close()
            return arrived, read, status

        arrived, read, status = self.run_callers(scenario)
        assert 0 < arrived <= READ_AHEAD_BYTES, arrived
        assert read < WATCHED_BYTES + READ_AHEAD_BYTES, read
        self.assertEqual(200, status)

    def test_caller_that_leaves_while_its_body_waits_or_comes_holds_nothing(self):
        """Guards against memory that stays with callers who left."""

        async def scenario(app, server):
            address = server.bound_address.split(":")
            callers = [await begin(address, 100_000) for _ in range(5)]
            await until(lambda: app.bodies.memory.held == MEMORY_BYTES and app.bodies.memory.waiting)
            for _, writer in callers:
                writer.close()
            await until(lambda: not app.bodies.reads)
            return app.bodies.memory.held, app.requests, app.dispatcher.requests

        self.assertEqual((0, 0, []), self.run_callers(scenario))

    def test_place_of_a_caller_that_leaves_is_free_while_others_hold_the_memory(self):
        """Guards against a queue of callers who have left."""

        async def scenario(app, server):
            address = server.bound_address.split(":")
            holders = [await begin(address) for _ in range(4)]
            await until(lambda: app.bodies.memory.held == MEMORY_BYTES)
            _, writer = await begin(address, 20_000)
            await until(lambda: app.bodies.memory.waiting)
            writer.close()
            await until(lambda: not app.bodies.memory.waiting)
            held = app.bodies.memory.held
            for _, holder in holders:
                holder.close()
            return held

        self.assertEqual(MEMORY_BYTES, self.run_callers(scenario))

    def test_refusal_before_the_body_leaves_the_connection_usable(self):
        """Guards against a body that is parsed as the next request, or a refusal that never arrives."""

        async def scenario(app, server):
            address = server.bound_address.split(":")
            holders = [await begin(address) for _ in range(4)]
            await until(lambda: app.bodies.memory.held == MEMORY_BYTES)
            app.bodies.memory.holding_time = 60.0
            reader, writer = await begin(address)
            statuses = [await read_status(reader)]
            for _, holder in holders:
                holder.close()
            await until(lambda: not app.bodies.memory.held)
            writer.write(b"x" * BODY_BYTES + HEAD % 3 + b"abc")
            statuses.append(await read_status(reader))
            writer.close()
            return statuses, [size for _, size, _ in app.dispatcher.requests]

        self.assertEqual(([503, 200], [3]), self.run_callers(scenario))
