"""Rate limits that targets state in their answers, from the reports of all entries."""

import math

import attrs

from cranberrylever.wire import UNKNOWN, ObservedRateLimit

Incarnation = tuple[str, int]


@attrs.define
class _LastObservation:
    """The last known limit of one incarnation and the loop time of the answer that stated it."""

    rate: float
    observed_at: float


class RateLimitRegistry:
    """Last limit that each incarnation stated to any entry; ``version`` increases with each change."""

    def __init__(self) -> None:
        self.version = 0
        self.last: dict[Incarnation, _LastObservation] = {}

    def record(self, observed: ObservedRateLimit, now: float) -> bool:
        """Record an observation unless a later one is known; return whether the limit has changed."""
        if not observed.rate > 0:
            return False
        incarnation = (observed.target_id, observed.started_ms)
        observed_at = now - max(0.0, observed.age)
        last = self.last.get(incarnation)
        if last is not None and last.observed_at > observed_at:
            return False
        self.last[incarnation] = _LastObservation(observed.rate, observed_at)
        if last is not None and last.rate == observed.rate:
            return False
        self.version += 1
        return True

    def published(self, incarnation: Incarnation) -> float:
        """Return the limit for the view, ``UNKNOWN`` when no entry has reported one."""
        last = self.last.get(incarnation)
        return last.rate if last is not None else UNKNOWN

    def rate(self, incarnation: Incarnation) -> float:
        """Return the limit in requests per second, infinite without one."""
        last = self.last.get(incarnation)
        return last.rate if last is not None else math.inf

    def keep_only(self, incarnations: set[Incarnation]) -> None:
        """Drop all other incarnations."""
        self.last = {key: value for key, value in self.last.items() if key in incarnations}
