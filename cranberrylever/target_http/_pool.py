"""Pool of connections to targets, which stay open between requests."""

import asyncio
from collections.abc import Callable, Mapping

import msgspec

from cranberrylever.answer_memory import AnswerMemory
from cranberrylever.settings import split_address
from cranberrylever.target_http._budget import DEFAULT_MAX_BUFFERED_BYTES, BufferBudget
from cranberrylever.target_http._connection import NotSentError, TargetAnswer, TargetConnection

CONNECT_TIMEOUT_S = 0.4
"""Time to connect; a target that a network cut separates from the entry does not respond at all."""

DEFAULT_MAX_IDLE_S = 2.5
"""Longest idle time after which a connection is reused; a target may have dropped it without a packet."""

IDEMPOTENT_MAX_IDLE_S = 8.0
"""The same for an idempotent request, which may be sent again if its connection was closed."""

KEEP_ALIVE_MARGIN_S = 1.5
"""Margin by which reuse of a connection stops before the target may close it."""

RESET_WAIT_FACTOR = 1.5
"""Multiple of the connect time after which a target without free capacity has reset a new connection."""

RESET_WAIT_EXTRA_S = 0.001
"""Time added to this wait."""

DEFAULT_MAX_IDLE_CONNECTIONS = 4
"""Limit on idle connections to one address.

A process that loses power leaves them open at the target, where they count until the idle timeout.
"""


class TargetPool:
    """Pool of connections by address; the most recently used one is reused first.

    Args:
        id_header: Lower-case name of the header in which targets repeat the request id, empty for none.
        max_idle: Longest idle time in seconds after which a connection is reused for a request that may run
            at most once.
        max_idle_connections: Limit on idle connections to one address.
        max_buffered_bytes: Limit on the bytes of unfinished answers on all connections.
        on_connect: Called with the address of each new connection and whether it was established.
        memory: Limit on the memory of answers, ``None`` for none.
    """

    def __init__(
        self,
        id_header: bytes = b"",
        max_idle: float = DEFAULT_MAX_IDLE_S,
        max_idle_connections: int = DEFAULT_MAX_IDLE_CONNECTIONS,
        max_buffered_bytes: int = DEFAULT_MAX_BUFFERED_BYTES,
        on_connect: Callable[[str, bool], None] = lambda address, is_connected: None,
        memory: AnswerMemory | None = None,
    ) -> None:
        self.id_header = id_header
        self.memory = memory
        self.max_idle = max_idle
        self.max_idle_connections = max_idle_connections
        self.on_connect = on_connect
        self.budget = BufferBudget(max_buffered_bytes)
        self.idle: dict[str, list[TargetConnection]] = {}

    @property
    def buffered_bytes(self) -> int:
        """Bytes of unfinished answers on all connections."""
        return self.budget.total

    async def exchange(
        self,
        address: str,
        method: bytes,
        request: bytes,
        request_id: bytes = b"",
        is_idempotent: bool = False,
        before_send: Callable[[], None] | None = None,
    ) -> TargetAnswer:
        """Send a request to an address and return the answer.

        ``before_send`` is called when a connection is open, right before the bytes are written. If it raises
        an error, nothing is sent, the connection stays for other requests, and the error is passed on.

        Raises:
            NotSentError: There is no connection, or it closed before a byte was sent.
            AnswerLostError: The request may have arrived and there is no complete answer.
        """
        max_idle = IDEMPOTENT_MAX_IDLE_S if is_idempotent else self.max_idle
        connection = self._take_idle(address, max_idle, request_id) or await self._connect(address)
        if before_send is not None:
            try:
                before_send()
            except Exception:
                self._store_idle(address, connection)
                raise
        answer = await connection.exchange(method, request, request_id)
        self._store_idle(address, connection)
        return answer

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        content: object,
        timeout: float,
        headers: Mapping[str, str] | None = None,
    ) -> TargetAnswer:
        """Send a request with a JSON body, ``None`` for no body, and return the answer.

        A request that takes longer than ``timeout`` seconds resets its connection.

        Raises:
            NotSentError: No byte was sent.
            AnswerLostError: The request may have arrived and there is no complete answer.
            TimeoutError: There is no answer within ``timeout`` seconds.
        """
        body = b"" if content is None else msgspec.json.encode(content)
        lines = [f"{method} {path} HTTP/1.1", f"host: {address}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if body:
            lines += ["content-type: application/json", f"content-length: {len(body)}"]
        request = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        async with asyncio.timeout(timeout):
            return await self.exchange(address, method.encode(), request)

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.abort()
        self.idle.clear()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self.idle.pop(address, ()):
            connection.abort()

    def _take_idle(self, address: str, max_idle: float, request_id: bytes) -> TargetConnection | None:
        """Return the most recently used connection that is reusable; close those idle for too long.

        A connection that has carried the same request before is left out: a late copy of the answer to that
        send could not be told from the answer to this one.
        """
        connections = self.idle.get(address, [])
        now = asyncio.get_running_loop().time()
        for connection in reversed(connections.copy()):
            idle = now - connection.idle_since
            if connection.is_closed or idle >= self._max_idle_time(connection, IDEMPOTENT_MAX_IDLE_S):
                connections.remove(connection)
                connection.abort()
            elif idle < self._max_idle_time(connection, max_idle) and not connection.has_carried(request_id):
                connections.remove(connection)
                return connection
        return None

    @staticmethod
    def _max_idle_time(connection: TargetConnection, limit: float) -> float:
        if connection.keep_alive_s is None:
            return min(limit, DEFAULT_MAX_IDLE_S)
        return min(limit, connection.keep_alive_s - KEEP_ALIVE_MARGIN_S)

    def _store_idle(self, address: str, connection: TargetConnection) -> None:
        connections = self.idle.setdefault(address, [])
        if not connection.is_reusable:
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        connections.append(connection)
        while len(connections) > self.max_idle_connections:
            connections.pop(0).abort()

    async def probe(self, address: str) -> None:
        """Open a connection to an address and reset it; ``on_connect`` gets the outcome."""
        try:
            connection = await self._open(address)
        except NotSentError:
            return
        connection.abort()

    async def open_connection(self, address: str) -> TargetConnection:
        """Open a TCP connection to an address.

        Raises:
            OSError: It cannot be opened.
        """
        host, port = split_address(address)
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: TargetConnection(self.id_header, self.budget, self.memory), host, port
        )
        return connection

    async def _open(self, address: str) -> TargetConnection:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await self.open_connection(address)
        except (OSError, TimeoutError) as error:
            self.on_connect(address, False)
            raise NotSentError(f"cannot connect to {address}: {error!r}") from error
        self.on_connect(address, True)
        return connection

    async def _connect(self, address: str) -> TargetConnection:
        loop = asyncio.get_running_loop()
        started = loop.time()
        connection = await self._open(address)
        await self._wait_for_reset(connection, loop.time() - started)
        return connection

    @staticmethod
    async def _wait_for_reset(connection: TargetConnection, connect_time: float) -> None:
        """Wait until a target that has too many connections would have reset a new one.

        After a reset that follows the sending of a request, it is unknown whether the request ran.
        """
        try:
            await asyncio.sleep(RESET_WAIT_FACTOR * connect_time + RESET_WAIT_EXTRA_S)
        except asyncio.CancelledError:
            connection.abort()
            raise
        if connection.is_closed:
            raise NotSentError("the target reset the new connection")
