"""How many requests run at each target at once, as control publishes it to entries.

For a keyed service it follows from the work that entries report by key: all requests for a key go to its
owner. For a pooled service it is what the targets report with their answers: an entry sees few of them, all
entries together see many.
"""

import math

import attrs

from cranberrylever.keyspace import HELD, KeyLoads, RangeTable, cumulative_work, work_in_range
from cranberrylever.target_registry import RegisteredTarget
from cranberrylever.wire import ReportedLoad

LOAD_DECAY_S = 0.5
"""Time in which the weight of a reported load decays to 1/e."""

MIN_LOAD_WEIGHT = 0.2
"""Weight of the reports of a target below which its load is unknown; a new report has a weight of 1."""

Incarnation = tuple[str, int]


@attrs.define
class _DecayedLoad:
    """Sum and number of the loads that a target reported; both decay."""

    total: float = 0.0
    weight: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        factor = math.exp(-(now - self.updated_at) / LOAD_DECAY_S)
        self.total *= factor
        self.weight *= factor
        self.updated_at = now


class BusyTracker:
    """Recent number of concurrent requests of each incarnation of a target; times are loop seconds."""

    def __init__(self) -> None:
        self.work: dict[Incarnation, float] = {}
        self.reported: dict[Incarnation, _DecayedLoad] = {}

    def record(self, load: ReportedLoad, now: float) -> None:
        """Add the loads that a target of a pooled service reported to one entry."""
        if load.count <= 0 or load.total < 0:
            return
        reported = self.reported.setdefault((load.target_id, load.started_ms), _DecayedLoad(updated_at=now))
        reported.decay(now)
        reported.total += load.total
        reported.weight += load.count

    def clear_work(self) -> None:
        """Forget the work of all owners of keys."""
        self.work = {}

    def add_work(self, table: RangeTable, load: KeyLoads) -> None:
        """Add the recent work of one service to that of its owners, in seconds of work per second."""
        sums = cumulative_work(load.work)
        for item in table.ranges:
            if item.phase == HELD:
                work = work_in_range(item.first, item.last, sums)
                self.work[item.incarnation] = self.work.get(item.incarnation, 0.0) + work

    def busy(self, target: RegisteredTarget, speed: float, now: float) -> float | None:
        """Return the recent number of concurrent requests at a target, ``None`` if unknown.

        Work above the capacity of an owner counts as its slots; a reported load includes queued requests.

        Args:
            target: The target.
            speed: Its relative speed.
            now: Loop time.
        """
        work = self.work.get(target.incarnation)
        if work is not None:
            return min(work / speed, target.slots)
        reported = self.reported.get(target.incarnation)
        if reported is None:
            return None
        reported.decay(now)
        return reported.total / reported.weight if reported.weight >= MIN_LOAD_WEIGHT else None

    def keep_only(self, incarnations: set[Incarnation]) -> None:
        """Drop the reported loads of all other incarnations."""
        self.reported = {
            incarnation: reported
            for incarnation, reported in self.reported.items()
            if incarnation in incarnations
        }
