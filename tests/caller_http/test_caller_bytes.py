"""Bytes of callers, from a fuzz with a fixed seed and past faults, at connections as listeners use them."""

import asyncio
import re

import attrs
import testtools
from hypothesis import example, given, seed, settings
from hypothesis import strategies as st
from uvicorn.server import ServerState

from cranberrylever.answer_memory import AnswerMemory
from cranberrylever.http_limits import ListenerLimits
from cranberrylever.http_listener import create_protocol_class
from cranberrylever.http_server import server_config

LIMITS = ListenerLimits(
    max_head_bytes=2_000, max_requests_ahead=4, max_bytes_ahead=20_000, max_dropped_bytes=4_000
)
MAX_HELD_BYTES = 600_000
"""About 100 requests in a part of 2 KiB, by the limits, and a read of 64 KiB."""

TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
HOST = b"host: x\r\n"
UPGRADE = b"connection: upgrade\r\nupgrade: h2c\r\n"
PARTS = [
    b"GET /a HTTP/1.1\r\n",
    b"POST /b HTTP/1.1\r\n",
    b"GET http://x/ HTTP/1.0\r\n",
    b"CONNECT x:1 HTTP/1.1\r\n",
    b"PRI * HTTP/2.0\r\n",
    b"GET / HTTP/2.0\r\n",
    b"GET / HTTP/0.9\r\n",
    b"GET /\r\n",
    HOST,
    b"\r\n",
    b"\n",
    b"\r",
    b"content-length: 3\r\n",
    b"content-length: 4\r\n",
    b"content-length: +3\r\n",
    b"content-length: -3\r\n",
    b"content-length: 3, 3\r\n",
    b"content-length: 99999999999999999999\r\n",
    b"transfer-encoding: chunked\r\n",
    b"transfer-encoding: chunked, identity\r\n",
    b"transfer-encoding: gzip\r\n",
    b"connection: close\r\n",
    UPGRADE,
    b"expect: 100-continue\r\n",
    b" folded\r\n",
    b"name : v\r\n",
    b"name: \0\r\n",
    b"name: " + b"v" * 1_500 + b"\r\n",
    b"abc",
    b"3\r\nabc\r\n",
    b"3;x=y\r\nabc\r\n",
    b"0\r\n\r\n",
    b"0\r\nname: v\r\n\r\n",
    b"fffffffffffffffff\r\n",
]
GOOD = [
    PARTS[0] + HOST + b"\r\n",
    PARTS[1] + HOST + b"content-length: 3\r\n\r\nabc",
    PARTS[1] + HOST + b"transfer-encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nname: v\r\n\r\n",
]
REQUESTS = st.builds(
    lambda line, fields, rest: line + HOST + b"".join(fields) + b"\r\n" + rest,
    st.sampled_from(PARTS[:3]),
    st.lists(st.sampled_from(PARTS), min_size=1, max_size=2),
    st.sampled_from(PARTS[-6:]),
)
JUNK = st.sampled_from(PARTS) | st.binary(max_size=8)
FLAGS = st.booleans(), st.booleans()
CORPUS = [
    # Two lengths, a length beside chunks, and trailers that name a length or a host.
    [PARTS[1] + HOST + b"content-length: 3\r\ncontent-length: 4\r\n\r\nabcd"],
    [PARTS[1] + HOST + b"content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"],
    [PARTS[1] + HOST + b"transfer-encoding: chunked\r\n\r\n0\r\nhost: y\r\ncontent-length: 9\r\n\r\n"],
    # Bytes behind an upgrade, an invalid request behind a good one, and empty lines.
    [PARTS[0] + HOST + b"connection: upgrade\r\nupgrade: h2c\r\n\r\n" + PARTS[0] + HOST + b"\r\n"],
    [PARTS[0] + HOST + b"\r\nno request\r\n\r\n"],
    [b"\r\n" * 3_000],
    # A body beside an upgrade, which the parser takes for the next request.
    [PARTS[1] + HOST + b"content-length: 4\r\n" + UPGRADE + b"\r\n" + b"GET "],
    [PARTS[1] + HOST + UPGRADE + b"transfer-encoding: chunked\r\n\r\n" + PARTS[0] + HOST + b"\r\n"],
    # Versions that no listener serves.
    [b"PRI * HTTP/2.0\r\n" + HOST + b"\r\nSM\r\n\r\n"],
    [b"GET / HTTP/2.0\r\n" + HOST + b"\r\n"],
    [b"GET / HTTP/0.9\r\n\r\n"],
    # Many requests, and a body in large chunks.
    [(PARTS[0] + HOST + b"\r\n") * 2_000],
    [PARTS[1] + HOST + b"transfer-encoding: chunked\r\n\r\n" + b"1000\r\n" + b"b" * 4_096 + b"\r\n" * 9],
]


class FakeTransport(asyncio.Transport):
    """Transport whose caller reads everything at once."""

    def __init__(self):
        super().__init__()
        self.written = bytearray()
        self.is_reading = True
        self.is_closed = False

    def write(self, data):
        self.written += data

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def write_eof(self):
        pass

    def is_closing(self):
        return self.is_closed

    def close(self):
        self.is_closed = True

    abort = close

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True


@attrs.define
class Outcome:
    """Requests with their bodies as the application saw them, the largest size held, and errors."""

    requests: list = attrs.field(factory=list)
    held: int = 0
    errors: list = attrs.field(factory=list)
    written: bytes = b""


def feed(parts, gives_answers=True):
    """Feed parts to a connection, only while it reads, and return the outcome."""
    outcome = Outcome()

    async def app(scope, receive, send):
        body, more = b"", True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body, more = body + message["body"], message["more_body"]
        outcome.requests.append((scope, body))
        if not gives_answers:
            await asyncio.sleep(60.0)
        headers = [(b"content-length", b"0")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    async def main():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: outcome.errors.append(context))
        config = server_config(app)
        config.load()
        state = ServerState()
        protocol_class = create_protocol_class(LIMITS, AnswerMemory())
        connection = protocol_class(config=config, server_state=state, app_state={})
        transport = FakeTransport()
        connection.connection_made(transport)
        for part in parts:
            if not transport.is_reading or transport.is_closed:
                break
            connection.data_received(part)
            outcome.held = max(outcome.held, connection.ahead.total + len(connection.unparsed))
            for _ in range(4):
                await asyncio.sleep(0)
        for _ in range(200):
            await asyncio.sleep(0)
        connection.connection_lost(None)
        for task in list(state.tasks):
            task.cancel()
        await asyncio.sleep(0)
        outcome.written = bytes(transport.written)

    asyncio.run(main())
    return outcome


def check(outcome):
    """Check that nothing failed or grew, and that each accepted request has one reading."""
    assert not outcome.errors, outcome.errors
    assert b"HTTP/1.1 500 " not in outcome.written
    assert outcome.held < MAX_HELD_BYTES, outcome.held
    for scope, body in outcome.requests:
        names = [name for name, _ in scope["headers"]]
        assert scope["http_version"] in ("1.0", "1.1"), scope
        assert names.count(b"host") == 1 or scope["http_version"] == "1.0", scope
        assert all(TOKEN.fullmatch(name) for name in names), names
        assert not any(set(value) & set(b"\0\r\n") for _, value in scope["headers"]), scope
        lengths = [value for name, value in scope["headers"] if name == b"content-length"]
        codings = [value for name, value in scope["headers"] if name == b"transfer-encoding"]
        assert len(lengths) + len(codings) <= 1, scope
        assert all(value.isdigit() and int(value) == len(body) for value in lengths), scope
        assert all(value.lower() == b"chunked" for value in codings), scope
        assert not (codings and (b"upgrade" in names)), scope
        assert lengths or codings or not body, scope


class CallerBytesTest(testtools.TestCase):
    def test_past_faults(self):
        """Guards against the return of a fault."""
        for parts in CORPUS:
            for gives_answers in (True, False):
                check(feed(parts, gives_answers))

    def test_any_bytes(self):
        """Guards against exceptions, growth and requests that two programs read differently."""

        @seed(44)
        @settings(max_examples=400, deadline=None, database=None)
        @given(st.lists(st.sampled_from(GOOD) | REQUESTS | JUNK, min_size=1, max_size=12), *FLAGS)
        @example([b"\r\n", b"G", b"ET / HTTP/1.1\r\n", HOST, b"\r\n"], True, False)
        def run(parts, gives_answers, is_one_read):
            outcome = feed([b"".join(parts)] if is_one_read else parts, gives_answers)
            accepted.append(len(outcome.requests))
            check(outcome)

        accepted = []
        run()
        # Most of the bytes have to be requests for the checks to mean something.
        assert sum(accepted) > 100, (len(accepted), sum(accepted))
