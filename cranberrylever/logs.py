"""Structured logs over eliot, with a buffered writer that does not block the event loop."""

import os
import threading
import time
import traceback
from collections import deque
from collections.abc import Callable

import eliot
import msgspec

from cranberrylever.errors import SettingError
from cranberrylever.settings import LogSettings

FLUSH_INTERVAL_S = 0.1
"""Time between writes of buffered lines."""

MAX_BUFFERED_LINES = 20_000
"""Lines buffered while the reader is slow; further lines are dropped and counted."""

CLOSE_TIMEOUT_S = 0.2
"""Time for the last lines at the end of a program, which may be killed soon."""

STDOUT_DESCRIPTOR = 1
STDERR_DESCRIPTOR = 2

_LEVEL_RANKS = {"debug": 0, "info": 1, "warning": 2, "error": 3}
_json_encoder = msgspec.json.Encoder(enc_hook=str)


class BufferedLogWriter:
    """Eliot destination that encodes and writes lines in a separate thread.

    The event loop only appends to a bounded queue. Lines beyond ``max_lines`` are dropped and counted; the
    count is written as soon as the destination accepts lines again.

    Args:
        write: Blocking function that writes bytes.
        max_lines: Maximum number of buffered lines.

    Attributes:
        dropped: Lines dropped because the buffer was full.
        lost: Lines lost to a write error.
    """

    def __init__(self, write: Callable[[bytes], None], max_lines: int = MAX_BUFFERED_LINES) -> None:
        self.write = write
        self.max_lines = max_lines
        self.dropped = 0
        self.pending: deque[dict] = deque()
        self.lost = 0
        self._dropped_reported = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        self._thread.start()

    def __call__(self, message: dict) -> None:
        """Buffer one eliot message, or drop and count it when the buffer is full."""
        if len(self.pending) >= self.max_lines:
            self.dropped += 1
            return
        self.pending.append(message)

    def close(self, timeout: float = CLOSE_TIMEOUT_S) -> None:
        """Write the buffered lines; give up after ``timeout`` seconds when the destination blocks."""
        self._stop.set()
        self._thread.join(timeout)

    def _run(self) -> None:
        while not self._stop.wait(FLUSH_INTERVAL_S):
            self._flush()
        self._flush()

    def _flush(self) -> None:
        # Only this thread removes lines and only the event loop adds them, so the deque needs no lock.
        lines = [_json_encoder.encode(self.pending.popleft()) for _ in range(len(self.pending))]
        dropped = self.dropped
        if dropped > self._dropped_reported:
            drop_notice = {
                "message_type": "log_lines_dropped",
                "count": dropped - self._dropped_reported,
                "timestamp": time.time(),
            }
            lines.append(_json_encoder.encode(drop_notice))
        if not lines:
            return
        lines.append(b"")
        try:
            self.write(b"\n".join(lines))
        except OSError:
            self.lost += len(lines) - 1
            return
        self._dropped_reported = dropped


def _descriptor_writer(descriptor: int) -> Callable[[bytes], None]:
    def write(data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    return write


def open_log(settings: LogSettings) -> BufferedLogWriter:
    """Return a writer to the destination in ``settings``.

    Raises:
        SettingError: The destination cannot be opened.
    """
    if settings.destination == "-":
        return BufferedLogWriter(_descriptor_writer(STDERR_DESCRIPTOR))
    if settings.destination == "stdout":
        return BufferedLogWriter(_descriptor_writer(STDOUT_DESCRIPTOR))
    try:
        descriptor = os.open(settings.destination, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
    except OSError as error:
        raise SettingError(
            f"the log destination {settings.destination!r} cannot be opened: {error.strerror}",
            "give a path that this user can write to, or - for standard error",
        ) from error
    return BufferedLogWriter(_descriptor_writer(descriptor))


class Log:
    """Structured log of one program; each line contains ``program`` and ``node``."""

    def __init__(self, program: str, node: str, level: str = "info") -> None:
        self.program = program
        self.node = node
        self.minimum_rank = _LEVEL_RANKS.get(level, 1)
        self.logger = eliot.Logger()
        self._last_line_number = 0

    def write(self, level: str, message_type: str, **fields: object) -> None:
        """Write one line unless ``level`` is below the minimum level."""
        if _LEVEL_RANKS[level] >= self.minimum_rank:
            self._send(message_type, fields)

    def info(self, message_type: str, **fields: object) -> None:
        """Write one line about normal operation."""
        self.write("info", message_type, **fields)

    def warning(self, message_type: str, **fields: object) -> None:
        """Write one line about a fault that the program handles."""
        self.write("warning", message_type, **fields)

    def failure(self, message_type: str, error: BaseException, **fields: object) -> None:
        """Write one line about an unexpected exception, with its traceback."""
        formatted_traceback = "".join(traceback.format_exception(error))
        self.write("error", message_type, error=repr(error), traceback=formatted_traceback, **fields)

    def decision(
        self,
        service: str,
        key_hash: int | None,
        target: str | None,
        reason: str,
        fence: int,
        view_version: int,
    ) -> None:
        """Write one line about a routing or placement decision."""
        if self.minimum_rank > 1:
            return
        self._send(
            "decision",
            {
                "service": service,
                "key_hash": key_hash,
                "target": target,
                "reason": reason,
                "fence": fence,
                "view_version": view_version,
            },
        )

    def _send(self, message_type: str, fields: dict[str, object]) -> None:
        # A task id would cost a random UUID per line; the node and a line number identify the line as well.
        self._last_line_number += 1
        fields["message_type"] = message_type
        fields["timestamp"] = time.time()
        fields["program"] = self.program
        fields["node"] = self.node
        fields["task_uuid"] = self.node
        fields["task_level"] = [self._last_line_number]
        self.logger.write(fields)


class InstalledLog:
    """Reference of one program to a log destination, which programs in one process can share."""

    reference_counts: dict[str, int] = {}
    writers: dict[str, BufferedLogWriter] = {}

    def __init__(self, settings: LogSettings) -> None:
        self.destination = settings.destination
        if self.destination not in self.writers:
            self.writers[self.destination] = open_log(settings)
            eliot.add_destinations(self.writers[self.destination])
        self.reference_counts[self.destination] = self.reference_counts.get(self.destination, 0) + 1

    def close(self) -> None:
        """Drop the reference; the last one writes the buffered lines and removes the writer."""
        self.reference_counts[self.destination] -= 1
        if self.reference_counts[self.destination]:
            return
        writer = self.writers.pop(self.destination)
        eliot.remove_destination(writer)
        writer.close()


def install_log(settings: LogSettings) -> InstalledLog:
    """Send the eliot messages of this process to the destination in ``settings``.

    Lines go to all destinations installed in the process; ``node`` in each line identifies the program.
    """
    return InstalledLog(settings)
