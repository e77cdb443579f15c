"""uvicorn server that runs beside others on one loop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import uvicorn
from starlette.types import ASGIApp

START_POLL_SECONDS = 0.005


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
        config = uvicorn.Config(
            app,
            http="httptools",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            timeout_graceful_shutdown=5,
        )
        self.server = EmbeddedServer(config)
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen; requests are served once this returns."""
        host, _, port = self.listen.rpartition(":")
        listener = socket.create_server((host, int(port)), backlog=1024)
        listener.setblocking(False)
        bound = listener.getsockname()
        self.bound_address = f"{bound[0]}:{bound[1]}"
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
