"""TCP relays between processes on loopback, so that a partition needs no rights on the network."""

import asyncio
import contextlib

import attrs

CHUNK_BYTES = 65_536


@attrs.define(eq=False)
class _Connection:
    """One relayed connection; a silent one carries nothing any more and stays open."""

    writers: list[asyncio.StreamWriter]
    silent: bool = False


@attrs.define(eq=False)
class Relay:
    """Forwards connections to ``upstream``; while cut it holds all bytes, as a silent partition does.

    Held bytes are delivered when the relay heals. That is what a receiver sees after a partition, and it is
    harder on the rules than a reset. Each piece of bytes is held for ``delay`` seconds.
    """

    upstream: str
    address: str
    delay: float = 0.0
    open_gate: asyncio.Event = attrs.field(factory=asyncio.Event)
    back_gate: asyncio.Event = attrs.field(factory=asyncio.Event)
    server: asyncio.Server | None = None
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    connections: set[_Connection] = attrs.field(factory=set)

    async def start(self) -> None:
        """Listen."""
        self.heal()
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))

    def cut(self) -> None:
        """Stop forwarding in both directions; connections stay open."""
        self.open_gate.clear()
        self.back_gate.clear()

    def cut_back(self) -> None:
        """Stop forwarding what the upstream sends; requests still reach it."""
        self.back_gate.clear()

    def heal(self) -> None:
        """Forward again, held bytes first."""
        self.delay = 0.0
        self.open_gate.set()
        self.back_gate.set()

    def silence(self) -> None:
        """Let the connections that are open now carry nothing any more; new ones work."""
        for connection in self.connections:
            connection.silent = True

    def reset(self) -> None:
        """Reset the connections that are open now."""
        for connection in list(self.connections):
            for writer in connection.writers:
                writer.transport.abort()

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
        connection = _Connection([writer])
        self.connections.add(connection)
        try:
            await self.open_gate.wait()
            host, _, port = self.upstream.rpartition(":")
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
            connection.writers.append(up_writer)
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self.pump(reader, up_writer, connection, self.open_gate))
                    group.create_task(self.pump(up_reader, writer, connection, self.back_gate))
            finally:
                up_writer.close()
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.connections.discard(connection)
            writer.close()

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: _Connection,
        gate: asyncio.Event,
    ) -> None:
        """Forward one direction until it ends; then both directions end."""
        while data := await reader.read(CHUNK_BYTES):
            if self.delay:
                await asyncio.sleep(self.delay)
            await gate.wait()
            if reader.exception() is not None:
                # Bytes that were held up are lost when their sender has reset the connection.
                break
            if connection.silent:
                continue
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()
        raise ConnectionResetError
