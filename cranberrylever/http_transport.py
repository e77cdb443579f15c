"""Write side of a listener's connection: joined writes, and an end that loses no answer."""

import asyncio
import fcntl
import math
import struct
import termios

from cranberrylever.answer_memory import AnswerMemory
from cranberrylever.memory_limit import MIN_COUNTED_BYTES

LINGER_S = 1.0
"""Time for which a connection is read after its last answer has left the process.

A close with unread bytes makes the kernel reset the connection and drop what it has not delivered yet. Most
callers close at once when they see the end.
"""

MAX_LINGER_S = 6.0
"""The same while the kernel still has bytes of the answer."""

MAX_LINGER_BYTES = 16 * 1_048_576
"""Limit on the bytes read and dropped in this time, for callers that go on sending a body."""

STALL_TIMEOUT_S = 20.0
"""Time after which a connection is reset whose caller has read nothing of its answer meanwhile."""


def _closing() -> bool:
    return True


class AnswerTransport:
    """Transport that joins all writes of one loop iteration into one system call.

    uvicorn writes the head and the body of an answer separately. Other calls go to the wrapped transport. Its
    protocol is told when the first byte stays in the process (``pause_writing``) and when the last one has
    left (``resume_writing``).

    Args:
        transport: The transport to wrap.
        loop: Its event loop.
        memory: Counts the bytes that stay in the process.
    """

    def __init__(
        self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop, memory: AnswerMemory
    ) -> None:
        self.memory = memory
        self.counted_bytes = 0
        self.transport = transport
        self.loop = loop
        self.pending: list[bytes] = []
        self.is_full = False
        self.stall_timer: asyncio.TimerHandle | None = None
        self.is_ending = False
        self.dropped_bytes = 0
        self.linger_until = 0.0
        self.linger_timer: asyncio.TimerHandle | None = None
        self.pause_reading = transport.pause_reading
        self.resume_reading = transport.resume_reading
        self.is_closing = transport.is_closing
        self.abort = transport.abort
        self.get_extra_info = transport.get_extra_info
        transport.set_write_buffer_limits(0)

    def write(self, data: bytes) -> None:
        """Buffer ``data`` until the end of this loop iteration."""
        if self.is_ending:
            return
        if not self.pending:
            self.loop.call_soon(self.flush)
        self.pending.append(data)
        if len(data) >= MIN_COUNTED_BYTES:
            self._count(self.counted_bytes + len(data))

    def flush(self) -> None:
        """Write the buffered data."""
        if self.pending:
            data = b"".join(self.pending)
            self.pending = []
            self.transport.write(data)
            if self.counted_bytes or self.is_full:
                unsent = self.transport.get_write_buffer_size()
                self._count(unsent)
                self.memory.record_unsent(unsent)

    def _count(self, size: int) -> None:
        difference = size - self.counted_bytes
        self.counted_bytes = size
        self.memory.change(difference)

    def on_full(self) -> None:
        """Watch whether the caller reads the bytes that stay in the process."""
        self.is_full = True
        self._watch_progress()

    def _watch_progress(self, unsent_before: float = math.inf) -> None:
        unsent = self.transport.get_write_buffer_size()
        if unsent >= unsent_before:
            self.transport.abort()
        else:
            self.stall_timer = self.loop.call_later(STALL_TIMEOUT_S, self._watch_progress, unsent)

    def unsent_bytes(self) -> int:
        """Return the number of bytes that have not left the process."""
        return sum(map(len, self.pending)) + self.transport.get_write_buffer_size()

    def close(self) -> None:
        """End the connection after all data: send the rest, then the end, and read what still comes."""
        if self.is_ending:
            return
        self.is_ending = True
        self.flush()
        if self.transport.is_closing():
            return
        self.is_closing = _closing
        self.transport.resume_reading()
        try:
            self.transport.write_eof()
        except OSError:
            self.transport.abort()
            return
        if not self.transport.get_write_buffer_size():
            self.on_empty()

    def end(self) -> None:
        """Close the connection without reading what still comes."""
        self.is_ending = True
        self.flush()
        self.transport.close()

    def on_empty(self) -> None:
        """Limit the time of an ending connection, as the last byte has left the process."""
        self.is_full = False
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        if self.counted_bytes:
            self._count(0)
        if self.is_ending and self.linger_timer is None:
            self.linger_until = self.loop.time() + MAX_LINGER_S
            self.linger_timer = self.loop.call_later(LINGER_S, self._end_lingering)

    def _end_lingering(self) -> None:
        if self.loop.time() < self.linger_until and self._undelivered_bytes() > 0:
            self.linger_timer = self.loop.call_later(LINGER_S, self._end_lingering)
        else:
            self.transport.close()

    def _undelivered_bytes(self) -> int:
        """Return the bytes in the kernel that the caller's has not acknowledged, without the end."""
        sock = self.transport.get_extra_info("socket")
        (unacknowledged,) = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4))
        return unacknowledged - 1

    def drop(self, data: bytes) -> None:
        """Drop bytes that came after the end of the last answer."""
        self.dropped_bytes += len(data)
        if self.dropped_bytes > MAX_LINGER_BYTES:
            self.transport.close()

    def on_lost(self) -> None:
        """Release what a connection that is closed held."""
        self.pending = []
        self._count(0)
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        if self.linger_timer is not None:
            self.linger_timer.cancel()
