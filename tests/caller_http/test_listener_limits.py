"""Tests of connections that the limits of a listener must neither keep for good nor cut off."""

import asyncio

import attrs
import testtools

from cranberrylever.caller_http import CallerServer
from cranberrylever.http_limits import ListenerLimits

HEAD = b"POST /%d HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"


@attrs.frozen
class Tuning:
    max_connections: int = 100
    max_header_bytes: int = 32_768
    keep_alive: float = 0.3
    header_timeout: float = 0.3


class HeldApp:
    """Application whose answers wait until they may be sent."""

    def __init__(self):
        self.may_answer = asyncio.Event()

    async def __call__(self, scope, receive, send):
        await self.may_answer.wait()
        await answer(send)


async def answer(send):
    await send({"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"0")]})
    await send({"type": "http.response.body"})


async def answer_early(scope, receive, send):
    await answer(send)


async def answer_body_behind_slow_request(scope, receive, send):
    if scope["path"] == "/0":
        await asyncio.sleep(0.8)
    while (await receive()).get("more_body"):
        pass
    await answer(send)


async def start(app, tuning=None, limits=None):
    server = CallerServer(app, "127.0.0.1:0", tuning or Tuning(), limits=limits or ListenerLimits())
    await server.start()
    return server, *server.bound_address.rpartition(":")[::2]


class ListenerLimitsTest(testtools.TestCase):
    def test_connection_whose_dropped_body_has_ended_is_closed_when_idle(self):
        """Guards against idle connections that stay for good and take the listener."""

        async def main():
            server, host, port = await start(answer_early)
            _, writer = await asyncio.open_connection(host, port)
            writer.write(HEAD % (0, 1))
            await asyncio.sleep(0.1)
            writer.write(b"b")
            await asyncio.sleep(1.5)
            left = len(server.state.connections)
            writer.close()
            server.server.close()
            return left

        self.assertEqual(0, asyncio.run(main()))

    def test_requests_before_an_invalid_one_count(self):
        """Guards against requests that wait outside the bound on memory."""

        async def main():
            app = HeldApp()
            server, host, port = await start(app)
            _, writer = await asyncio.open_connection(host, port)
            writer.write(GET * 20 + b"bad\r\n\r\n")
            await asyncio.sleep(0.1)
            (connection,) = server.state.connections
            held, counted = connection.ahead.total, connection.budget.total
            writer.close()
            app.may_answer.set()
            await asyncio.sleep(0.1)
            server.server.close()
            return held, counted

        held, counted = asyncio.run(main())
        assert held > 0
        self.assertEqual(held, counted)

    def test_rejected_connection_that_gives_up_requests_closes_after_its_answer(self):
        """Guards against a caller that waits for answers which never come."""

        async def main():
            app = HeldApp()
            server, host, port = await start(
                app, Tuning(keep_alive=30.0), ListenerLimits(read_memory=100_000)
            )
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(GET * 20 + b"bad\r\n\r\n")
            await asyncio.sleep(0.1)
            _, other = await asyncio.open_connection(host, port)
            other.write(GET * 10)
            await asyncio.sleep(0.1)
            app.may_answer.set()
            try:
                await asyncio.wait_for(reader.read(), 10.0)
            finally:
                writer.close()
                other.close()
                server.server.close()

        asyncio.run(main())

    def test_body_that_the_listener_holds_back_is_not_slow(self):
        """Guards against a request that is dropped because another one runs for long."""

        async def main():
            limits = ListenerLimits(max_body_bytes=2**24)
            server, host, port = await start(answer_body_behind_slow_request, Tuning(keep_alive=2.0), limits)
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(HEAD % (0, 0) + HEAD % (1, 300_000) + b"b" * 300_000)
            answers = await reader.read()
            writer.close()
            server.server.close()
            return answers.count(b"200 OK")

        self.assertEqual(2, asyncio.run(main()))

    def test_steady_body_after_an_early_answer_is_not_cut_off(self):
        """Guards against callers that lose the answer because they still send a large body."""

        async def main():
            server, host, port = await start(answer_early, Tuning(header_timeout=1.0))
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(HEAD % (0, 2_000_000))
            try:
                for _ in range(40):
                    writer.write(b"b" * 50_000)
                    await writer.drain()
                    await asyncio.sleep(0.05)
                writer.write(HEAD % (1, 0))
                for _ in range(2):
                    await reader.readuntil(b"\r\n\r\n")
            finally:
                writer.close()
                server.server.close()

        asyncio.run(main())
