"""Tests of requests that callers send ahead on one connection, at the listeners of all programs."""

import asyncio
import contextlib

import attrs
import testtools

from cranberrylever.caller_http import CallerServer
from cranberrylever.http_limits import ListenerLimits
from cranberrylever.http_server import HttpServer
from cranberrylever.route_entry import RouteEntryTuning

REQUEST = b"GET /%d HTTP/1.1\r\nhost: x\r\n\r\n"
CHUNKED = b"POST /%d HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
CHUNK = b"8000\r\n" + b"b" * 32_768 + b"\r\n"
LIMITS = ListenerLimits(max_requests_ahead=8, read_memory=1_048_576)
MAX_AHEAD = 100
"""The limit, and what a part of 2 KiB may hold beyond it."""


class HeldApp:
    """Application that answers requests once it may, and watches for a disconnect meanwhile."""

    def __init__(self):
        self.may_answer = asyncio.Event()
        self.paths = []

    async def __call__(self, scope, receive, send):
        self.paths.append(scope["path"])
        watcher = asyncio.ensure_future(receive())
        await self.may_answer.wait()
        watcher.cancel()
        body = scope["path"].encode()
        headers = [(b"content-length", str(len(body)).encode())]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": body, "more_body": False})


def servers(limits=LIMITS):
    yield lambda app: CallerServer(app, "127.0.0.1:0", RouteEntryTuning(), limits=limits)
    yield lambda app: HttpServer(app, "127.0.0.1:0", limits=limits)


async def send(server, data):
    """Send data on a new connection; return its streams and the listener's side."""
    host, _, port = server.bound_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    state = server.server.server_state if isinstance(server, HttpServer) else server.state
    await asyncio.sleep(0.2)
    return reader, writer, next(iter(state.connections), None)


async def close(server, writer):
    writer.close()
    if isinstance(server, HttpServer):
        await server.close()
    else:
        server.stop_accepting()
        await server.wait_finished(asyncio.get_running_loop().time() + 1.0)
        await server.close()


class RequestsAheadTest(testtools.TestCase):
    def test_requests_beyond_the_limit_wait_unread_and_are_answered_in_their_order(self):
        """Guards against a queue without a bound, and against a burst that is never read again."""

        async def main(create_server):
            app = HeldApp()
            server = create_server(app)
            await server.start()
            burst = b"".join(REQUEST % number for number in range(2_000))
            reader, writer, connection = await send(server, burst)
            waiting = len(connection.pipeline)
            app.may_answer.set()
            async with asyncio.timeout(10.0):
                await read_until_end(reader, b"/1999")
            await close(server, writer)
            return waiting, app.paths

        for create_server in servers():
            waiting, paths = asyncio.run(main(create_server))
            assert 8 <= waiting <= MAX_AHEAD, waiting
            assert paths == [f"/{number}" for number in range(2_000)]

    def test_body_waits_unread_behind_requests(self):
        """Guards against a body that fills the memory before its request has its turn."""

        async def main(create_server):
            app = HeldApp()
            server = create_server(app)
            await server.start()
            _, writer, connection = await send(server, REQUEST % 0 + CHUNKED % 1 + CHUNK * 300)
            waiting = len(connection.cycle.body)
            app.may_answer.set()
            connection.transport.abort()
            await close(server, writer)
            return waiting

        for create_server in servers():
            waiting = asyncio.run(main(create_server))
            assert 32_768 <= waiting <= 4 * 65_536, waiting

    def test_connection_that_holds_most_ends_after_the_answer_to_its_first_request(self):
        """Guards against many connections that together hold too much, and a caller without its answer."""

        async def main(create_server):
            app = HeldApp()
            server = create_server(app)
            await server.start()
            burst = b"".join(REQUEST % number for number in range(5_000))
            streams = [await send(server, burst) for _ in range(8)]
            app.may_answer.set()
            async with asyncio.timeout(10.0):
                answers = await asyncio.gather(*(read_until_end(reader, b"/4999") for reader, *_ in streams))
            for _, writer, _ in streams:
                writer.close()
            await close(server, streams[0][1])
            return answers, app.paths

        limits = attrs.evolve(LIMITS, read_memory=1_500_000)
        for create_server in servers(limits):
            answers, paths = asyncio.run(main(create_server))
            counts = [answer.count(b"HTTP/1.1 200 ") for answer in answers]
            # All connections are answered; those that were given up, only once.
            assert min(counts) == 1, counts
            assert max(counts) == 5_000, counts
            assert len(paths) == sum(counts)


class DroppedBytesTest(testtools.TestCase):
    def test_body_that_goes_on_after_its_answer_ends_the_connection(self):
        """Guards against a connection that is read for good though nobody waits for its bytes."""

        async def main(create_server):
            app = HeldApp()
            app.may_answer.set()
            server = create_server(app)
            await server.start()
            reader, writer, _ = await send(server, CHUNKED % 0 + CHUNK * 1_000)
            with contextlib.suppress(ConnectionError):
                async with asyncio.timeout(5.0):
                    await reader.read()
            await close(server, writer)

        for create_server in servers(attrs.evolve(LIMITS, max_dropped_bytes=1_048_576)):
            asyncio.run(main(create_server))

    def test_rejected_connection_is_not_read_for_good_while_its_last_answer_is_awaited(self):
        """Guards against the same behind an invalid request."""

        async def main(create_server):
            app = HeldApp()
            server = create_server(app)
            await server.start()
            invalid = b"no request\r\n\r\n" + b"b" * 100_000_000
            _, writer, connection = await send(server, REQUEST % 0 + invalid)
            await asyncio.sleep(0.8)
            unsent = writer.transport.get_write_buffer_size()
            app.may_answer.set()
            connection.transport.abort()
            writer.transport.abort()
            await close(server, writer)
            return unsent

        for create_server in servers():
            # The kernel's buffers take some as well.
            assert asyncio.run(main(create_server)) > 20_000_000

    def test_body_over_the_limit_of_a_listener_is_refused(self):
        """Guards against an application that gathers a body without a limit of its own."""

        async def main():
            app = HeldApp()
            limits = attrs.evolve(LIMITS, max_body_bytes=100_000)
            server = HttpServer(app, "127.0.0.1:0", limits=limits)
            await server.start()
            reader, writer, _ = await send(server, CHUNKED % 0 + CHUNK * 4)
            async with asyncio.timeout(5.0):
                answer = await reader.read()
            app.may_answer.set()
            await close(server, writer)
            return answer

        assert asyncio.run(main()).startswith(b"HTTP/1.1 413 ")


async def read_until_end(reader, last):
    """Return what was received until the end of the connection, or the last answer."""
    data = b""
    while not data.endswith(last):
        part = await reader.read(65_536)
        if not part:
            break
        data += part
    return data
