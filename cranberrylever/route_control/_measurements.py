"""What a leader has measured about targets and key ranges since its term began."""

from collections.abc import Iterable

from cranberrylever.keyspace import KeyLoads
from cranberrylever.route_control._busy import BusyTracker
from cranberrylever.route_control._rate_limits import RateLimitRegistry
from cranberrylever.route_control._speeds import SpeedTracker
from cranberrylever.route_plan import RoutedService
from cranberrylever.target_registry import RegisteredTarget, TargetLiveness
from cranberrylever.wire import FeedReport

EXPECTED_SERVICE_TIME_S = 0.1
"""Assumed service time of a request; turns the request rate that a target accepts into a capacity."""

MIN_CAPACITY = 0.05
"""Lowest capacity of a target in seconds of work per second."""

Incarnation = tuple[str, int]


class TargetMeasurements:
    """Announcements, work, speeds, loads and rate limits of all targets; times are loop seconds.

    Args:
        now: Time at which the term of the leader began.
        overdue_after: Seconds without an announcement after which a target gets no new work.
    """

    def __init__(self, now: float, overdue_after: float) -> None:
        self.overdue_after = overdue_after
        self.liveness = TargetLiveness(now)
        self.loads: dict[str, KeyLoads] = {}
        self.speed_tracker = SpeedTracker()
        self.rate_limits = RateLimitRegistry()
        self.speeds: dict[Incarnation, float] = {}
        self.busy_tracker = BusyTracker()

    def record(self, report: FeedReport, now: float) -> None:
        """Record the work, service times and loads that an entry measured."""
        for service in report.work:
            parts = ((item.part, item.seconds) for item in service.parts)
            self.loads_of(service.service, now).record(parts, now)
        self.speed_tracker.inherit(report.speeds, now)
        for measurement in report.paces:
            self.speed_tracker.record(measurement, now)
        for load in report.loads:
            self.busy_tracker.record(load, now)

    def loads_of(self, service: str, now: float) -> KeyLoads:
        """Return the recent work of a service by part."""
        return self.loads.setdefault(service, KeyLoads(now))

    def is_overdue(self, target: RegisteredTarget, now: float) -> bool:
        """Return whether a target's announcements are overdue."""
        return self.liveness.seconds_since_announcement(target, now) > self.overdue_after

    def speed(self, target: RegisteredTarget) -> float:
        """Return the relative speed of a target, as last measured; 1.0 is the average of its service."""
        return self.speeds.get(target.incarnation, 1.0)

    def busy(self, target: RegisteredTarget, now: float) -> float | None:
        """Return the recent number of requests that run at once at a target, ``None`` if unknown."""
        return self.busy_tracker.busy(target, self.speed(target), now)

    def capacity(self, target: RegisteredTarget, service: RoutedService, now: float) -> float:
        """Return the capacity of a target in seconds of work per second.

        It is reduced while the target is cold or limits its rate.
        """
        capacity = target.slots * self.speed(target)
        if self.liveness.cold_for(target, now) > 0:
            capacity = min(capacity / 2, service.cold_rate * EXPECTED_SERVICE_TIME_S)
        rate_limit = self.rate_limits.rate(target.incarnation)
        return max(MIN_CAPACITY, min(capacity, rate_limit * EXPECTED_SERVICE_TIME_S))

    def update_speeds(self, targets: Iterable[RegisteredTarget]) -> None:
        """Compute the relative speeds of all targets from what was recorded."""
        incarnations: dict[str, list[Incarnation]] = {}
        for target in targets:
            incarnations.setdefault(target.service, []).append(target.incarnation)
        self.speeds = {}
        for service_incarnations in incarnations.values():
            self.speeds.update(self.speed_tracker.speeds(service_incarnations))

    def keep_only(self, incarnations: set[Incarnation], seen_since: float) -> None:
        """Drop the measurements of all other incarnations.

        Their announcements are kept if they came after the loop time ``seen_since``.
        """
        self.liveness.keep_only(incarnations, seen_since)
        self.speed_tracker.keep_only(incarnations)
        self.busy_tracker.keep_only(incarnations)
        self.rate_limits.keep_only(incarnations)
