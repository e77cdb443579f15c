"""Limit on the memory that request bodies take in an entry, from a body's first byte to its request's end.

Load: 60 uploads a second of 60 to 360 kB that come over links of 2 Mbit/s, at 84 entries of 160 to 440 MB.
One entry may get most of them while others are lost.

A body takes memory for its stated length before it is read, so a body that has begun can end. One without a
stated length takes more as it comes, before bodies that have not begun. If all admitted bodies wait for more,
the first of them gets it beyond the limit, since no other could give any back. Little is read of
a body that has to wait, which slows its caller down. It is refused at once if it cannot be taken in time.
"""

import itertools
import math
from collections import deque
from collections.abc import Callable

import attrs

from cranberrylever.memory_limit import MemoryLimit, MemoryPlace

READ_AHEAD_BYTES = 327_680
"""Bytes of a body that arrive unread before its reading pauses: 64 KiB buffered and a read of 256 KiB."""

LARGEST_BODY_FACTOR = 2
"""Size of the largest body that is taken, as a multiple of the limit; larger ones would end the process."""

WAITING_SHARE = 0.125
"""Limit on the bytes that may have arrived of waiting bodies, as a share of the limit and beside it."""

INITIAL_HOLDING_TIME_S = 1.0
"""Time that a body is expected to hold its memory, before there are samples."""

MIN_SAMPLE_WEIGHT = 0.05
"""Weight of each new sample in the mean holding time, once there are many."""

MIN_RETRY_AFTER_S = 0.05
"""Shortest delay after which the caller of a refused body may retry."""


@attrs.frozen
class _Growth:
    """A wait of an admitted body for more memory."""

    place: MemoryPlace
    size: int
    start: Callable[[], None]


class BodyMemory(MemoryLimit):
    """Bytes of request bodies in this process, and the bodies that wait for their memory.

    Args:
        limit: Bytes that bodies may take together.
    """

    def __init__(self, limit: float = math.inf) -> None:
        super().__init__(limit)
        self.growing: deque[_Growth] = deque()
        self.holding_time = INITIAL_HOLDING_TIME_S
        self._admitted = 0
        self._samples = 1

    @property
    def largest(self) -> float:
        """Bytes of the largest body that is taken; it is alone if it exceeds the limit."""
        return LARGEST_BODY_FACTOR * self.limit

    # Decisions ---------------------------------------------------------------------------------------

    def refusal_delay(self, size: int, remaining: float) -> float | None:
        """Return after how many seconds a body should come again, ``None`` if it can be taken in time.

        Args:
            size: Bytes that it needs.
            remaining: Seconds until its deadline.
        """
        if size > self.limit and not self.has_room(size):
            # It would have to wait until there is no other, and hold up all that come after it.
            return max(MIN_RETRY_AFTER_S, self.holding_time)
        wait = self.expected_wait(size)
        is_late = wait + self.holding_time > remaining
        is_crowded = self._read_ahead() + min(size, READ_AHEAD_BYTES) > WAITING_SHARE * self.limit
        if wait > 0 and (is_late or is_crowded):
            return max(MIN_RETRY_AFTER_S, wait)
        return None

    def expected_wait(self, size: int) -> float:
        """Return the seconds until a body of this size is expected to have its memory.

        The bytes that are held are given back evenly over the mean holding time.
        """
        if self.has_room(size):
            return 0.0
        return self._release_time(sum(place.size for place in self.waiting) + size)

    def expected_wait_of(self, place: MemoryPlace) -> float:
        """Return the seconds until a body that waits is expected to have its memory."""
        ahead = itertools.takewhile(lambda other: other is not place, self.waiting)
        return self._release_time(sum(other.size for other in ahead) + place.size)

    def _release_time(self, queued: int) -> float:
        """Return the seconds until the memory of bodies that have not begun is expected to be free."""
        wanted = self.held + sum(growth.size for growth in self.growing) + queued
        return self.holding_time * max(0, wanted - self.limit) / self.limit

    def refusal(self) -> str:
        """Return why a body is refused and what its caller can do."""
        return (
            f"request bodies take {self.held} of the {self.limit} bytes that this entry has for them; "
            "use another entry, or send fewer at once"
        )

    def record_holding_time(self, seconds: float) -> None:
        """Record how long a body has held its memory."""
        self._samples += 1
        self.holding_time += max(MIN_SAMPLE_WEIGHT, 1 / self._samples) * (seconds - self.holding_time)

    def _read_ahead(self) -> int:
        """Return the bytes that may have arrived of waiting bodies."""
        return sum(min(place.size, place.received + READ_AHEAD_BYTES) for place in self.waiting)

    # Memory ------------------------------------------------------------------------------------------

    def has_room(self, size: int) -> bool:
        """Return whether a body needs not wait."""
        return not self.growing and super().has_room(size)

    def grow(self, place: MemoryPlace, size: int, start: Callable[[], None]) -> bool:
        """Take ``size`` more bytes for a body; return whether it has them, else ``start`` is called later."""
        if not self.growing and self._fits(size):
            self._enlarge(place, size)
            return True
        self.growing.append(_Growth(place, size, start))
        self._admit_waiting()
        return not any(growth.place is place for growth in self.growing)

    def cancel(self, place: MemoryPlace) -> None:
        """Let a body that nobody wants any more wait no longer."""
        self.growing = deque(growth for growth in self.growing if growth.place is not place)
        super().cancel(place)

    def release(self, place: MemoryPlace) -> None:
        """Take the bytes of a body back."""
        self._admitted -= 1
        super().release(place)

    def _admit(self, place: MemoryPlace) -> None:
        self._admitted += 1
        super()._admit(place)

    def _enlarge(self, place: MemoryPlace, size: int) -> None:
        place.size += size
        self.change(size)

    def _admit_waiting(self) -> None:
        while self.growing and (self._fits(self.growing[0].size) or len(self.growing) == self._admitted):
            growth = self.growing.popleft()
            self._enlarge(growth.place, growth.size)
            growth.start()
        if not self.growing:
            super()._admit_waiting()
