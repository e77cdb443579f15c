"""Data that an entry collects for its next report to control."""

from cranberrylever.keyspace import part_of
from cranberrylever.route_entry._departures import TargetDepartures
from cranberrylever.wire import PartWork, ReportedLoad, ServiceWork, TargetServiceTime

MAX_REPORTED_SERVICE_TIME_S = 0.3
"""Expected service time that one request counts as at most in a target's speed.

Control weighs requests by their service time. Without the limit one long request would decide the speed.
"""

MAX_CRASHES_REPORTED = 64
"""Limit on the crashes in one report; further ones are dropped."""


class ReportCollector:
    """Work by part of each key space, measurements of targets and crashes since the last report."""

    def __init__(self) -> None:
        self.work: dict[str, dict[int, float]] = {}
        self.service_times: dict[tuple[str, int], tuple[float, float]] = {}
        self.loads: dict[tuple[str, int], tuple[int, int]] = {}
        self.crashes: dict[tuple[str, str], None] = {}
        self.departures = TargetDepartures()

    def record_work(self, service: str, key: int, seconds: float) -> None:
        """Add the expected service time of one request for a key, in seconds."""
        parts = self.work.setdefault(service, {})
        part = part_of(key)
        parts[part] = parts.get(part, 0.0) + seconds

    def record_service_time(self, target_id: str, started_ms: int, elapsed: float, expected: float) -> None:
        """Add the elapsed and the expected time in seconds of a request that did not queue."""
        weight = min(1.0, MAX_REPORTED_SERVICE_TIME_S / expected)
        previous = self.service_times.get((target_id, started_ms), (0.0, 0.0))
        sums = (previous[0] + weight * elapsed, previous[1] + weight * expected)
        self.service_times[target_id, started_ms] = sums

    def record_load(self, target_id: str, started_ms: int, requests: int) -> None:
        """Add the number of requests that ran or were queued at a target at the time of an answer."""
        total, count = self.loads.get((target_id, started_ms), (0, 0))
        self.loads[target_id, started_ms] = (total + requests, count + 1)

    def record_crash(self, fingerprint: str, incarnation: str) -> None:
        """Add a request during which the connection to a target closed."""
        if len(self.crashes) < MAX_CRASHES_REPORTED:
            self.crashes[fingerprint, incarnation] = None

    def take_work(self) -> tuple[ServiceWork, ...]:
        """Return and clear the collected work."""
        work, self.work = self.work, {}
        return tuple(
            ServiceWork(service, tuple(PartWork(part, seconds) for part, seconds in parts.items()))
            for service, parts in work.items()
        )

    def take_service_times(self) -> tuple[TargetServiceTime, ...]:
        """Return and clear the collected service times."""
        service_times, self.service_times = self.service_times, {}
        return tuple(
            TargetServiceTime(*incarnation, elapsed, expected)
            for incarnation, (elapsed, expected) in service_times.items()
        )

    def take_loads(self) -> tuple[ReportedLoad, ...]:
        """Return and clear the collected loads."""
        loads, self.loads = self.loads, {}
        return tuple(ReportedLoad(*incarnation, *load) for incarnation, load in loads.items())

    def take_crashes(self) -> tuple[tuple[str, str], ...]:
        """Return and clear the fingerprints and incarnations of the collected crashes."""
        crashes, self.crashes = self.crashes, {}
        return tuple(crashes)
