"""Relative speeds of targets, from the service times of requests that ran without queueing."""

import math
from collections.abc import Iterable

import attrs

from cranberrylever.wire import TargetServiceTime, TargetSpeed

PRIOR_WORK_S = 1.5
"""Seconds of work at the average speed that each target is credited with before any measurement."""

DECAY_TIME_S = 12.0
"""Seconds in which a measurement decays to 1/e of its weight."""

MIN_SPEED = 0.3
MAX_SPEED = 2.2
"""Limits of a measured speed; at 1.0 requests take their expected service time."""


@attrs.define
class _Measurements:
    """Measured and expected service time of the requests of one target in seconds; both decay."""

    elapsed: float = 0.0
    expected: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Apply the exponential decay up to ``now``."""
        factor = math.exp(-(now - self.updated_at) / DECAY_TIME_S)
        self.elapsed *= factor
        self.expected *= factor
        self.updated_at = now

    @property
    def relative_service_time(self) -> float:
        """Service time relative to an average target, within the limits of the speed."""
        ratio = (PRIOR_WORK_S + self.elapsed) / (PRIOR_WORK_S + self.expected)
        return min(1 / MIN_SPEED, max(1 / MAX_SPEED, ratio))


class SpeedTracker:
    """Relative speed of each incarnation; 1.0 is the average of its service. Times are loop seconds.

    The speeds of a service's targets differ by a factor of three, and instances are slow for short periods. A
    few requests say little about a target, so one that has run few counts as an average one.
    """

    def __init__(self) -> None:
        self.records: dict[tuple[str, int], _Measurements] = {}

    def record(self, service_time: TargetServiceTime, now: float) -> None:
        """Add the service times that an entry measured at one target."""
        if service_time.usual <= 0 or service_time.elapsed <= 0:
            return
        measurements = self.records.setdefault(
            (service_time.target_id, service_time.started_ms), _Measurements(updated_at=now)
        )
        measurements.decay(now)
        measurements.elapsed += service_time.elapsed
        measurements.expected += service_time.usual

    def inherit(self, speeds: Iterable[TargetSpeed], now: float) -> None:
        """Use speeds that an earlier leader published, for targets that have no measurements yet."""
        for reported in speeds:
            incarnation = (reported.target_id, reported.started_ms)
            if incarnation not in self.records and reported.speed > 0:
                # With the same weight as the prior, so half of the difference from an average target is kept.
                prior = _Measurements(PRIOR_WORK_S / reported.speed, PRIOR_WORK_S, now)
                self.records[incarnation] = prior

    def speeds(self, incarnations: Iterable[tuple[str, int]]) -> dict[tuple[str, int], float]:
        """Return the speed of each incarnation of one service relative to their mean.

        Entries derive the expected service time of a route from these speeds, so without the division by the
        mean both could drift.
        """
        relative_times = {
            incarnation: self._relative_service_time(incarnation) for incarnation in incarnations
        }
        mean = sum(relative_times.values()) / len(relative_times) if relative_times else 1.0
        return {incarnation: mean / relative_time for incarnation, relative_time in relative_times.items()}

    def keep_only(self, incarnations: set[tuple[str, int]]) -> None:
        """Drop all other incarnations."""
        self.records = {
            incarnation: measurements
            for incarnation, measurements in self.records.items()
            if incarnation in incarnations
        }

    def _relative_service_time(self, incarnation: tuple[str, int]) -> float:
        measurements = self.records.get(incarnation)
        return measurements.relative_service_time if measurements is not None else 1.0
