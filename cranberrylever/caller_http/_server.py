"""HTTP listener that runs uvicorn's protocol with limits on the running loop, without signal handlers."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from uvicorn.server import ServerState

from cranberrylever.answer_memory import AnswerMemory
from cranberrylever.errors import SettingError
from cranberrylever.http_protocol import StrictHttpProtocol
from cranberrylever.http_server import format_address, server_config
from cranberrylever.http_unsent import CutOffAnswers, find_unsent, method_and_path
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


class EntryProtocol(StrictHttpProtocol):
    """Connection of a caller, with limits on the number of connections, header bytes and header time."""

    max_connections = 0
    max_header_bytes = 0
    header_timeout = 0.0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accept the connection unless the limit on connections is reached."""
        super().connection_made(transport)
        self.received_bytes = 0
        self.is_reading_headers = True
        if len(self.connections) > self.max_connections:
            self.is_rejected = True
            transport.close()
            return
        self._restart_header_timer()

    def data_received(self, data: bytes) -> None:
        """Parse data; reject headers that are too large before the parser has buffered all of them."""
        if self.is_rejected or self.transport.is_ending:
            super().data_received(data)
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
        name_request: Returns the id of a request, for the log, from its scope.
        memory: Limit on the memory of answers, without one if ``None``.
    """

    def __init__(
        self,
        app: object,
        listen: str,
        tuning: ServerTuning,
        name_request: Callable[[dict], str] = method_and_path,
        memory: AnswerMemory | None = None,
    ) -> None:
        self.listen = listen
        self.name_request = name_request
        self.cut_off_answers = CutOffAnswers()
        self.state = ServerState()
        self.config = server_config(app, timeout_keep_alive=tuning.keep_alive)
        self.config.load()
        # Otherwise uvicorn logs each truncated answer as an error of the application.
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        limits = {
            "max_connections": tuning.max_connections,
            "max_header_bytes": tuning.max_header_bytes,
            "header_timeout": tuning.header_timeout,
            "memory": memory or AnswerMemory(),
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
        self._close_idle()

    async def wait_finished(self, until: float) -> bool:
        """Wait until callers have all answers, at most until a loop time; return whether they have.

        An answer counts only once its last byte has left the process.
        """
        loop = asyncio.get_running_loop()
        while (self.state.tasks or self.state.connections) and loop.time() < until:
            await asyncio.sleep(_FINISH_POLL_INTERVAL_S)
            self._close_idle()
        return not (self.state.tasks or self.state.connections)

    async def close(self) -> int:
        """Cancel the requests that still run and end the connections.

        ``cut_off_answers`` has the answers of which a part has not left the process.

        Returns:
            The number of requests that were cut off while they ran.
        """
        cut_off = list(self.state.tasks)
        for task in cut_off:
            task.cancel(CUT_OFF_MESSAGE)
        if cut_off:
            await asyncio.wait(cut_off, timeout=_CANCELLATION_TIMEOUT_S)
        self.cut_off_answers = find_unsent(self.state.connections, self.name_request)
        for connection in list(self.state.connections):
            connection.transport.end()
        return len(cut_off)

    def _close_idle(self) -> None:
        """Close idle connections; one may have been accepted just before the listener closed."""
        for connection in list(self.state.connections):
            connection.shutdown()
