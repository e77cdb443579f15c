"""uvicorn server that shares an event loop with other servers."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import uvicorn
from starlette.types import ASGIApp

from cranberrylever.answer_memory import AnswerMemory
from cranberrylever.http_given_up import GivenUpConnections
from cranberrylever.http_limits import ListenerLimits
from cranberrylever.http_listener import create_protocol_class
from cranberrylever.http_protocol import StrictHttpProtocol
from cranberrylever.http_unsent import CutOffAnswers, find_unsent
from cranberrylever.settings import split_address

START_POLL_INTERVAL_S = 0.005
GRACEFUL_SHUTDOWN_TIMEOUT_S = 5
LISTEN_BACKLOG = 1024


def server_config(
    app: object, protocol: type[StrictHttpProtocol] = StrictHttpProtocol, **options: object
) -> uvicorn.Config:
    """Return the uvicorn configuration of a server that shares the event loop and writes no log."""
    return uvicorn.Config(
        app,
        http=protocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        **options,
    )


def format_address(listener: socket.socket) -> str:
    """Return the address of a listening socket as ``host:port``, with brackets around an IPv6 host."""
    host, port = listener.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to its process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Replace uvicorn's signal handlers by none."""
        yield


class HttpServer:
    """HTTP server of one ASGI application.

    Args:
        app: The ASGI application.
        listen: ``host:port``; port 0 lets the system choose a free port.
        finish_timeout: Seconds in which ``close`` waits until callers have their answers.
        limits: Limits on what callers send.
        given_up: Counts the connections that are given up.
    """

    def __init__(
        self,
        app: ASGIApp,
        listen: str,
        finish_timeout: float = GRACEFUL_SHUTDOWN_TIMEOUT_S,
        limits: ListenerLimits | None = None,
        given_up: GivenUpConnections | None = None,
    ) -> None:
        self.listen = listen
        self.bound_address = listen
        protocol = create_protocol_class(limits or ListenerLimits(), AnswerMemory(), given_up)
        config = server_config(app, protocol, timeout_graceful_shutdown=finish_timeout)
        self.server = EmbeddedServer(config)
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the server; requests are served once this returns."""
        host, port = split_address(self.listen)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.create_server((host, port), family=family, backlog=LISTEN_BACKLOG)
        listener.setblocking(False)
        self.bound_address = format_address(listener)
        self.task = asyncio.create_task(self.server.serve(sockets=[listener]))
        while not self.server.started and not self.task.done():
            await asyncio.sleep(START_POLL_INTERVAL_S)

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self.server.server_state.connections)

    def abort(self) -> None:
        """Abort all connections and stop listening, as when the process is killed."""
        for listener in self.server.servers:
            listener.close()
        for connection in list(self.server.server_state.connections):
            connection.transport.abort()

    async def close(self) -> CutOffAnswers:
        """Wait until callers have their answers, at most ``finish_timeout``, then stop.

        Returns:
            The answers of which a part has not left the process by then.
        """
        self.server.should_exit = True
        if self.task is not None:
            await self.task
        connections = self.server.server_state.connections
        cut_off = find_unsent(connections)
        for connection in list(connections):
            connection.transport.end()
        return cut_off
