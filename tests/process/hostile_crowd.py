"""A small crowd of callers that send what no limit allows, and read no answers."""

import contextlib
import socket
import threading
import time

import attrs

CALLERS = 8
SECONDS = 3.0
"""Time after which each caller ends."""

MAX_BYTES = 48 * 1_048_576
"""Bytes after which each caller ends, over all its connections."""

MAX_CONNECTIONS = 50
"""Connections after which each caller ends."""

RECEIVE_BUFFER_BYTES = 16_384
SEND_TIMEOUT_S = 0.2
PAUSE_S = 0.02


@attrs.frozen
class Kind:
    """What a caller sends: ``first`` on each connection, then ``repeated`` for as long as it is taken."""

    first: bytes
    repeated: bytes


class HostileCaller(threading.Thread):
    """Caller that sends without reading, and connects again when its connection ends."""

    def __init__(self, address, kind):
        super().__init__(daemon=True)
        host, _, port = address.rpartition(":")
        self.address = host, int(port)
        self.kind = kind
        self.sent = 0

    def run(self):
        self.ends_at = time.monotonic() + SECONDS
        for _ in range(MAX_CONNECTIONS):
            if self.is_over():
                return
            with socket.socket() as connection, contextlib.suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                connection.settimeout(SEND_TIMEOUT_S)
                connection.connect(self.address)
                self._send(connection)
            time.sleep(PAUSE_S)

    def is_over(self):
        return time.monotonic() >= self.ends_at or self.sent >= MAX_BYTES

    def _send(self, connection):
        """Send until the connection ends; a listener that reads no more only makes the caller wait."""
        rest = memoryview(self.kind.first)
        while not self.is_over():
            rest = rest or memoryview(self.kind.repeated)
            with contextlib.suppress(TimeoutError):
                size = connection.send(rest)
                self.sent += size
                rest = rest[size:]


def run_crowd(address, kind):
    """Run the crowd to its end; return the bytes that it sent."""
    callers = [HostileCaller(address, kind) for _ in range(CALLERS)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    return sum(caller.sent for caller in callers)
