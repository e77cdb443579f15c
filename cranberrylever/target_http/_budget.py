"""Limit on the bytes of unfinished answers that all connections of a pool hold together."""

import abc

DEFAULT_MAX_BUFFERED_BYTES = 64 * 1_048_576
"""Limit on these bytes, as several targets may send without end at once."""


class BufferingConnection(abc.ABC):
    """A connection that holds bytes of an unfinished answer."""

    @abc.abstractmethod
    def give_up_answer(self, reason: str) -> None:
        """Fail the pending request and drop what was received."""


class BufferBudget:
    """Counts the buffered bytes by connection; above the limit the connection that holds most is given up.

    Args:
        limit: Bytes that all connections may hold together.
    """

    def __init__(self, limit: int = DEFAULT_MAX_BUFFERED_BYTES) -> None:
        self.limit = limit
        self.total = 0
        self.sizes: dict[BufferingConnection, int] = {}

    def add(self, connection: BufferingConnection, size: int) -> None:
        """Count bytes that a connection has received, after room was made for them."""
        while self.sizes and self.total + size > self.limit:
            largest = max(self.sizes, key=self.sizes.__getitem__)
            self.release(largest)
            largest.give_up_answer(f"unfinished answers hold {self.limit} bytes, this one the most of them")
            if largest is connection:
                return
        self.sizes[connection] = self.sizes.get(connection, 0) + size
        self.total += size

    def release(self, connection: BufferingConnection) -> None:
        """Forget the bytes of a connection, whose answer is complete or was given up."""
        self.total -= self.sizes.pop(connection, 0)
