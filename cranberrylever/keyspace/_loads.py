"""Exponentially decayed work per part of a key space, as entries report it."""

import math
from collections.abc import Iterable

from cranberrylever.keyspace._ranges import KEY_SPACE_SIZE

KEYS_PER_PART = 4
"""Keys per part; work is counted by part, and a part is the smallest piece that moves."""

PART_COUNT = KEY_SPACE_SIZE // KEYS_PER_PART

DECAY_TIME_S = 1.5
"""Time in which the weight of work decays to 1/e; it is short because hot keys stay hot for a few seconds."""


def part_of(key: int) -> int:
    """Return the part that a key belongs to."""
    return key // KEYS_PER_PART


class KeyLoads:
    """Recent work of each part of one service, in seconds of work per second."""

    def __init__(self, now: float) -> None:
        self.work = [0.0] * PART_COUNT
        self.updated_at = now

    def record(self, parts: Iterable[tuple[int, float]], now: float) -> None:
        """Add work to parts.

        Args:
            parts: Part and work in seconds; parts outside the key space are ignored.
            now: Loop time in seconds.
        """
        self._decay(now)
        for part, seconds in parts:
            if 0 <= part < PART_COUNT:
                self.work[part] += seconds / DECAY_TIME_S

    def total(self) -> float:
        """Return the work of all parts in seconds per second."""
        return sum(self.work)

    def advance(self, now: float) -> None:
        """Decay the work up to ``now``."""
        self._decay(now)

    def _decay(self, now: float) -> None:
        if now - self.updated_at < 0.1:
            return
        factor = math.exp(-(now - self.updated_at) / DECAY_TIME_S)
        self.work = [value * factor for value in self.work]
        self.updated_at = now
