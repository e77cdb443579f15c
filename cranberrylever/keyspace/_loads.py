"""Work per part of a key space, as entries report it, with recent work counting most."""

import math
from collections.abc import Iterable

from cranberrylever.keyspace._ranges import KEY_SPACE_SIZE

KEYS_PER_PART = 4
"""Keys counted together; a part is the smallest piece that is moved."""

PART_COUNT = KEY_SPACE_SIZE // KEYS_PER_PART

MEMORY_TIME = 1.5
"""Seconds after which work counts for a third; hot keys stay hot for a few seconds."""


def part_of(key: int) -> int:
    """Return the part that a key belongs to."""
    return key // KEYS_PER_PART


class KeyLoads:
    """Recent work of each part in seconds of work per second."""

    def __init__(self, now: float) -> None:
        self.work = [0.0] * PART_COUNT
        self.updated_at = now

    def record(self, parts: Iterable[tuple[int, float]], now: float) -> None:
        """Add work in seconds to parts."""
        self._fade(now)
        for part, seconds in parts:
            if 0 <= part < PART_COUNT:
                self.work[part] += seconds / MEMORY_TIME

    def total(self) -> float:
        """Return the work of all parts."""
        return sum(self.work)

    def advance(self, now: float) -> None:
        """Let old work fade."""
        self._fade(now)

    def _fade(self, now: float) -> None:
        if now - self.updated_at < 0.1:
            return
        factor = math.exp(-(now - self.updated_at) / MEMORY_TIME)
        self.work = [value * factor for value in self.work]
        self.updated_at = now
