"""Tests against servers that send bytes without end that are no answer, until the caller closes."""

import asyncio

import testtools

from cranberrylever.target_http import AnswerLostError, TargetPool
from tests.target_http.test_connection import REQUEST, ScriptedServer, answer

PART_BYTES = 16_384
SLOW_PART_BYTES = 64
ENOUGH_BYTES = 64 * 1_048_576
"""Bytes after which a server gives up that its caller closes the connection."""


def endless(start, part):
    """Return a step that sends ``start`` and then ``part`` until the caller closes or it was sent enough."""

    async def step(writer):
        writer.write(start)
        for _ in range(ENOUGH_BYTES // len(part)):
            writer.write(part)
            await writer.drain()
        await asyncio.sleep(60)

    return step


def exchange_with(step, request_id=b"1"):
    """Return the error of a request to a server that runs ``step``."""

    async def main():
        async with ScriptedServer(step) as server:
            pool = TargetPool(b"x-id")
            try:
                async with asyncio.timeout(5.0):
                    await pool.exchange(server.address, b"GET", REQUEST, request_id)
            except AnswerLostError as error:
                return error
            finally:
                pool.close()

    return asyncio.run(main())


class EndlessBytesTest(testtools.TestCase):
    def check(self, start, part):
        error = exchange_with(endless(start, part))
        assert isinstance(error, AnswerLostError), error
        assert not error.is_disconnect, error

    def test_head_line_without_end(self):
        """Guards against memory that fills with one header until the request times out."""
        self.check(b"HTTP/1.1 200 OK\r\nx-filler: ", b"a" * PART_BYTES)

    def test_header_lines_without_end(self):
        """Guards against memory that fills with headers until the request times out."""
        self.check(b"HTTP/1.1 200 OK\r\n", b"x-filler: aaaaaaaaaaaaaaaa\r\n" * 512)

    def test_body_without_end(self):
        """Guards against a body that is kept until the process runs out of memory."""
        self.check(b"HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\n", b"a" * PART_BYTES)

    def test_chunks_without_end(self):
        """Guards against the same in chunks."""
        self.check(
            b"HTTP/1.1 200 OK\r\nx-id: 1\r\ntransfer-encoding: chunked\r\n\r\n",
            b"400\r\n" + b"a" * 1_024 + b"\r\n",
        )

    def test_chunk_extension_without_end(self):
        """Guards against memory that fills with bytes between the chunks of a body."""
        self.check(b"HTTP/1.1 200 OK\r\nx-id: 1\r\ntransfer-encoding: chunked\r\n\r\n1;x=", b"a" * PART_BYTES)

    def test_trailer_without_end(self):
        """Guards against memory that fills with headers after the last chunk."""
        self.check(
            b"HTTP/1.1 200 OK\r\nx-id: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx-filler: ",
            b"a" * PART_BYTES,
        )

    def test_interim_answers_without_end(self):
        """Guards against a connection that is read, at full speed, until the request times out."""
        self.check(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 64)

    def test_answers_to_other_requests_without_end(self):
        """Guards against the same with answers that bear another request id."""
        self.check(b"", answer(b"9") * 64)

    def test_bytes_that_are_not_http(self):
        """Guards against bytes in no protocol that are read on."""
        self.check(b"", b"\x00\xff" * PART_BYTES)


async def slow_answer(writer):
    whole = answer(b"1", b"ab" * 512)
    for start in range(0, len(whole), SLOW_PART_BYTES):
        writer.write(whole[start : start + SLOW_PART_BYTES])
        await asyncio.sleep(0.01)
    return True


class ManyEndlessBodiesTest(testtools.TestCase):
    BUFFER_BYTES = 4 * 1_048_576

    def test_many_bodies_without_end_stay_within_the_memory(self):
        """Guards against a process that is killed for its memory while several targets send without end.

        A request to a sound target beside them must get its answer.
        """

        async def main():
            start = b"HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\n"
            peak = 0
            async with (
                ScriptedServer(endless(start, b"a" * PART_BYTES)) as first,
                ScriptedServer(endless(start, b"a" * PART_BYTES)) as second,
                ScriptedServer(endless(start, b"a" * PART_BYTES)) as third,
                ScriptedServer(slow_answer) as sound,
            ):
                pool = TargetPool(b"x-id", max_buffered_bytes=self.BUFFER_BYTES)
                endless_servers = (first, second, third)
                requests = [
                    asyncio.create_task(pool.exchange(server.address, b"GET", REQUEST, b"1"))
                    for server in endless_servers
                ]
                requests.append(asyncio.create_task(pool.exchange(sound.address, b"GET", REQUEST, b"1")))
                async with asyncio.timeout(10.0):
                    while not all(request.done() for request in requests):
                        peak = max(peak, pool.buffered_bytes)
                        await asyncio.sleep(0)
                pool.close()
            return peak, [request.exception() for request in requests[:-1]], requests[-1].result()

        peak, errors, result = asyncio.run(main())
        assert 0 < peak <= self.BUFFER_BYTES, peak
        assert all(isinstance(error, AnswerLostError) for error in errors), errors
        assert result.body == b"ab" * 512, result
