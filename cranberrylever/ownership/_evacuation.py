"""Bounded batches in which a leaving target gives its shards away."""

import math

import attrs

from cranberrylever.ownership._timings import Timings


@attrs.define
class _Evacuation:
    """Progress of one target; times are loop seconds."""

    ends_at: float
    next_batch_at: float


class Evacuations:
    """Batch sizes that release all shards of a leaving target in ``Timings.evacuation_time``."""

    def __init__(self, timings: Timings) -> None:
        self.timings = timings
        self.active: dict[str, _Evacuation] = {}

    def end(self, target_id: str) -> None:
        """Note that a target has nothing to give away."""
        self.active.pop(target_id, None)

    def next_batch(self, target_id: str, shards: list[int], now: float) -> list[int]:
        """Return the shards to release now, none while the last batch is younger than the interval."""
        if target_id not in self.active:
            self.active[target_id] = _Evacuation(now + self.timings.evacuation_time, now)
        evacuation = self.active[target_id]
        if now < evacuation.next_batch_at:
            return []
        evacuation.next_batch_at = now + self.timings.evacuation_interval
        batches_left = math.floor((evacuation.ends_at - now) / self.timings.evacuation_interval)
        return shards[: math.ceil(len(shards) / max(1, batches_left))]
