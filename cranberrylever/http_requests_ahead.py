"""Bounds on the requests that wait in a process behind others of their connections.

Load: callers that send many requests ahead and read no answers. Reading stops at a limit for each
connection, and at the first request while all connections together hold half of their limit. Beyond
that limit, the connection that holds most gives up what waits.
"""

from collections import deque
from typing import Generic, TypeVar

from cranberrylever.http_limits import ListenerLimits
from cranberrylever.memory_limit import MIN_COUNTED_BYTES

Connection = TypeVar("Connection")

REQUEST_BYTES = 4_096
"""Memory of the objects of a request beside its head and body."""


class ReadBudget(Generic[Connection]):
    """Bytes that callers have sent and that wait in the process, by connection.

    Args:
        limit: Bytes that all connections may hold together.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.total = 0
        self.sizes: dict[Connection, int] = {}
        self.given_up: set[Connection] = set()

    @property
    def is_half_full(self) -> bool:
        """Whether connections should read nothing ahead."""
        return self.total > self.limit // 2

    def record(self, connection: Connection, size: int) -> Connection | None:
        """Set what a connection holds; return the one that has to give up what waits, if any.

        A connection is returned once, as it reads nothing more after that.
        """
        if size < MIN_COUNTED_BYTES:
            self.forget(connection)
            return None
        self.total += size - self.sizes.get(connection, 0)
        self.sizes[connection] = size
        candidates = self.sizes.keys() - self.given_up if self.total > self.limit else ()
        if not candidates:
            return None
        largest = max(candidates, key=self.sizes.__getitem__)
        self.given_up.add(largest)
        return largest

    def forget(self, connection: Connection) -> None:
        """Count a connection no longer."""
        self.total -= self.sizes.pop(connection, 0)
        self.given_up.discard(connection)


class RequestsAhead:
    """The unanswered requests of one connection, in the order in which they arrived.

    Args:
        limits: Limits of the listener.
        budget: What all connections of the listener hold.
    """

    def __init__(self, limits: ListenerLimits, budget: ReadBudget) -> None:
        self.limits = limits
        self.budget = budget
        self.sizes: deque[int] = deque()
        self.total = 0

    def add(self, size: int) -> None:
        """Add a request with the size of its head in bytes."""
        self.sizes.append(REQUEST_BYTES + size)
        self.total += REQUEST_BYTES + size

    def grow_last(self, size: int) -> None:
        """Count bytes of the body of the last request."""
        self.sizes[-1] += size
        self.total += size

    def remove_first(self) -> None:
        """Remove a request that is answered."""
        self.total -= self.sizes.popleft()

    def keep_only(self, count: int) -> None:
        """Remove the requests behind the first ``count``."""
        while len(self.sizes) > count:
            self.total -= self.sizes.pop()

    def is_full(self, served: int = 1) -> bool:
        """Return whether the next request has to wait unread while the first ``served`` ones are answered."""
        if len(self.sizes) < served:
            return False
        max_ahead = 0 if self.budget.is_half_full else self.limits.max_requests_ahead
        return len(self.sizes) - served >= max_ahead or self.total > self.limits.max_bytes_ahead
