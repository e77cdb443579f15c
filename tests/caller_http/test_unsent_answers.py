"""Tests of answers that callers read slowly, at listeners that stop."""

import asyncio

import testtools

from cranberrylever.caller_http import CallerServer
from cranberrylever.http_server import HttpServer
from cranberrylever.route_entry import RouteEntryTuning
from tests.caller_http.slow_reader import SlowReader

ANSWER_BYTES = 12_000_000
REQUEST = b"POST /a HTTP/1.1\r\nhost: x\r\nrequest-id: q1\r\ncontent-length: 2\r\n\r\nab"
NEXT_REQUEST = REQUEST.replace(b"q1", b"q2")
WAIT_S = 6.0
UNREADABLE_RATE = 200_000.0


class LargeAnswerApp:
    """Application that answers each request at once with a large body."""

    def __init__(self):
        self.answered = asyncio.Event()

    async def __call__(self, scope, receive, send):
        await receive()
        headers = [(b"content-length", str(ANSWER_BYTES).encode())]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"b" * ANSWER_BYTES, "more_body": False})
        self.answered.set()


def create_caller_server(app):
    return CallerServer(app, "127.0.0.1:0", RouteEntryTuning())


def create_http_server(app):
    return HttpServer(app, "127.0.0.1:0")


def read_id(scope):
    return dict(scope["headers"])[b"request-id"].decode()


def connections(server):
    state = server.server.server_state if isinstance(server, HttpServer) else server.state
    return list(state.connections)


async def stop(server, timeout):
    """Stop a listener, then close what is open as the end of the process does."""
    if isinstance(server, HttpServer):
        await server.close()
    else:
        server.stop_accepting()
        await server.wait_finished(timeout)
    for connection in connections(server):
        connection.transport.abort()
    await asyncio.sleep(0)


def run_stop(create_server, timeout=WAIT_S, delay=0.05, **reader_options):
    """Stop a listener that has given its answer to a slow reader; return the reader and the time it took."""
    readers = []

    async def main():
        app = LargeAnswerApp()
        server = create_server(app)
        await server.start()
        readers.append(SlowReader(server.bound_address, REQUEST, **reader_options))
        readers[0].start()
        await app.answered.wait()
        await asyncio.sleep(delay)
        started = asyncio.get_running_loop().time()
        await stop(server, timeout)
        return server, asyncio.get_running_loop().time() - started

    server, elapsed = asyncio.run(main())
    readers[0].join()
    return readers[0], server, elapsed


class StopTest(testtools.TestCase):
    def test_stop_waits_until_a_slow_reader_has_the_answer(self):
        """Guards against an answer that is in the send buffer when the process ends."""
        for create_server in (create_caller_server, create_http_server):
            reader, _, elapsed = run_stop(create_server)
            assert len(reader.body) == ANSWER_BYTES, (create_server, len(reader.body), reader.error, elapsed)

    def test_answer_that_is_cut_off_at_the_end_of_the_stop_is_reported(self):
        """Guards against a part of an answer that no log shows to be the entry's doing."""

        def create_server(app):
            return CallerServer(app, "127.0.0.1:0", RouteEntryTuning(), read_id)

        reader, server, elapsed = run_stop(create_server, timeout=0.5, rate=UNREADABLE_RATE)
        assert 0 < len(reader.body) < ANSWER_BYTES
        assert 0.5 <= elapsed < 0.8, elapsed
        cut_off = server.cut_off_answers
        assert (cut_off.answers, cut_off.requests) == (1, ("q1",)), cut_off
        assert 0 < cut_off.unsent_bytes < ANSWER_BYTES
