"""Exponentially decayed work per part of a key space, as entries report it."""

import math
from collections.abc import Iterable, Sequence

from cranberrylever.keyspace._ranges import KEY_SPACE_SIZE

KEYS_PER_PART = 4
"""Keys per part; work is counted by part, and a part is the smallest piece that moves."""

PART_COUNT = KEY_SPACE_SIZE // KEYS_PER_PART

DECAY_TIME_S = 1.5
"""Time in which the weight of work decays to 1/e; it is short because hot keys stay hot for a few seconds."""

BASE_WORK = 0.02
"""Work in seconds per second added over all parts, so that keys without requests are divided too."""


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


def cumulative_work(work: Sequence[float]) -> list[float]:
    """Return the prefix sums of the work of the parts, with a share of ``BASE_WORK`` in each part.

    Element ``i`` is the work of all parts below ``i``; the last element is the total.
    """
    base_per_part = BASE_WORK / PART_COUNT
    prefix_sums = [0.0]
    total = 0.0
    for value in work:
        total += value + base_per_part
        prefix_sums.append(total)
    return prefix_sums


def work_in_range(first: int, last: int, prefix_sums: Sequence[float]) -> float:
    """Return the work of a range of keys; a part that it covers partly counts in proportion."""
    return _work_before(last + 1, prefix_sums) - _work_before(first, prefix_sums)


def _work_before(key: int, prefix_sums: Sequence[float]) -> float:
    part, offset = divmod(key, KEYS_PER_PART)
    if offset == 0:
        return prefix_sums[part]
    return prefix_sums[part] + (prefix_sums[part + 1] - prefix_sums[part]) * offset / KEYS_PER_PART
