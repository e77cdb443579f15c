"""Rate limits that targets state in their answers, as one entry knows them.

An entry follows its own observation until control has received it. From then on it follows the limit that
control publishes, which is the last observation of all entries.
"""

import math
from collections.abc import Callable, Iterable

import attrs

from cranberrylever.wire import UNKNOWN, ObservedRateLimit, RoutedTarget

MIN_RATE = 0.1
"""Lowest rate in requests per second; without any request an entry would not learn that a limit has ended."""

TIGHTER_LIMIT_SHARE = 0.8
"""A limit below this share of the last one is reported at once, other changes with the next report."""

Incarnation = tuple[str, int]


@attrs.define
class _UnconfirmedRate:
    """A rate that control may not have received; ``sequence`` is the first report with it, if any."""

    rate: float
    observed_at: float
    sequence: int | None = None


@attrs.define
class _PublishedRate:
    """A rate that control has published, and the loop time since when."""

    rate: float
    published_at: float


class TargetRateLimits:
    """Rate limits by incarnation of a target, in requests per second over all entries; infinite without one.

    Args:
        request_report: Called when a limit should be reported to the leader at once.
    """

    def __init__(self, request_report: Callable[[], None]) -> None:
        self.request_report = request_report
        self.unconfirmed: dict[Incarnation, _UnconfirmedRate] = {}
        self.published: dict[Incarnation, _PublishedRate] = {}

    def rate(self, incarnation: Incarnation) -> float:
        """Return the limit of a target."""
        unconfirmed = self.unconfirmed.get(incarnation)
        if unconfirmed is not None:
            return unconfirmed.rate
        published = self.published.get(incarnation)
        return published.rate if published is not None else math.inf

    def observe(self, incarnation: Incarnation, stated_rate: float | None, now: float) -> bool:
        """Record the limit in an answer, ``None`` without one; return whether it has changed."""
        rate = math.inf if stated_rate is None else max(MIN_RATE, stated_rate)
        before = self.rate(incarnation)
        if rate == before:
            return False
        self.unconfirmed[incarnation] = _UnconfirmedRate(rate, now)
        if rate < TIGHTER_LIMIT_SHARE * before:
            self.request_report()
        return True

    def build_observations(self, sequence: int, is_first: bool, now: float) -> tuple[ObservedRateLimit, ...]:
        """Return the limits for the report ``sequence``; the first report on a stream has all known ones."""
        rates = {}
        if is_first:
            rates = {key: (item.rate, item.published_at) for key, item in self.published.items()}
        for key, item in self.unconfirmed.items():
            rates[key] = item.rate, item.observed_at
            if item.sequence is None:
                item.sequence = sequence
        return tuple(ObservedRateLimit(*key, rate, now - since) for key, (rate, since) in rates.items())

    def set_published(self, targets: Iterable[RoutedTarget], now: float) -> None:
        """Set the limits of all targets in a new view."""
        incarnations = set()
        for target in targets:
            incarnations.add(target.incarnation)
            published = self.published.get(target.incarnation)
            if target.rate_limit != UNKNOWN and (published is None or published.rate != target.rate_limit):
                self.published[target.incarnation] = _PublishedRate(target.rate_limit, now)
        self.published = {key: item for key, item in self.published.items() if key in incarnations}
        self.unconfirmed = {key: item for key, item in self.unconfirmed.items() if key in incarnations}

    def confirm(self, sequence: int) -> None:
        """Follow the published limits for all observations that the report ``sequence`` carried."""
        self.unconfirmed = {
            key: item
            for key, item in self.unconfirmed.items()
            if item.sequence is None or item.sequence > sequence
        }
