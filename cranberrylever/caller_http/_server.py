"""HTTP listener that runs uvicorn's protocol with limits on the running loop, without signal handlers."""

import asyncio
import logging
from typing import Protocol

from uvicorn.server import ServerState

from cranberrylever.errors import SettingError
from cranberrylever.http_protocol import StrictHttpProtocol
from cranberrylever.http_server import format_address, server_config
from cranberrylever.settings import split_address


class ServerTuning(Protocol):
    """Limits of a listener: counts, bytes and times in seconds."""

    max_connections: int
    max_header_bytes: int
    keep_alive: float
    header_timeout: float


BACKLOG = 2048
"""Connections that the kernel queues until they are accepted, for a burst of reconnecting callers."""

_HEADERS_TOO_LARGE_ANSWER = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\ncranberrylever-outcome: not-run\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
_FINISH_POLL_INTERVAL_S = 0.02

CUT_OFF_MESSAGE = "the time that an entry has to stop is over"
"""Message of the cancellation of requests that still run then."""

_CANCELLATION_TIMEOUT_S = 0.1
"""Time for cancelled requests to end, so that the log has their lines."""


class CoalescingTransport:
    """Transport that joins all writes of one loop iteration into one system call.

    uvicorn writes the head and the body of an answer separately. Other calls go to the wrapped transport.
    """

    def __init__(self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop) -> None:
        self.transport = transport
        self.loop = loop
        self.pending: list[bytes] = []
        self.pause_reading = transport.pause_reading
        self.resume_reading = transport.resume_reading
        self.is_closing = transport.is_closing
        self.get_extra_info = transport.get_extra_info

    def write(self, data: bytes) -> None:
        """Buffer ``data`` until the end of this loop iteration."""
        if not self.pending:
            self.loop.call_soon(self.flush)
        self.pending.append(data)

    def flush(self) -> None:
        """Write the buffered data."""
        if self.pending:
            data = b"".join(self.pending)
            self.pending = []
            self.transport.write(data)

    def close(self) -> None:
        """Write the buffered data and close the transport."""
        self.flush()
        self.transport.close()


class EntryProtocol(StrictHttpProtocol):
    """Connection of a caller, with limits on the number of connections, header bytes and header time."""

    max_connections = 0
    max_header_bytes = 0
    header_timeout = 0.0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accept the connection unless the limit on connections is reached."""
        super().connection_made(CoalescingTransport(transport, self.loop))
        self.received_bytes = 0
        self.is_reading_headers = True
        if len(self.connections) > self.max_connections:
            self.is_rejected = True
            transport.close()
            return
        self._restart_header_timer()

    def data_received(self, data: bytes) -> None:
        """Parse data; reject headers that are too large before the parser has buffered all of them."""
        if self.is_rejected:
            return
        if self.is_reading_headers:
            self.received_bytes += len(data)
        super().data_received(data)
        if self.is_reading_headers and self.received_bytes > self.max_header_bytes:
            self.reject(_HEADERS_TOO_LARGE_ANSWER)
        elif self.is_reading_headers and self.received_bytes:
            self._restart_header_timer()

    def on_headers_complete(self) -> None:
        """Start the request unless its headers are too large."""
        self.is_reading_headers = False
        # The received bytes may include a part of the body, or leave out what came with an earlier request.
        size = len(self.url) + sum(len(name) + len(value) for name, value in self.headers)
        if size > self.max_header_bytes:
            self.reject(_HEADERS_TOO_LARGE_ANSWER)
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Prepare for the headers of the next request."""
        self.is_reading_headers = True
        self.received_bytes = 0
        super().on_message_complete()

    def _restart_header_timer(self) -> None:
        """Restart the timer that closes the connection if no further bytes of the headers arrive in time."""
        self.timeout_keep_alive_task = self.loop.call_later(
            self.header_timeout, self.timeout_keep_alive_handler
        )


class CallerServer:
    """Listener of one entry.

    Args:
        app: ASGI application.
        listen: Address as ``host:port``; port 0 takes a free one.
        tuning: Limits of the listener.
    """

    def __init__(self, app: object, listen: str, tuning: ServerTuning) -> None:
        self.listen = listen
        self.state = ServerState()
        self.config = server_config(app, timeout_keep_alive=tuning.keep_alive)
        self.config.load()
        # Otherwise uvicorn logs each truncated answer as an error of the application.
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        limits = {
            "max_connections": tuning.max_connections,
            "max_header_bytes": tuning.max_header_bytes,
            "header_timeout": tuning.header_timeout,
        }
        self.protocol_class = type("LimitedProtocol", (EntryProtocol,), limits)
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Open the listener.

        Raises:
            SettingError: The address cannot be used.
        """
        host, port = split_address(self.listen)
        loop = asyncio.get_running_loop()
        try:
            self.server = await loop.create_server(self._create_protocol, host, port, backlog=BACKLOG)
        except OSError as error:
            raise SettingError(
                f"cannot listen on --listen {self.listen}: {error.strerror}",
                "give a free address of this instance",
            ) from error

    def _create_protocol(self) -> asyncio.Protocol:
        return self.protocol_class(config=self.config, server_state=self.state, app_state={})

    @property
    def bound_address(self) -> str:
        """Address that the listener is bound to, as ``host:port``."""
        return format_address(self.server.sockets[0])

    def stop_accepting(self) -> None:
        """Close the listener and idle connections; busy connections close after their answer."""
        self.server.close()
        for connection in list(self.state.connections):
            connection.shutdown()

    async def wait_finished(self, until: float) -> bool:
        """Wait for the running requests to finish, at most until a loop time; return whether they have."""
        loop = asyncio.get_running_loop()
        while self.state.tasks and loop.time() < until:
            await asyncio.sleep(_FINISH_POLL_INTERVAL_S)
        return not self.state.tasks

    async def close(self) -> int:
        """Close the connections and cancel the requests that still run.

        Returns:
            The number of requests that were cut off.
        """
        cut_off = list(self.state.tasks)
        for task in cut_off:
            task.cancel(CUT_OFF_MESSAGE)
        for connection in list(self.state.connections):
            connection.transport.close()
        if cut_off:
            await asyncio.wait(cut_off, timeout=_CANCELLATION_TIMEOUT_S)
        return len(cut_off)
