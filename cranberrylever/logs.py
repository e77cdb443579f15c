"""Log set-up over eliot, with a buffered writer that never stalls the event loop."""

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

FLUSH_INTERVAL = 0.1
"""Seconds between writes of buffered lines."""

MAX_BUFFERED_LINES = 20_000
"""Lines kept for a slow reader; later lines are dropped and counted."""

STANDARD_OUTPUT = 1
STANDARD_ERROR = 2

_LEVELS = {"debug": 0, "info": 1, "warning": 2, "error": 3}
_encoder = msgspec.json.Encoder(enc_hook=str)


class BufferedLogWriter:
    """Eliot destination that encodes and writes lines in a thread of its own.

    The event loop only appends to a bounded list. Lines beyond ``max_lines`` are dropped and counted, and the
    count is written as soon as the reader takes lines again.

    Args:
        write: Blocking function that writes bytes.
        max_lines: Number of lines kept.

    Attributes:
        dropped: Lines dropped because the reader was too slow.
        lost: Lines that could not be written.
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
        """Accept one eliot message."""
        if len(self.pending) >= self.max_lines:
            self.dropped += 1
            return
        self.pending.append(message)

    def close(self, timeout: float = 1.0) -> None:
        """Write what is buffered; give up after ``timeout`` seconds when the reader does not take it."""
        self._stop.set()
        self._thread.join(timeout)

    def _run(self) -> None:
        while not self._stop.wait(FLUSH_INTERVAL):
            self._flush()
        self._flush()

    def _flush(self) -> None:
        # Only this thread removes lines and only the loop adds them, so neither needs a lock.
        lines = [_encoder.encode(self.pending.popleft()) for _ in range(len(self.pending))]
        dropped = self.dropped
        if dropped > self._dropped_reported:
            notice = {
                "message_type": "log_lines_dropped",
                "count": dropped - self._dropped_reported,
                "timestamp": time.time(),
            }
            lines.append(_encoder.encode(notice))
        if not lines:
            return
        lines.append(b"")
        try:
            self.write(b"\n".join(lines))
        except OSError:
            self.lost += len(lines) - 1
            return
        self._dropped_reported = dropped


def _file_writer(descriptor: int) -> Callable[[bytes], None]:
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
        return BufferedLogWriter(_file_writer(STANDARD_ERROR))
    if settings.destination == "stdout":
        return BufferedLogWriter(_file_writer(STANDARD_OUTPUT))
    try:
        descriptor = os.open(settings.destination, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
    except OSError as error:
        raise SettingError(
            f"the log destination {settings.destination!r} cannot be opened: {error.strerror}",
            "give a path that this user may write, or - for standard error",
        ) from error
    return BufferedLogWriter(_file_writer(descriptor))


class Log:
    """Structured log of one program; ``program`` and ``node`` are part of each line."""

    def __init__(self, program: str, node: str, level: str = "info") -> None:
        self.program = program
        self.node = node
        self.lowest = _LEVELS.get(level, 1)
        self.logger = eliot.Logger()
        self._number = 0

    def write(self, level: str, message_type: str, **fields: object) -> None:
        """Write one line unless ``level`` is below the lowest level in force."""
        if _LEVELS[level] >= self.lowest:
            self._send(message_type, fields)

    def info(self, message_type: str, **fields: object) -> None:
        """Write one line about normal operation."""
        self.write("info", message_type, **fields)

    def warning(self, message_type: str, **fields: object) -> None:
        """Write one line about a fault that the program handles."""
        self.write("warning", message_type, **fields)

    def failure(self, message_type: str, error: BaseException, **fields: object) -> None:
        """Write one line about an exception that no rule expects, with its traceback."""
        trace = "".join(traceback.format_exception(error))
        self.write("error", message_type, error=repr(error), traceback=trace, **fields)

    def decision(
        self,
        service: str,
        key_hash: int | None,
        target: str | None,
        reason: str,
        fence: int,
        view_version: int,
    ) -> None:
        """Write one routing or placement decision."""
        if self.lowest > 1:
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
        # A task id per line would cost a random UUID for each request; a line number identifies it as well.
        self._number += 1
        fields["message_type"] = message_type
        fields["timestamp"] = time.time()
        fields["program"] = self.program
        fields["node"] = self.node
        fields["task_uuid"] = self.node
        fields["task_level"] = [self._number]
        self.logger.write(fields)


class InstalledLog:
    """Use of one destination by one program; programs in one process may share it."""

    users: dict[str, int] = {}
    writers: dict[str, BufferedLogWriter] = {}

    def __init__(self, settings: LogSettings) -> None:
        self.destination = settings.destination
        if self.destination not in self.writers:
            self.writers[self.destination] = open_log(settings)
            eliot.add_destinations(self.writers[self.destination])
        self.users[self.destination] = self.users.get(self.destination, 0) + 1

    def close(self) -> None:
        """Write what is buffered and detach the writer when this is its last user."""
        self.users[self.destination] -= 1
        if self.users[self.destination]:
            return
        writer = self.writers.pop(self.destination)
        eliot.remove_destination(writer)
        writer.close()


def install_log(settings: LogSettings) -> InstalledLog:
    """Send the eliot messages of this process to the destination in ``settings``.

    Lines go to all destinations installed in the process; ``node`` in each line tells its program.
    """
    return InstalledLog(settings)
