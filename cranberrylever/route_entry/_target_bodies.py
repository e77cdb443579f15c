"""Limit on the bytes of request bodies that an entry has at a target.

Load: 60 uploads a second of 60 to 360 kB from 84 entries to 17 targets of 6 slots, which run and queue them.
A target ends when the requests that it holds exceed its memory, and no entry knows what others have sent.

So each entry uses its own share of what a target may hold, and a single request when that is less.
"""

import collections
import contextlib
import math
from collections.abc import Iterator

from cranberrylever.change_signal import ChangeSignal
from cranberrylever.memory_limit import MIN_COUNTED_BYTES

MAX_ROOM_WAIT_S = 1.0
"""Longest time that a request waits until a target may get its body."""

MIN_ROOM_WAIT_S = 0.001
"""Shortest such wait; a shorter one would end before the clock advances."""

Incarnation = tuple[str, int]


class TargetBodies:
    """Bytes of large request bodies that this entry has at each target.

    Args:
        limit: Bytes that a target may hold of all entries together.

    Attributes:
        released: Wakes tasks when a request with a large body has ended.
    """

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit
        self.held: collections.Counter[Incarnation] = collections.Counter()
        self.released = ChangeSignal()

    def has_room(self, target: Incarnation, size: int, entries: int) -> bool:
        """Return whether a target may get a body now.

        Args:
            target: Incarnation of the target.
            size: Bytes of the body.
            entries: Number of entries that share the limit.
        """
        held = self.held.get(target, 0)
        return size < MIN_COUNTED_BYTES or not held or held + size <= self.limit / max(1, entries)

    @contextlib.contextmanager
    def holding(self, target: Incarnation, size: int) -> Iterator[None]:
        """Count a body at a target until its request has ended."""
        if size < MIN_COUNTED_BYTES:
            yield
            return
        self.held[target] += size
        try:
            yield
        finally:
            self.held[target] -= size
            if not self.held[target]:
                del self.held[target]
            self.released.notify()
