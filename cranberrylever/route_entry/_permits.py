"""Permits that the control leader grants to an entry for requests to targets that accept only a few.

A target in cold start, or with a rate limit, accepts some requests from all entries together. An entry
requests permits when it has requests for the target. It uses them within their lifetime, which starts when
the permit request is sent.
"""

import contextlib
from collections.abc import Callable, Iterator

import attrs

from cranberrylever.wire import PERMIT_LIFETIME_S, GrantedPermits, PermitRequest

PERMIT_ANSWER_TIME_S = 0.03
"""Expected time until the leader answers a permit request."""

REQUEST_RETRY_DELAY_S = 0.15
"""Time after which a permit request without an answer is sent again."""

UNRESPONSIVE_LEADER_DELAY_S = 1.0
"""Time until permits are expected when the leader does not answer, since another one must be elected."""

Incarnation = tuple[str, int]


@attrs.frozen
class PermitBound:
    """At most ``count`` permits are granted to all entries together in any ``window`` seconds."""

    count: int
    window: float

    @property
    def rate(self) -> float:
        """Permits per second."""
        return self.count / self.window


@attrs.define
class _IncarnationPermits:
    """Permits for one incarnation of a target and the state of the permit requests; times are loop times.

    ``bound`` limits the permits of all entries together and ``waiting`` is the number of requests that wait
    for a permit. ``requested_at`` is when the pending permit request was sent and ``unanswered_since`` when
    the first one without an answer was. The leader grants no further permits before ``next_grant_at``.
    """

    bound: PermitBound
    expiry_times: list[float] = attrs.field(factory=list)
    waiting: int = 0
    requested_at: float | None = None
    unanswered_since: float | None = None
    next_grant_at: float = 0.0

    def may_request(self, now: float) -> bool:
        """Return whether no permit request is pending and the leader may have permits."""
        is_retry_due = self.requested_at is None or now - self.requested_at > REQUEST_RETRY_DELAY_S
        return is_retry_due and now >= self.next_grant_at

    def is_leader_unresponsive(self, now: float) -> bool:
        """Return whether recent permit requests had no answer.

        This holds for a limited time after the last one, so that the leader is asked again later.
        """
        if (
            self.unanswered_since is None
            or self.requested_at is None
            or now - self.requested_at > UNRESPONSIVE_LEADER_DELAY_S
        ):
            return False
        return now - self.unanswered_since > 2 * REQUEST_RETRY_DELAY_S

    def record_request(self, now: float) -> None:
        """Record a permit request; one that is sent long after the last starts a new unanswered period."""
        is_new_series = (
            self.requested_at is not None and now - self.requested_at > UNRESPONSIVE_LEADER_DELAY_S
        )
        if self.unanswered_since is None or is_new_series:
            self.unanswered_since = now
        self.requested_at = now

    def missing_count(self, now: float) -> int:
        """Return how many waiting requests have no granted permit."""
        self.expiry_times = [expiry_time for expiry_time in self.expiry_times if expiry_time > now]
        return max(0, self.waiting - len(self.expiry_times))


class PermitClient:
    """Permits of one entry and its permit requests; times are loop times in seconds.

    Args:
        request_report: Called when a permit request should be reported to the leader at once.
    """

    def __init__(self, request_report: Callable[[], None]) -> None:
        self.request_report = request_report
        self.by_incarnation: dict[Incarnation, _IncarnationPermits] = {}
        self.report_times: dict[int, float] = {}

    def delay(self, incarnation: Incarnation, now: float) -> float:
        """Return the expected seconds until a request may be sent."""
        permits = self.by_incarnation.get(incarnation)
        if permits is None:
            return PERMIT_ANSWER_TIME_S
        if any(expiry_time > now for expiry_time in permits.expiry_times):
            return 0.0
        if permits.is_leader_unresponsive(now):
            return UNRESPONSIVE_LEADER_DELAY_S
        return max(PERMIT_ANSWER_TIME_S, permits.next_grant_at - now)

    def try_acquire(self, incarnation: Incarnation, now: float) -> bool:
        """Use a permit; return whether there was one."""
        permits = self.by_incarnation.get(incarnation)
        if permits is None:
            return False
        permits.expiry_times = [expiry_time for expiry_time in permits.expiry_times if expiry_time > now]
        if not permits.expiry_times:
            return False
        permits.expiry_times.pop(0)
        return True

    @contextlib.contextmanager
    def waiting(self, incarnation: Incarnation, bound: PermitBound, now: float) -> Iterator[None]:
        """Count a request as waiting for a permit for a target whose permits are limited by ``bound``."""
        permits = self.by_incarnation.setdefault(incarnation, _IncarnationPermits(bound))
        permits.bound = bound
        permits.waiting += 1
        if permits.may_request(now):
            self.request_report()
        try:
            yield
        finally:
            permits.waiting -= 1

    def build_requests(self, sequence: int, now: float) -> tuple[PermitRequest, ...]:
        """Return the permit requests for the report ``sequence``."""
        requests = []
        for (target_id, started_ms), permits in self.by_incarnation.items():
            missing_count = permits.missing_count(now)
            if missing_count and permits.may_request(now):
                bound = permits.bound
                requests.append(
                    PermitRequest(target_id, started_ms, missing_count, bound.count, bound.window)
                )
                permits.record_request(now)
        if requests:
            self.report_times[sequence] = now
        return tuple(requests)

    def record(self, grants: tuple[GrantedPermits, ...], sequence: int, now: float) -> None:
        """Record the leader's answer to the permit requests in the report ``sequence``."""
        reported_at = self.report_times.pop(sequence, None)
        for grant in grants:
            permits = self.by_incarnation.get((grant.target_id, grant.started_ms))
            if permits is None or reported_at is None:
                continue
            permits.requested_at = None
            permits.unanswered_since = None
            permits.expiry_times.extend([reported_at + PERMIT_LIFETIME_S] * grant.count)
            permits.next_grant_at = now + grant.next_in
            if permits.missing_count(now) and grant.next_in == 0.0:
                self.request_report()
        self.report_times = {
            key: value for key, value in self.report_times.items() if now - value < PERMIT_LIFETIME_S
        }

    def keep_only(self, incarnations: set[Incarnation]) -> None:
        """Drop the permits for all other incarnations, except those that requests wait for."""
        self.by_incarnation = {
            incarnation: permits
            for incarnation, permits in self.by_incarnation.items()
            if incarnation in incarnations or permits.waiting
        }
