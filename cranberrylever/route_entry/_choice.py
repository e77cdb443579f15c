"""Choice of a target for a request to a pooled service, by estimated completion time and utilization.

While slots are free there is no queue, so the completion time says nothing about the load. By it alone, the
target that seems fastest would get all requests until it is full, and a speed measured from few requests
decides which one seems fastest. So utilization counts as well: between idle and full as much as several
service times.

An entry learns the load of a target from its own answers. With many entries each sends a target only an
occasional request, and what the others send there meanwhile is unknown to it. If each entry chose the target
with the least estimate of all, those with similar estimates would all choose the same one, and continue to
do so until the answers come late. So an entry compares only a few random candidates: the fewer, the smaller
its share of the requests. Candidates are drawn in proportion to capacity.
"""

import random
from collections.abc import Sequence

from cranberrylever.route_entry._permit_gate import PermitGate
from cranberrylever.route_entry._permits import PERMIT_ANSWER_TIME_S
from cranberrylever.route_entry._view import TargetState

MIN_CANDIDATES = 2
"""Candidates that are compared however many entries there are."""

MAX_COMPARED_PER_ROUND = 64
"""Candidates that all entries together compare when each has one request; divided among the entries."""

CROSS_DOMAIN_COST_S = 0.04
"""Cost of a target in another failure domain, since traffic between domains costs."""

MAX_CROSS_DOMAIN_SHARE = 0.3
"""Limit on that cost in service times, so that short requests are divided among failure domains as well."""

UTILIZATION_WEIGHT = 5.0
"""Service times by which the cost of a full target exceeds that of an idle one, at equal completion time."""

MIN_PERMIT_UTILIZATION = 0.5
"""Utilization that a target which needs permits counts as at least; it serves requests slowly or few."""

EXPLORATION_SHARE = 0.03
"""Share of requests that go to a random idle target; a target without requests reports no load."""

MAX_EXPLORATION_FAILURES = 0.1
"""Decayed count of recent failures from which a target is not chosen for exploration."""

CHOICE_NOISE = 0.02
"""Relative noise on estimates, so that entries with equal data do not all choose the same target."""

MAX_PERMIT_DELAY_S = 10.0
"""Limit on the delay for a permit in comparisons, since it may be infinite."""

MIN_CAPACITY = 0.01
"""Lowest capacity of a target as a weight in draws, in slots."""


def candidate_count(entries: int) -> int:
    """Return how many targets an entry compares for a request in a cluster of ``entries`` entries."""
    return max(MIN_CANDIDATES, round(MAX_COMPARED_PER_ROUND / entries))


class PooledChooser:
    """Chooses targets of pooled services for one entry.

    Args:
        failure_domain: Failure domain of this entry; targets in it are slightly preferred.
        permits: Permits for targets that need them.
        rng: Random source.
    """

    def __init__(
        self,
        failure_domain: str,
        permits: PermitGate,
        rng: random.Random,
    ) -> None:
        self.failure_domain = failure_domain
        self.permits = permits
        self.rng = rng

    def choose(
        self, targets: Sequence[TargetState], entries: int, service_time: float, now: float
    ) -> TargetState:
        """Return the target for one request.

        Args:
            targets: The targets that may be chosen, at least one.
            entries: Number of entries.
            service_time: Expected service time at an average target in seconds.
            now: Loop time.
        """
        if self.rng.random() < EXPLORATION_SHARE:
            idle = [target for target in targets if self._is_exploration_candidate(target, now)]
            if idle:
                return self.rng.choice(idle)
        candidates = self._draw_candidates(targets, candidate_count(entries), now)
        return min(candidates, key=lambda target: self._cost(target, service_time, now))

    def shuffled(self, targets: Sequence[TargetState]) -> list[TargetState]:
        """Return the targets in random order."""
        return self.rng.sample(targets, len(targets))

    def _draw_candidates(
        self, targets: Sequence[TargetState], count: int, now: float
    ) -> Sequence[TargetState]:
        """Return ``count`` targets and as many that need permits, all of them if there are no more.

        The two are drawn apart, because a request must not wait for a permit while another target has free
        capacity.
        """
        if count >= len(targets):
            return targets
        limited: list[TargetState] = []
        unlimited: list[TargetState] = []
        for target in targets:
            (limited if self.permits.is_required(target, now) else unlimited).append(target)
        return [*self._draw(unlimited, count), *self._draw(limited, count)]

    def _draw(self, targets: list[TargetState], count: int) -> list[TargetState]:
        """Return ``count`` different targets at random in proportion to capacity."""
        if count >= len(targets):
            return targets
        # The largest of these keys are a weighted random sample without replacement.
        return sorted(targets, key=lambda target: self.rng.random() ** (1 / _capacity(target)))[-count:]

    def _is_exploration_candidate(self, target: TargetState, now: float) -> bool:
        """Return whether an idle target with few failures, not cold, may be better than its estimate.

        One with a rate limit is included: without any request its limit would never be known to have ended.
        """
        estimate = target.estimate
        is_idle = (
            estimate.expected_load(now) < 1.0 and estimate.recent_failures(now) < MAX_EXPLORATION_FAILURES
        )
        return is_idle and self._may_get_request_soon(target, now)

    def _may_get_request_soon(self, target: TargetState, now: float) -> bool:
        max_delay = 0.0 if target.is_cold(now) else PERMIT_ANSWER_TIME_S
        return self.permits.delay(target, now) <= max_delay

    def _cost(self, target: TargetState, service_time: float, now: float) -> float:
        noise = 1.0 + CHOICE_NOISE * self.rng.random()
        delay = min(self.permits.delay(target, now), MAX_PERMIT_DELAY_S)
        is_near = target.info.failure_domain == self.failure_domain
        domain_cost = 0.0 if is_near else min(CROSS_DOMAIN_COST_S, MAX_CROSS_DOMAIN_SHARE * service_time)
        load = target.estimate.expected_load(now)
        utilization_cost = UTILIZATION_WEIGHT * service_time * self._utilization(target, load, delay, now)
        completion_time = target.estimate.completion_time(service_time, now, load)
        return (completion_time + utilization_cost + delay + domain_cost) * noise

    def _utilization(self, target: TargetState, load: float, delay: float, now: float) -> float:
        """Return the utilization that the target counts as; one that needs a wait for a permit is full."""
        if delay > 0:
            return 1.0
        utilization = target.estimate.utilization(load, now)
        if self.permits.is_required(target, now):
            return max(MIN_PERMIT_UTILIZATION, utilization)
        return utilization


def _capacity(target: TargetState) -> float:
    return max(MIN_CAPACITY, target.info.slots * target.info.speed)
