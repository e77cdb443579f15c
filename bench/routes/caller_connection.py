"""One connection of a caller, which can send and read slowly and sees how a request ends."""

import asyncio
import contextlib
import socket

import attrs

SLOW_BUFFER_BYTES = 4_096
"""Receive buffer of a caller that reads slowly, so that the rest stays at the entry."""

READ_STEP_BYTES = 65_536


@attrs.define
class CallerAnswer:
    """An answer as far as it arrived; ``status`` is 0 without one."""

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    is_complete: bool = False


@attrs.define(eq=False)
class CallerConnection:
    """A connection to an entry.

    Attributes:
        opened_at: Loop time at which it was established.
        is_open: Whether another request may be sent.
        sent_at: Loop time at which the last byte of the last request was sent, ``inf`` before.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_slow_reader: bool
    opened_at: float
    is_open: bool = True
    sent_at: float = float("inf")

    async def exchange(self, parts: list[bytes], pause: float, read_time: float) -> CallerAnswer:
        """Send a request in parts with pauses between them, and read the answer for up to ``read_time``."""
        self.sent_at = float("inf")
        answer = CallerAnswer()
        sending = asyncio.get_running_loop().create_task(self._send(parts, pause))
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._read(answer, read_time)
        finally:
            # An answer may come before the request is complete; the connection cannot be used again then.
            is_sent = sending.done()
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
        self.is_open = is_sent and answer.is_complete and answer.headers.get("connection") != "close"
        return answer

    def is_ended(self) -> bool:
        """Return whether the entry has closed the connection."""
        return self.reader.at_eof() or self.reader.exception() is not None

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False
        with contextlib.suppress(OSError):
            self.writer.close()

    async def _send(self, parts: list[bytes], pause: float) -> None:
        for index, part in enumerate(parts):
            if index:
                await asyncio.sleep(pause)
            self.writer.write(part)
            await self.writer.drain()
        self.sent_at = asyncio.get_running_loop().time()

    async def _read(self, answer: CallerAnswer, read_time: float) -> None:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.status = int(head[0].split(" ")[1])
        for line in head[1:]:
            name, _, value = line.partition(":")
            answer.headers[name.lower()] = value.strip().lower()
        size = int(answer.headers.get("content-length", "0"))
        received = bytearray()
        while len(received) < size:
            data = await self.reader.read(min(READ_STEP_BYTES, size - len(received)))
            if not data:
                return
            received += data
            if self.is_slow_reader:
                await asyncio.sleep(read_time * len(data) / size)
        answer.body = bytes(received)
        answer.is_complete = True


async def open_caller_connection(address: str, is_slow_reader: bool) -> CallerConnection:
    """Connect to an entry.

    Raises:
        OSError: The entry does not accept connections.
    """
    host, _, port = address.rpartition(":")
    connection = socket.socket()
    connection.setblocking(False)
    if is_slow_reader:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
    try:
        await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=connection, limit=READ_STEP_BYTES)
    except BaseException:
        connection.close()
        raise
    return CallerConnection(reader, writer, is_slow_reader, asyncio.get_running_loop().time())
