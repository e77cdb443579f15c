"""Connections to targets, kept open between requests."""

import asyncio

from cranberrylever.settings import split_address
from cranberrylever.targetlink._connection import NotSentError, TargetAnswer, TargetConnection

CONNECT_TIMEOUT_S = 0.4
"""Time to connect; a target that was cut off does not answer at all."""

DEFAULT_IDLE_S = 4.0
IDLE_MARGIN_S = 1.5
"""A connection is used no later than this before the target may close it."""

MAX_IDLE_PER_ADDRESS = 16


class TargetPool:
    """Connections by address; the one used last is used next.

    Args:
        id_header: Lower-case name of the header in which targets repeat request ids, empty for none.
        max_idle: Longest time in seconds for which an idle connection is used again.
    """

    def __init__(self, id_header: bytes = b"", max_idle: float = DEFAULT_IDLE_S) -> None:
        self.id_header = id_header
        self.max_idle = max_idle
        self.idle: dict[str, list[TargetConnection]] = {}
        self.opened = 0

    async def exchange(
        self, address: str, method: bytes, request: bytes, request_id: bytes = b""
    ) -> TargetAnswer:
        """Send a request to an address and return the answer.

        Raises:
            NotSentError: No connection, or it closed before a byte left.
            AnswerLostError: The request may have arrived and there is no whole answer.
        """
        connection = self._take_idle(address) or await self._open(address)
        answer = await connection.exchange(method, request, request_id)
        self._keep(address, connection)
        return answer

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

    def _take_idle(self, address: str) -> TargetConnection | None:
        connections = self.idle.get(address)
        now = asyncio.get_running_loop().time()
        while connections:
            connection = connections.pop()
            limit = self.max_idle
            if connection.keep_alive is not None:
                limit = min(limit, connection.keep_alive - IDLE_MARGIN_S)
            if not connection.is_closed and now - connection.idle_since < limit:
                return connection
            connection.abort()
        return None

    def _keep(self, address: str, connection: TargetConnection) -> None:
        connections = self.idle.setdefault(address, [])
        if not connection.is_reusable or len(connections) >= MAX_IDLE_PER_ADDRESS:
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        connections.append(connection)

    async def _open(self, address: str) -> TargetConnection:
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: TargetConnection(self.id_header), host, port
                )
        except (OSError, TimeoutError) as error:
            raise NotSentError(f"no connection to {address}: {error!r}") from error
        self.opened += 1
        return connection
