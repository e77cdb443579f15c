"""How fast targets are, from requests that they ran without queueing.

It answers a service whose targets differ in speed threefold while their machines turn slow for moments: a few
requests say little about a target, so one that ran few counts as a usual one.
"""

import math
from collections.abc import Iterable

import attrs

from cranberrylever.wire import TargetServiceTime, TargetSpeed

PRIOR_S = 1.5
"""Seconds of usual work that a target counts as having done at the usual speed."""

MEMORY_S = 12.0
"""Seconds after which what was measured counts for a third."""

SLOWEST = 0.3
FASTEST = 2.2


@attrs.define
class _Record:
    """Time that requests took at one target and the usual time of their kind, in seconds; both fade."""

    elapsed: float = 0.0
    usual: float = 0.0
    updated_at: float = 0.0

    def fade(self, now: float) -> None:
        """Let old measurements count less."""
        factor = math.exp(-(now - self.updated_at) / MEMORY_S)
        self.elapsed *= factor
        self.usual *= factor
        self.updated_at = now

    @property
    def relative_service_time(self) -> float:
        """How long work takes there relative to a usual target."""
        ratio = (PRIOR_S + self.elapsed) / (PRIOR_S + self.usual)
        return min(1 / SLOWEST, max(1 / FASTEST, ratio))


class PaceBook:
    """Speed of each life relative to the usual target of its service; times are loop seconds."""

    def __init__(self) -> None:
        self.records: dict[tuple[str, int], _Record] = {}

    def record(self, pace: TargetServiceTime, now: float) -> None:
        """Add what an entry measured."""
        if pace.usual <= 0 or pace.elapsed <= 0:
            return
        record = self.records.setdefault((pace.target_id, pace.started_ms), _Record(updated_at=now))
        record.fade(now)
        record.elapsed += pace.elapsed
        record.usual += pace.usual

    def inherit(self, speeds: Iterable[TargetSpeed], now: float) -> None:
        """Take over speeds that an earlier leader told, for targets of which nothing is known."""
        for item in speeds:
            incarnation = (item.target_id, item.started_ms)
            if incarnation not in self.records and item.speed > 0:
                # As much again as the prior, so that half of the difference from a usual target is believed.
                known = _Record(PRIOR_S / item.speed, PRIOR_S, now)
                self.records[incarnation] = known

    def speeds(self, incarnations: Iterable[tuple[str, int]]) -> dict[tuple[str, int], float]:
        """Return the speed of each of the lives of one service relative to their mean.

        Entries learn the usual time of a route from these speeds, so without the mean both could drift.
        """
        relative_service_time = {incarnation: self._slowness(incarnation) for incarnation in incarnations}
        mean = (
            sum(relative_service_time.values()) / len(relative_service_time) if relative_service_time else 1.0
        )
        return {incarnation: mean / value for incarnation, value in relative_service_time.items()}

    def keep_only(self, incarnations: set[tuple[str, int]]) -> None:
        """Forget all other lives."""
        self.records = {
            incarnation: record for incarnation, record in self.records.items() if incarnation in incarnations
        }

    def _slowness(self, incarnation: tuple[str, int]) -> float:
        record = self.records.get(incarnation)
        return record.relative_service_time if record is not None else 1.0
