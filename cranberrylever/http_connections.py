"""Which connections a listener keeps when there are too many of them.

Load: callers that open connections and send no request. Those of ordinary callers send
one at once.
"""

import resource
from collections.abc import Iterable
from typing import Protocol, TypeVar

_DESCRIPTOR_DIVISOR = 2
"""Part of the descriptors of the process that the connections of one listener may take: one half."""


class AcceptedConnection(Protocol):
    """A connection of a caller; ``accepted_at`` is a loop time in seconds."""

    accepted_at: float

    def is_without_request(self) -> bool:
        """Return whether it is open and no request has arrived on it."""


Connection = TypeVar("Connection", bound=AcceptedConnection)


def find_longest_without_request(connections: Iterable[Connection]) -> Connection | None:
    """Return the connection that has been open longest without any request, ``None`` if all have had one."""
    candidates = [connection for connection in connections if connection.is_without_request()]
    return min(candidates, key=lambda connection: connection.accepted_at, default=None)


def limit_to_descriptors(max_connections: int) -> int:
    """Return a limit on connections that leaves descriptors for control, targets and other listeners."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return max_connections
    return min(max_connections, descriptors // _DESCRIPTOR_DIVISOR)
