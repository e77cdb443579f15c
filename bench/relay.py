"""TCP relays between processes on loopback, so that a partition needs no rights on the network."""

import asyncio
import contextlib

import attrs

CHUNK_BYTES = 65_536


@attrs.define(eq=False)
class Relay:
    """Forwards connections to ``upstream``; while cut it holds all bytes, as a silent partition does.

    Held bytes are delivered when the relay heals. That is what a receiver sees after a partition, and it is
    harder on the rules than a reset.
    """

    upstream: str
    address: str
    open_gate: asyncio.Event = attrs.field(factory=asyncio.Event)
    server: asyncio.Server | None = None
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def start(self) -> None:
        """Listen."""
        self.open_gate.set()
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))

    def cut(self) -> None:
        """Stop forwarding in both directions; connections stay open."""
        self.open_gate.clear()

    def heal(self) -> None:
        """Forward again, held bytes first."""
        self.open_gate.set()

    async def close(self) -> None:
        """Close the listener and all connections."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self.open_gate.wait()
            host, _, port = self.upstream.rpartition(":")
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self.pump(reader, up_writer))
                    group.create_task(self.pump(up_reader, writer))
            finally:
                up_writer.close()
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one direction until it ends; then both directions end."""
        while data := await reader.read(CHUNK_BYTES):
            await self.open_gate.wait()
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()
        raise ConnectionResetError
