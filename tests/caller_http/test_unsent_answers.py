"""Tests of answers that callers read slowly, at listeners that stop."""

import asyncio

import testtools

from cranberrylever.answer_memory import AnswerMemory
from cranberrylever.caller_http import CallerServer
from cranberrylever.http_server import HttpServer
from cranberrylever.http_transport import STALL_TIMEOUT_S, AnswerTransport
from cranberrylever.route_entry import RouteEntryTuning
from tests.caller_http.slow_reader import SlowReader
from tests.support import run_in_simulated_time

ANSWER_BYTES = 10_000_000
REQUEST = b"POST /a HTTP/1.1\r\nhost: x\r\nrequest-id: q1\r\ncontent-length: 2\r\n\r\nab"
NEXT_REQUEST = REQUEST.replace(b"q1", b"q2")
WAIT_S = 6.0
UNREADABLE_RATE = 200_000.0
KERNEL_BYTES = 1_500_000
"""Size of an answer that the kernel takes at once, while its caller reads it."""

REST_OF_BODY = b"b" * 4_000_000
EARLY = b"POST /close HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n" % (len(REST_OF_BODY) + 1) + b"a"


class LargeAnswerApp:
    """Application that answers each request at once with a large body, though more of its own may come."""

    def __init__(self, size=ANSWER_BYTES):
        self.size = size
        self.answered = asyncio.Event()

    async def __call__(self, scope, receive, send):
        await receive()
        headers = [(b"content-length", str(self.size).encode())]
        if scope["path"] == "/close":
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"b" * self.size, "more_body": False})
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
        await server.wait_finished(asyncio.get_running_loop().time() + timeout)
        await server.close()
    for connection in connections(server):
        connection.transport.abort()
    await asyncio.sleep(0)


def run_stop(
    create_server, timeout=WAIT_S, size=ANSWER_BYTES, request=REQUEST, stops_after=0.05, **reader_options
):
    """Stop a listener that has given its answer to a slow reader; return the reader and the time it took."""
    readers = []

    async def main():
        app = LargeAnswerApp(size)
        server = create_server(app)
        await server.start()
        readers.append(SlowReader(server.bound_address, request, **reader_options))
        readers[0].start()
        await app.answered.wait()
        await asyncio.sleep(stops_after)
        started = asyncio.get_running_loop().time()
        await stop(server, timeout)
        return server, asyncio.get_running_loop().time() - started

    server, elapsed = asyncio.run(main())
    readers[0].finish()
    return readers[0], server, elapsed


class FakeTransport:
    """Transport whose caller reads nothing."""

    pause_reading = resume_reading = is_closing = get_extra_info = set_write_buffer_limits = id

    def __init__(self, aborted):
        self.size = 0
        self.aborted = aborted

    def write(self, data):
        self.size += len(data)

    def get_write_buffer_size(self):
        return self.size

    def abort(self):
        self.aborted.set_result(None)


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

    def test_answer_that_waits_behind_one_being_sent_counts_as_a_running_request(self):
        """Guards against a cut-off answer that is counted twice, not at all, or under the next one's id."""

        async def main():
            server = CallerServer(LargeAnswerApp(), "127.0.0.1:0", RouteEntryTuning(), read_id)
            await server.start()
            reader = SlowReader(server.bound_address, REQUEST + NEXT_REQUEST, UNREADABLE_RATE)
            reader.start()
            while len(server.state.tasks) != 1 or not server.state.total_requests:
                await asyncio.sleep(0.01)
            server.stop_accepting()
            await server.wait_finished(asyncio.get_running_loop().time() + 0.3)
            cut_off_requests = await server.close()
            for connection in connections(server):
                connection.transport.abort()
            await asyncio.sleep(0)
            return cut_off_requests, server.cut_off_answers, reader

        cut_off_requests, cut_off, reader = asyncio.run(main())
        reader.finish()
        assert cut_off_requests == 1
        assert (cut_off.answers, cut_off.requests) == (1, ("q1",)), cut_off

    def test_the_listener_of_control_reports_cut_off_answers_too(self):
        """Guards against the same at the listener for operators and targets, whose calls have no ids."""

        async def main():
            app = LargeAnswerApp()
            server = HttpServer(app, "127.0.0.1:0", finish_timeout=0.3)
            await server.start()
            reader = SlowReader(server.bound_address, REQUEST, UNREADABLE_RATE)
            reader.start()
            await app.answered.wait()
            cut_off = await server.close()
            for connection in connections(server):
                connection.transport.abort()
            await asyncio.sleep(0)
            return cut_off, reader

        cut_off, reader = asyncio.run(main())
        reader.finish()
        assert (cut_off.answers, cut_off.requests) == (1, ("POST /a",)), cut_off
        assert cut_off.unsent_bytes > 0


class UnreadBytesTest(testtools.TestCase):
    def test_caller_that_sends_its_next_request_at_the_stop_gets_the_answer_before_it(self):
        """Guards against the reset by which a close with unread bytes drops an answer on its way."""
        for create_server in (create_caller_server, create_http_server):
            for rate, later_after in ((2_000_000.0, 0.3), (700_000.0, 1.6)):
                reader, _, _ = run_stop(
                    create_server, size=KERNEL_BYTES, rate=rate, later=NEXT_REQUEST, later_after=later_after
                )
                assert len(reader.body) == KERNEL_BYTES, (create_server, len(reader.body), reader.error)

    def test_answer_that_ends_a_connection_arrives_while_a_body_is_sent(self):
        """Guards against the same reset after an early answer, such as 413, with the body still coming."""
        for create_server in (create_caller_server, create_http_server):
            reader, _, _ = run_stop(
                create_server,
                size=KERNEL_BYTES,
                request=EARLY,
                stops_after=1.5,
                rate=2_000_000.0,
                later=REST_OF_BODY,
                later_after=0.2,
            )
            assert len(reader.body) == KERNEL_BYTES, (create_server, len(reader.body), reader.error)


class StallTest(testtools.TestCase):
    def test_caller_that_reads_nothing_does_not_hold_its_answer_for_good(self):
        """Guards against callers that keep an entry's memory full by not reading."""

        async def main():
            loop = asyncio.get_running_loop()
            memory = AnswerMemory()
            aborted = loop.create_future()
            transport = AnswerTransport(FakeTransport(aborted), loop, memory)
            transport.write(b"b" * ANSWER_BYTES)
            await asyncio.sleep(0)
            transport.on_full()
            sizes = [memory.held]
            transport.transport.size -= 1
            started = loop.time()
            await aborted
            elapsed = loop.time() - started
            transport.on_lost()
            return [*sizes, memory.held], elapsed

        sizes, elapsed = run_in_simulated_time(main)
        assert sizes == [ANSWER_BYTES, 0]
        # A byte was read in the first interval.
        assert 2 * STALL_TIMEOUT_S <= elapsed < 2 * STALL_TIMEOUT_S + 0.1, elapsed

    def test_answer_to_a_connection_that_is_gone_takes_no_memory(self):
        """Guards against bytes that count for good, as a request before a pipelined one is not told."""

        async def main():
            memory = AnswerMemory()
            may_answer = asyncio.Event()

            async def app(scope, receive, send):
                await may_answer.wait()
                headers = [(b"content-length", str(ANSWER_BYTES).encode())]
                await send({"type": "http.response.start", "status": 200, "headers": headers})
                await send({"type": "http.response.body", "body": b"b" * ANSWER_BYTES, "more_body": False})

            server = CallerServer(app, "127.0.0.1:0", RouteEntryTuning(), read_id, memory)
            await server.start()
            host, port = server.bound_address.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(REQUEST + NEXT_REQUEST)
            while not server.state.tasks:
                await asyncio.sleep(0.01)
            # The end is seen once reading goes on, so the connection is reset at the listener.
            connections(server)[0].transport.abort()
            await asyncio.sleep(0.05)
            may_answer.set()
            await asyncio.sleep(0.05)
            writer.close()
            server.stop_accepting()
            await server.wait_finished(1.0)
            return memory.held

        assert asyncio.run(main()) == 0
