"""Connections to targets, kept open between requests."""

import asyncio

import msgspec

from cranberrylever.settings import split_address
from cranberrylever.target_http._connection import NotSentError, TargetAnswer, TargetConnection

CONNECT_TIMEOUT_S = 0.4
"""Time to connect; a target that was cut off does not answer at all."""

DEFAULT_IDLE_S = 2.5
"""Longest time for which an idle connection is used again: a target may have dropped it without a word."""

REPEATABLE_IDLE_S = 8.0
"""The same for a request that may be sent again when its connection turns out to be gone."""

IDLE_MARGIN_S = 1.5
"""A connection is used no later than this before the target may close it."""

SETTLE_FACTOR = 1.5
"""Multiple of the time to connect after which a target without room has reset a new connection."""

SETTLE_EXTRA_S = 0.001

DEFAULT_IDLE_CONNECTIONS = 4
"""Idle connections to one address.

A process that loses power leaves them open at the target, where they count until it closes them for idleness.
"""


class TargetPool:
    """Connections by address; the one used last is used next.

    Args:
        id_header: Lower-case name of the header in which targets repeat request ids, empty for none.
        max_idle: Longest time in seconds for which an idle connection is used again for a request that may
            run at most once.
        max_idle_connections: Idle connections to one address.
    """

    def __init__(
        self,
        id_header: bytes = b"",
        max_idle: float = DEFAULT_IDLE_S,
        max_idle_connections: int = DEFAULT_IDLE_CONNECTIONS,
    ) -> None:
        self.id_header = id_header
        self.max_idle = max_idle
        self.max_idle_connections = max_idle_connections
        self.idle: dict[str, list[TargetConnection]] = {}

    async def exchange(
        self,
        address: str,
        method: bytes,
        request: bytes,
        request_id: bytes = b"",
        is_repeatable: bool = False,
    ) -> TargetAnswer:
        """Send a request to an address and return the answer.

        Raises:
            NotSentError: No connection, or it closed before a byte left.
            AnswerLostError: The request may have arrived and there is no whole answer.
        """
        max_idle = REPEATABLE_IDLE_S if is_repeatable else self.max_idle
        connection = self._take_idle(address, max_idle) or await self._open(address)
        answer = await connection.exchange(method, request, request_id)
        self._keep(address, connection)
        return answer

    async def call(
        self, address: str, method: str, path: str, content: object, timeout: float
    ) -> TargetAnswer:
        """Make a call with a JSON body, ``None`` for none, and return the answer.

        A call that takes longer than ``timeout`` seconds resets its connection.

        Raises:
            NotSentError: No byte left.
            AnswerLostError: The call may have arrived and there is no whole answer.
            TimeoutError: There was no answer in time.
        """
        body = b"" if content is None else msgspec.json.encode(content)
        lines = [f"{method} {path} HTTP/1.1", f"host: {address}"]
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

    def forget(self, address: str) -> None:
        """Close the idle connections to an address that is no target's any more."""
        for connection in self.idle.pop(address, ()):
            connection.abort()

    def _take_idle(self, address: str, max_idle: float) -> TargetConnection | None:
        """Return the connection used last; those that nothing may use any more are closed."""
        connections = self.idle.get(address)
        now = asyncio.get_running_loop().time()
        while connections:
            connection = connections[-1]
            idle = now - connection.idle_since
            if connection.is_closed or idle >= self._usable_for(connection, REPEATABLE_IDLE_S):
                connections.pop().abort()
            elif idle >= self._usable_for(connection, max_idle):
                return None
            else:
                return connections.pop()
        return None

    @staticmethod
    def _usable_for(connection: TargetConnection, limit: float) -> float:
        if connection.keep_alive is None:
            return min(limit, DEFAULT_IDLE_S)
        return min(limit, connection.keep_alive - IDLE_MARGIN_S)

    def _keep(self, address: str, connection: TargetConnection) -> None:
        connections = self.idle.setdefault(address, [])
        if not connection.is_reusable:
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        connections.append(connection)
        while len(connections) > self.max_idle_connections:
            connections.pop(0).abort()

    async def _open(self, address: str) -> TargetConnection:
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: TargetConnection(self.id_header), host, port
                )
        except (OSError, TimeoutError) as error:
            raise NotSentError(f"no connection to {address}: {error!r}") from error
        await self._settle(connection, loop.time() - started)
        return connection

    @staticmethod
    async def _settle(connection: TargetConnection, connect_time: float) -> None:
        """Wait until a target that has too many connections would have reset a new one.

        A reset that comes after the request has been sent does not tell whether it ran.
        """
        try:
            await asyncio.sleep(SETTLE_FACTOR * connect_time + SETTLE_EXTRA_S)
        except asyncio.CancelledError:
            connection.abort()
            raise
        if connection.is_closed:
            raise NotSentError("the target reset the new connection")
