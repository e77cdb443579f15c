"""Decides whether a request to a target needs a permit, and how many permits the target can have.

A target in cold start and one that states a rate limit accept a number of requests from all entries
together. Both are kept by the permits that the control leader grants.
"""

import contextlib
import math
from collections.abc import Callable

from cranberrylever.route_entry._format import AnswerHeaders
from cranberrylever.route_entry._permits import PermitBound, PermitClient
from cranberrylever.route_entry._rate_limits import TargetRateLimits
from cranberrylever.route_entry._view import TargetState
from cranberrylever.route_plan import RoutedService
from cranberrylever.settings import LimitSettings
from cranberrylever.wire import COLD_PERMIT_WINDOW_S

GRANTED_SHARE_OF_COLD_BOUND = 0.9
"""Share of the bound of a cold target that is granted; requests arrive slightly later than they are sent."""


def cold_bound(rate: float, limits: LimitSettings) -> PermitBound:
    """Return the permits for a cold target that can handle ``rate`` requests per second."""
    max_requests = rate * limits.cold_factor + limits.cold_extra
    return PermitBound(int(GRANTED_SHARE_OF_COLD_BOUND * max_requests), COLD_PERMIT_WINDOW_S)


def rate_limit_bound(rate: float) -> PermitBound:
    """Return the permits for a target that states a limit of ``rate`` requests per second."""
    count = math.ceil(rate)
    return PermitBound(count, count / rate)


class PermitGate:
    """Permits for the targets of one entry; times are loop times in seconds.

    Args:
        permits: Permits of this entry.
        rate_limits: Rate limits that targets state.
        limits: Limits over all entries.
    """

    def __init__(self, permits: PermitClient, rate_limits: TargetRateLimits, limits: LimitSettings) -> None:
        self.permits = permits
        self.rate_limits = rate_limits
        self.limits = limits

    def is_required(self, target: TargetState, now: float) -> bool:
        """Return whether a request to the target needs a permit."""
        return target.is_cold(now) or self._is_rate_limited(target)

    def delay(self, target: TargetState, now: float) -> float:
        """Return the seconds until a request may be sent: with a permit, or once none is needed."""
        if not self.is_required(target, now):
            return 0.0
        delay = self.permits.delay(target.info.incarnation, now)
        if self._is_rate_limited(target):
            return delay
        return min(delay, target.cold_until - now)

    def reason(self, target: TargetState) -> str:
        """Return why a request to the target needs a permit, for the caller and the log."""
        return "target limits its rate" if self._is_rate_limited(target) else "target is cold"

    def try_acquire(self, target: TargetState, now: float) -> bool:
        """Return whether a request may be sent: the target needs no permit, or one is used."""
        return not self.is_required(target, now) or self.permits.try_acquire(target.info.incarnation, now)

    def waiting(
        self, target: TargetState, service: RoutedService, now: float
    ) -> contextlib.AbstractContextManager[None]:
        """Count a request as waiting for a permit for a target of ``service``."""
        return self.permits.waiting(target.info.incarnation, self._bound(target, service, now), now)

    def record_answer(self, target: TargetState, answer_headers: AnswerHeaders, now: float) -> bool:
        """Record the limit that an answer states; return whether it has changed.

        Only a result of the target shows that it has no limit.
        """
        rate = answer_headers.rate_limit
        if rate is None and not answer_headers.is_genuine:
            return False
        return self.rate_limits.observe(target.info.incarnation, rate, now)

    def _bound(self, target: TargetState, service: RoutedService, now: float) -> PermitBound:
        bounds = []
        if target.is_cold(now):
            bounds.append(cold_bound(service.cold_rate, self.limits))
        if self._is_rate_limited(target):
            bounds.append(rate_limit_bound(self.rate_limits.rate(target.info.incarnation)))
        # A target that became warm meanwhile needs no permit; the waiting request then ends its wait.
        return min(bounds or [cold_bound(service.cold_rate, self.limits)], key=lambda bound: bound.rate)

    def _is_rate_limited(self, target: TargetState) -> bool:
        return math.isfinite(self.rate_limits.rate(target.info.incarnation))


def create_permit_gate(limits: LimitSettings, request_report: Callable[[], None]) -> PermitGate:
    """Return the permits of an entry that has none yet.

    Args:
        limits: Limits over all entries.
        request_report: Called when a permit request or a limit should be reported to the leader at once.
    """
    return PermitGate(PermitClient(request_report), TargetRateLimits(request_report), limits)
