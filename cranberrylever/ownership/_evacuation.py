"""Release of a leaving target's shards in bounded batches."""

import math

import attrs

from cranberrylever.ownership._timings import Timings


@attrs.define
class _Evacuation:
    """Evacuation of one target; times are loop seconds."""

    ends_at: float
    next_batch_at: float


class Evacuations:
    """Divides the shards of leaving targets into batches that take ``Timings.evacuation_time`` in total."""

    def __init__(self, timings: Timings) -> None:
        self.timings = timings
        self.active: dict[str, _Evacuation] = {}

    def end(self, target_id: str) -> None:
        """End the evacuation of a target that owns no shards or is no longer leaving."""
        self.active.pop(target_id, None)

    def next_batch(self, target_id: str, shards: list[int], now: float) -> list[int]:
        """Return the shards to release now, none within ``Timings.evacuation_interval`` of the last batch."""
        if target_id not in self.active:
            self.active[target_id] = _Evacuation(now + self.timings.evacuation_time, now)
        evacuation = self.active[target_id]
        if now < evacuation.next_batch_at:
            return []
        evacuation.next_batch_at = now + self.timings.evacuation_interval
        batches_left = math.floor((evacuation.ends_at - now) / self.timings.evacuation_interval)
        return shards[: math.ceil(len(shards) / max(1, batches_left))]
