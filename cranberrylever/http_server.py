"""uvicorn server that runs beside others on one loop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import uvicorn
from starlette.types import ASGIApp

from cranberrylever.settings import split_address

START_POLL_SECONDS = 0.005
GRACEFUL_SHUTDOWN_SECONDS = 5
BACKLOG = 1024


def server_config(app: object, **options: object) -> uvicorn.Config:
    """Return uvicorn's configuration for a server that shares the loop and writes no log of its own."""
    return uvicorn.Config(
        app,
        http="httptools",
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
    """Return the address of a listening socket as ``host:port``, an IPv6 host in brackets."""
    host, port = listener.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signals to its process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


class HttpServer:
    """Listener of one application.

    Args:
        app: The application.
        listen: ``host:port``; port 0 takes a free one.
    """

    def __init__(self, app: ASGIApp, listen: str) -> None:
        self.listen = listen
        self.bound_address = listen
        self.server = EmbeddedServer(server_config(app, timeout_graceful_shutdown=GRACEFUL_SHUTDOWN_SECONDS))
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen; requests are served once this returns."""
        host, port = split_address(self.listen)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.create_server((host, port), family=family, backlog=BACKLOG)
        listener.setblocking(False)
        self.bound_address = format_address(listener)
        self.task = asyncio.create_task(self.server.serve(sockets=[listener]))
        while not self.server.started and not self.task.done():
            await asyncio.sleep(START_POLL_SECONDS)

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self.server.server_state.connections)

    def abort(self) -> None:
        """Drop all connections and stop listening, as a killed process would."""
        for listener in self.server.servers:
            listener.close()
        for connection in list(self.server.server_state.connections):
            connection.transport.abort()

    async def close(self) -> None:
        """Finish open requests, then stop."""
        self.server.should_exit = True
        if self.task is not None:
            await self.task
