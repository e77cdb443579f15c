"""Callers that read their answers slowly, over loopback."""

import contextlib
import socket
import threading
import time

RECEIVE_BUFFER_BYTES = 65_536
READ_BYTES = 65_536
TIMEOUT_S = 8.0


class SlowReader(threading.Thread):
    """Caller with a small receive buffer that reads about ``rate`` bytes a second, and fast at last.

    It ends with the event loop of the listener, which runs in another thread, so that what is received is
    what a caller of a process that has ended receives.

    Args:
        address: ``host:port`` of the listener.
        request: Bytes to send.
        rate: Bytes read a second.
        later: Bytes to send ``later_after`` seconds after the request.
    """

    def __init__(self, address, request, rate=4_000_000.0, later=b"", later_after=0.0):
        super().__init__(daemon=True)
        self.address = address
        self.request = request
        self.rate = rate
        self.later = later
        self.later_after = later_after
        self.received = bytearray()
        self.listener_ended = threading.Event()
        self.error = None
        self.ended_after = 0.0

    def finish(self):
        """Read what the listener, which has ended, has left to the kernel."""
        self.listener_ended.set()
        self.join()

    def run(self):
        host, _, port = self.address.rpartition(":")
        started = time.monotonic()
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            connection.settimeout(TIMEOUT_S)
            try:
                connection.connect((host, int(port)))
                connection.sendall(self.request)
                self._read(connection, started)
            except OSError as error:
                self.error = error
        self.ended_after = time.monotonic() - started

    def _read(self, connection, started):
        later = self.later
        while True:
            if later and time.monotonic() - started >= self.later_after:
                with contextlib.suppress(OSError):
                    connection.sendall(later)
                later = b""
            data = connection.recv(READ_BYTES)
            if not data:
                return
            self.received += data
            self.listener_ended.wait(len(data) / self.rate)

    @property
    def body(self):
        """Bytes after the head of the first answer."""
        return bytes(self.received).partition(b"\r\n\r\n")[2]
