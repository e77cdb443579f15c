"""TCP relays between processes on loopback, which simulate partitions without network privileges."""

import asyncio
import contextlib
import math

import attrs

CHUNK_BYTES = 65_536
SLOW_CHUNK_BYTES = 4_096
"""Bytes that pass a slow relay at a time."""


@attrs.define(eq=False)
class _Connection:
    """One relayed connection; a silent connection stays open and drops all bytes."""

    writers: list[asyncio.StreamWriter]
    silent: bool = False


@attrs.define(eq=False)
class Relay:
    """Forwards connections to ``upstream``; while cut it holds all bytes, as in a partition without resets.

    Held bytes are delivered when the relay heals, as TCP does after a partition; this is a harder
    case for the protocols than a reset. Each chunk is delayed by ``delay`` seconds, and each direction of a
    connection carries ``bytes_per_s``.
    """

    upstream: str
    address: str
    delay: float = 0.0
    bytes_per_s: float = math.inf
    forward_gate: asyncio.Event = attrs.field(factory=asyncio.Event)
    return_gate: asyncio.Event = attrs.field(factory=asyncio.Event)
    server: asyncio.Server | None = None
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    connections: set[_Connection] = attrs.field(factory=set)

    async def start(self) -> None:
        """Listen on ``address``."""
        self.heal()
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))

    def cut(self) -> None:
        """Stop forwarding in both directions; connections stay open."""
        self.forward_gate.clear()
        self.return_gate.clear()

    def cut_back(self) -> None:
        """Stop forwarding bytes from the upstream; bytes to it are still forwarded."""
        self.return_gate.clear()

    def heal(self) -> None:
        """Remove cuts, delay and the limit of bytes; held bytes are forwarded first."""
        self.delay = 0.0
        self.bytes_per_s = math.inf
        self.forward_gate.set()
        self.return_gate.set()

    def silence(self) -> None:
        """Drop all further bytes on the open connections; new connections are not affected."""
        for connection in self.connections:
            connection.silent = True

    def reset(self) -> None:
        """Reset the open connections."""
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
        """Relay one accepted connection until either side closes it."""
        task = asyncio.current_task()
        self.tasks.add(task)
        connection = _Connection([writer])
        self.connections.add(connection)
        try:
            await self.forward_gate.wait()
            host, _, port = self.upstream.rpartition(":")
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
            connection.writers.append(up_writer)
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self.forward(reader, up_writer, connection, self.forward_gate))
                    group.create_task(self.forward(up_reader, writer, connection, self.return_gate))
            finally:
                up_writer.close()
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.connections.discard(connection)
            writer.close()

    def _chunk_bytes(self) -> int:
        return CHUNK_BYTES if self.bytes_per_s == math.inf else SLOW_CHUNK_BYTES

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: _Connection,
        gate: asyncio.Event,
    ) -> None:
        """Forward one direction until it ends.

        Raises:
            ConnectionResetError: The direction has ended; this ends the other direction too.
        """
        while data := await reader.read(self._chunk_bytes()):
            if self.delay:
                await asyncio.sleep(self.delay)
            if self.bytes_per_s < math.inf:
                await asyncio.sleep(len(data) / self.bytes_per_s)
            await gate.wait()
            if reader.exception() is not None:
                # Delayed bytes are lost when their sender has reset the connection.
                break
            if connection.silent:
                continue
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()
        raise ConnectionResetError
