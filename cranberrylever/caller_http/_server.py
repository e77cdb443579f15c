"""HTTP listener that runs uvicorn's protocol with limits on the running loop, without signal handlers."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

import attrs
from uvicorn.server import ServerState

from cranberrylever.answer_memory import AnswerMemory
from cranberrylever.errors import SettingError
from cranberrylever.http_given_up import GivenUpConnections
from cranberrylever.http_limits import ListenerLimits
from cranberrylever.http_listener import create_protocol_class
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

_FINISH_POLL_INTERVAL_S = 0.02

CUT_OFF_MESSAGE = "the time that an entry has to stop is over"
"""Message of the cancellation of requests that still run then."""

_CANCELLATION_TIMEOUT_S = 0.1
"""Time for cancelled requests to end, so that the log has their lines."""


class CallerServer:
    """Listener of one entry.

    Args:
        app: ASGI application.
        listen: Address as ``host:port``; port 0 takes a free one.
        tuning: Limits of the listener.
        name_request: Returns the id of a request, for the log, from its scope.
        memory: Limit on the memory of answers, without one if ``None``.
        limits: Limits beside those of ``tuning``.
        given_up: Counts the connections that are given up.
    """

    def __init__(
        self,
        app: object,
        listen: str,
        tuning: ServerTuning,
        name_request: Callable[[dict], str] = method_and_path,
        memory: AnswerMemory | None = None,
        limits: ListenerLimits | None = None,
        given_up: GivenUpConnections | None = None,
    ) -> None:
        self.listen = listen
        self.name_request = name_request
        self.cut_off_answers = CutOffAnswers()
        self.state = ServerState()
        self.config = server_config(app, timeout_keep_alive=tuning.keep_alive)
        self.config.load()
        # Otherwise uvicorn logs each truncated answer as an error of the application.
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        limits = attrs.evolve(
            limits or ListenerLimits(),
            max_connections=tuning.max_connections,
            max_head_bytes=tuning.max_header_bytes,
            arrival_time=tuning.header_timeout,
            idle_time=tuning.keep_alive,
        )
        self.protocol_class = create_protocol_class(limits, memory or AnswerMemory(), given_up)
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
