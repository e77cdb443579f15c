"""Tests of the registry of the rate limits that targets state."""

import math

import testtools

from cranberrylever.route_control._rate_limits import RateLimitRegistry
from cranberrylever.wire import UNKNOWN, ObservedRateLimit

INCARNATION = ("a", 1)


def observed(rate, age):
    return ObservedRateLimit(*INCARNATION, rate, age)


class RateLimitRegistryTest(testtools.TestCase):
    def test_late_report_does_not_replace_a_later_observation(self):
        """Guards against a limit that a delayed report of an earlier answer ends."""
        registry = RateLimitRegistry()
        assert registry.record(observed(1.3, 0.0), 10.0)
        assert not registry.record(observed(math.inf, 0.5), 10.1)
        assert registry.rate(INCARNATION) == 1.3
        assert registry.record(observed(math.inf, 0.05), 10.2)
        assert registry.rate(INCARNATION) == math.inf

    def test_unknown_limit_is_not_published_as_none(self):
        """Guards against a new leader that ends the limits of its predecessor."""
        assert RateLimitRegistry().published(INCARNATION) == UNKNOWN

    def test_unreadable_rate_is_ignored(self):
        """Guards against a target that gets nothing because of a rate that is not a positive number."""
        registry = RateLimitRegistry()
        for rate in (0.0, -1.0, math.nan):
            assert not registry.record(observed(rate, 0.0), 10.0)
        assert registry.published(INCARNATION) == UNKNOWN
