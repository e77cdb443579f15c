"""Estimates of how long a target takes for one more request, between its load reports.

Load reports are seconds old at an entry that sends only occasional requests to a target. The entry's own
outstanding requests count exactly. The reported load of other entries decays towards an expected value, a
weighted mean of two figures: the entry's own average, since callers are spread over the entries, and the
load that control publishes for all entries together, none while it is unknown. The own average weighs more,
the more requests the entry has sent there recently. A rule that only adds each request sent since the last
report would also count answered requests; here those answered since the report are subtracted again.
"""

import math

import attrs

from cranberrylever.route_entry._format import LoadSample

REPORT_DECAY_S = 0.4
"""Time in which the weight of the reported load of other entries decays to 1/e."""

SLOWDOWN_DECAY_S = 0.3
"""Time in which the weight of a reported slowdown decays to 1/e; slowdowns of a shared machine are short."""

AVERAGE_DECAY_S = 1.0
"""Time constant of the moving average over an entry's own outstanding requests at a target."""

EVIDENCE_REQUESTS_PER_ENTRY = 0.05
"""Own recent requests, per entry, at which the own average weighs as much as the load that control publishes.

The average is multiplied by the number of entries, and so is its error, so more entries need more requests.
"""

FAILURE_PENALTY_S = 0.15
"""Time added to the completion time for each recent failure."""

FAILURE_DECAY_S = 1.0
"""Time in which the weight of a failure decays to 1/e."""

INITIAL_SERVICE_TIME_S = 0.1
"""Service time that is expected of a route without samples."""

MIN_SAMPLE_WEIGHT = 0.02
"""Weight of each new sample in the mean service time, once there are many."""


MIN_KNOWN_SAMPLES = 3
"""Samples from which the expected service time of a route is a measure for the speed of targets."""


@attrs.frozen
class DispatchEstimate:
    """The estimates by which an entry decided on a target for a request; times are in seconds.

    ``service_time`` is the expected service time of the route at an average target. ``queue_time`` and
    ``completion_time`` are those at the target, and ``load_age`` is the age of its last load report, infinite
    without one.
    """

    service_time: float
    queue_time: float
    completion_time: float
    load_age: float


@attrs.define
class DecayedCount:
    """Number of failures, each of which decays exponentially over ``FAILURE_DECAY_S``."""

    count: float = 0.0
    counted_at: float = -math.inf

    def add(self, now: float) -> None:
        """Count one more failure at loop time ``now``."""
        self.count = self.at(now) + 1.0
        self.counted_at = now

    def at(self, now: float) -> float:
        """Return the decayed number at loop time ``now``."""
        return self.count * math.exp(-(now - self.counted_at) / FAILURE_DECAY_S)


@attrs.define
class TargetLoadEstimate:
    """One entry's estimate of the load of one incarnation of a target; times are loop times in seconds.

    ``speed`` and ``slowdown`` are relative to 1.0. ``outstanding`` counts the entry's own requests there and
    ``other_load`` the requests of other entries in the last report. ``average_outstanding`` and
    ``recent_starts`` decay over ``AVERAGE_DECAY_S``. ``reported_busy`` is the load that control publishes.
    ``errors`` counts requests that failed and ``timeouts`` those without an answer at their deadline.
    """

    slots: int
    speed: float = 1.0
    outstanding: int = 0
    other_load: float = 0.0
    slowdown: float = 1.0
    reported_at: float = -math.inf
    entries: int = 1
    average_outstanding: float = 0.0
    averaged_at: float = 0.0
    recent_starts: float = 0.0
    reported_busy: float | None = None
    errors: DecayedCount = attrs.field(factory=DecayedCount)
    timeouts: DecayedCount = attrs.field(factory=DecayedCount)

    def record_load(self, load: LoadSample, now: float) -> None:
        """Record a load report; the request whose answer carried it is no longer at the target."""
        self.slots = max(1, load.slots)
        self.other_load = max(0.0, float(load.running + load.waiting - max(0, self.outstanding - 1)))
        self.slowdown = load.slowdown
        self.reported_at = now

    def record_start(self, now: float) -> None:
        """Count a request that is being sent."""
        self._update_average(now)
        self.outstanding += 1
        self.recent_starts += 1.0

    def record_end(self, now: float) -> None:
        """Count a request that has ended."""
        self._update_average(now)
        self.outstanding -= 1

    def _update_average(self, now: float) -> None:
        weight = 1.0 - math.exp(-(now - self.averaged_at) / AVERAGE_DECAY_S)
        self.average_outstanding += weight * (self.outstanding - self.average_outstanding)
        self.recent_starts *= 1.0 - weight
        self.averaged_at = now

    def record_failure(self, now: float) -> None:
        """Record a failed request, which raises the completion time until it has decayed."""
        self.errors.add(now)

    def record_timeout(self, now: float) -> None:
        """Record a request without an answer at its deadline.

        It does not raise the completion time: that would refuse requests while the target has a free slot.
        """
        self.timeouts.add(now)

    def recent_failures(self, now: float) -> float:
        """Return the exponentially decayed number of failures, timeouts included."""
        return self.errors.at(now) + self.timeouts.at(now)

    def expected_load(self, now: float) -> float:
        """Return the expected number of requests at the target."""
        self._update_average(now)
        weight = math.exp(-(now - self.reported_at) / REPORT_DECAY_S)
        return self.outstanding + weight * self.other_load + (1.0 - weight) * self._expected_other_load()

    def _expected_other_load(self) -> float:
        """Return the expected number of requests of other entries at the target."""
        if self.entries == 1:
            return 0.0
        # An unknown load counts as none: a target without requests would otherwise stay without.
        busy = 0.0 if self.reported_busy is None else self.reported_busy
        other_load = busy * (self.entries - 1) / self.entries
        own_estimate = (self.entries - 1) * self.average_outstanding
        evidence = EVIDENCE_REQUESTS_PER_ENTRY * self.entries
        return (evidence * other_load + self.recent_starts * own_estimate) / (evidence + self.recent_starts)

    def relative_service_time(self, now: float) -> float:
        """Return the service time at the target relative to an average target."""
        weight = math.exp(-(now - self.reported_at) / SLOWDOWN_DECAY_S)
        return (1.0 + (self.slowdown - 1.0) * weight) / max(0.1, self.speed)

    def utilization(self, load: float, now: float) -> float:
        """Return the share of the slots that one more request than ``load`` uses, 1.0 at most.

        The share of recent requests that have failed counts as busy: a target that fails at once, or has
        not answered at all, has few requests and would seem idle.
        """
        return min(1.0, (load + 1.0) / self.slots + self._failure_share(now))

    def _failure_share(self, now: float) -> float:
        """Return the share of the entry's recent requests that have failed; it decays without requests."""
        self._update_average(now)
        return self.recent_failures(now) / max(1.0, self.recent_starts)

    def queue_time(self, service_time: float, now: float, load: float | None = None) -> float:
        """Return the seconds that one more request would queue, if each takes ``service_time`` seconds.

        Args:
            service_time: Service time at an average target in seconds.
            now: Loop time.
            load: Expected number of requests at the target; estimated if it is ``None``.
        """
        if load is None:
            load = self.expected_load(now)
        excess = max(0.0, load + 1.0 - self.slots)
        return excess * service_time * self.relative_service_time(now) / self.slots

    def completion_time(self, service_time: float, now: float, load: float | None = None) -> float:
        """Return the seconds until one more request would be answered; the arguments are as above."""
        penalty = FAILURE_PENALTY_S * self.errors.at(now)
        own_time = service_time * self.relative_service_time(now)
        return self.queue_time(service_time, now, load) + own_time + penalty

    def dispatch_estimate(self, service_time: float, now: float) -> DispatchEstimate:
        """Return all estimates for one more request of ``service_time`` seconds."""
        return DispatchEstimate(
            service_time,
            self.queue_time(service_time, now),
            self.completion_time(service_time, now),
            now - self.reported_at,
        )


@attrs.define
class _RouteServiceTime:
    """Mean service time of one route in seconds, and the number of samples with the initial value as one."""

    mean: float
    sample_count: int = 1

    def record(self, elapsed: float) -> None:
        self.sample_count += 1
        self.mean += max(MIN_SAMPLE_WEIGHT, 1 / self.sample_count) * (elapsed - self.mean)


class ServiceTimeEstimator:
    """Mean, by route, of the service time at an average target without queueing, in seconds.

    It is the plain mean of the first samples and a moving average later. A moving average from the start
    would stay near its initial value the longer, the fewer requests an entry has.
    """

    def __init__(self) -> None:
        self.routes: dict[str, _RouteServiceTime] = {}

    def record(self, route: str, elapsed: float) -> None:
        """Record the service time of a request that did not queue."""
        self.routes.setdefault(route, _RouteServiceTime(INITIAL_SERVICE_TIME_S)).record(elapsed)

    def is_known(self, route: str) -> bool:
        """Return whether there are enough samples to compare a target's service times with the mean."""
        service_time = self.routes.get(route)
        return service_time is not None and service_time.sample_count > MIN_KNOWN_SAMPLES

    def expected(self, route: str) -> float:
        """Return the expected service time of a route's requests in seconds."""
        service_time = self.routes.get(route)
        return service_time.mean if service_time is not None else INITIAL_SERVICE_TIME_S
