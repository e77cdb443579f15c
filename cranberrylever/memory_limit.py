"""Limit on the memory of messages: what does not fit waits, in the order in which it came."""

import math
from collections import deque
from collections.abc import Callable

MIN_COUNTED_BYTES = 16_384
"""Size from which a message counts; 2,000 smaller ones take 32 MB."""


class MemoryPlace:
    """Memory of one message; ``release`` gives it back, at the latest when the last reference is gone.

    ``received`` counts the bytes that were read while it waited.
    """

    def __init__(self, memory: "MemoryLimit", size: int) -> None:
        self.memory = memory
        self.size = size
        self.is_reserved = False
        self.received = 0
        self.start: Callable[[], None] | None = None

    def __del__(self) -> None:
        self.release()

    def release(self) -> None:
        """Give the memory back; later calls have no effect."""
        if self.is_reserved:
            self.is_reserved = False
            self.memory.release(self)


class MemoryLimit:
    """Bytes of messages in this process, and the messages that wait for their memory.

    A message that exceeds the limit by itself is admitted when there is no other.

    Args:
        limit: Bytes that the messages may take together.
    """

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit
        self.held = 0
        self.peak = 0
        self.waiting: deque[MemoryPlace] = deque()

    def reserve(self, size: int, start: Callable[[], None]) -> MemoryPlace:
        """Return the place of a message; ``start`` is called later if it has to wait for it."""
        place = MemoryPlace(self, size)
        if self.has_room(size):
            self._admit(place)
        else:
            place.start = start
            self.waiting.append(place)
        return place

    def has_room(self, size: int) -> bool:
        """Return whether a message needs not wait."""
        return not self.waiting and self._fits(size)

    def cancel(self, place: MemoryPlace) -> None:
        """Let a message that nobody wants any more wait no longer."""
        if not place.is_reserved:
            self.waiting.remove(place)
            self._admit_waiting()

    def admit_complete(self, place: MemoryPlace) -> None:
        """Count a message that has arrived completely before it could be made to wait."""
        if not place.is_reserved:
            self.waiting.remove(place)
            self._admit(place)

    def release(self, place: MemoryPlace) -> None:
        """Take the bytes of a place back."""
        self.change(-place.size)

    def change(self, difference: int) -> None:
        """Count bytes that messages take from now on, or give back."""
        self.held += difference
        if difference > 0:
            self.peak = max(self.peak, self.held)
        else:
            self._admit_waiting()

    def _fits(self, size: int) -> bool:
        return self.held + size <= self.limit or self.held <= 0

    def _admit(self, place: MemoryPlace) -> None:
        place.is_reserved = True
        self.change(place.size)

    def _admit_waiting(self) -> None:
        while self.waiting and self._fits(self.waiting[0].size):
            place = self.waiting.popleft()
            self._admit(place)
            place.start()
