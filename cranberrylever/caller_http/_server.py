"""HTTP listener: uvicorn's protocol with limits, on the running loop and without signal handlers."""

import asyncio
import logging
from typing import Protocol

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from cranberrylever.errors import SettingError
from cranberrylever.http_server import format_address, server_config
from cranberrylever.settings import split_address


class ServerTuning(Protocol):
    """Limits of a listener: counts, bytes and seconds."""

    max_connections: int
    max_header_bytes: int
    keep_alive: float
    header_timeout: float


BACKLOG = 2048
"""Connections that the kernel holds until they are accepted, for a burst of reconnecting callers."""

_REQUEST_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\ncranberrylever-outcome: not-run\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
_CLOSE_POLL_INTERVAL = 0.02


class CoalescingTransport:
    """Transport that joins what is written in one step of the loop into one system call.

    uvicorn writes the head of an answer and its body separately. All else goes to the wrapped transport.
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
        """Write ``data`` at the end of this step."""
        if not self.pending:
            self.loop.call_soon(self.flush)
        self.pending.append(data)

    def flush(self) -> None:
        """Write what is pending."""
        if self.pending:
            data = b"".join(self.pending)
            self.pending = []
            self.transport.write(data)

    def close(self) -> None:
        """Write what is pending and close."""
        self.flush()
        self.transport.close()


class EntryProtocol(HttpToolsProtocol):
    """Connection of a caller with limits on connections and on header bytes."""

    max_connections = 0
    max_header_bytes = 0
    header_timeout = 0.0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accept the connection unless there are too many."""
        super().connection_made(CoalescingTransport(transport, self.loop))
        self.received_bytes = 0
        self.in_headers = True
        self.refused = False
        if len(self.connections) > self.max_connections:
            self.refused = True
            transport.close()
            return
        self._limit_wait()

    def data_received(self, data: bytes) -> None:
        """Parse data; refuse headers that are too large before the parser has buffered all of them."""
        if self.refused:
            return
        if self.in_headers:
            self.received_bytes += len(data)
        super().data_received(data)
        if self.in_headers and self.received_bytes > self.max_header_bytes:
            self._refuse_headers()
        elif self.in_headers and self.received_bytes:
            self._limit_wait()

    def on_headers_complete(self) -> None:
        """Start the request."""
        self.in_headers = False
        # The bytes received may contain a part of the body, so only a large number needs an exact count.
        if self.received_bytes > self.max_header_bytes:
            size = len(self.url) + sum(len(name) + len(value) for name, value in self.headers)
            if size > self.max_header_bytes:
                self._refuse_headers()
        if not self.refused:
            super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on."""
        if not self.refused:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Expect the headers of the next request."""
        self.in_headers = True
        self.received_bytes = 0
        if not self.refused:
            super().on_message_complete()

    def _limit_wait(self) -> None:
        """Close the connection when the headers of its next request take too long; each byte starts anew."""
        self.timeout_keep_alive_task = self.loop.call_later(
            self.header_timeout, self.timeout_keep_alive_handler
        )

    def _refuse_headers(self) -> None:
        self.refused = True
        if not self.transport.is_closing():
            self.transport.write(_REQUEST_TOO_LARGE)
            self.transport.close()


class CallerServer:
    """Listener of one entry.

    Args:
        app: ASGI application.
        listen: Address as ``host:port``; port 0 takes a free one.
        tuning: Limits.
    """

    def __init__(self, app: object, listen: str, tuning: ServerTuning) -> None:
        self.listen = listen
        self.state = ServerState()
        self.config = server_config(app, timeout_keep_alive=tuning.keep_alive)
        self.config.load()
        # Each truncated answer would otherwise be logged as an error of the application.
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        limits = {
            "max_connections": tuning.max_connections,
            "max_header_bytes": tuning.max_header_bytes,
            "header_timeout": tuning.header_timeout,
        }
        self.protocol_class = type("LimitedProtocol", (EntryProtocol,), limits)
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen.

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
        """Address on which the server listens, as ``host:port``."""
        return format_address(self.server.sockets[0])

    def stop_accepting(self) -> None:
        """Close the listener and the idle connections; others close after their answer."""
        self.server.close()
        for connection in list(self.state.connections):
            connection.shutdown()

    async def wait_finished(self, timeout: float) -> None:
        """Wait until all requests are answered, then close what is left after ``timeout`` seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout
        while self.state.tasks and loop.time() < end:
            await asyncio.sleep(_CLOSE_POLL_INTERVAL)
        for task in list(self.state.tasks):
            task.cancel()
        for connection in list(self.state.connections):
            connection.transport.close()
        await asyncio.sleep(0)
