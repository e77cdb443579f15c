"""Tests of the rate limits that targets state, as an entry knows them."""

import math

import attrs
import testtools

from cranberrylever.route_entry._rate_limits import MIN_RATE, TargetRateLimits
from tests.route_entry.test_view import target

TARGET = target("a")
INCARNATION = TARGET.incarnation


def reply(limits, sequence, rate, now):
    """Apply the leader's reply to the report ``sequence`` with the limit that control publishes."""
    limits.set_published([attrs.evolve(TARGET, rate_limit=rate)], now)
    limits.confirm(sequence)


class TargetRateLimitsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.report_requests = 0
        self.limits = TargetRateLimits(self.count_report_request)

    def count_report_request(self):
        self.report_requests += 1

    def test_limit_holds_before_control_knows_it(self):
        """Guards against an entry that sends freely until the limit has come back from control."""
        assert self.limits.observe(INCARNATION, 1.3, 0.0)
        reply(self.limits, 0, -1.0, 0.1)
        assert self.limits.rate(INCARNATION) == 1.3
        assert self.report_requests == 1

    def test_limit_of_another_entry_holds(self):
        """Guards against a limit that only the entry keeps that got the answer."""
        reply(self.limits, 1, 2.0, 0.1)
        assert self.limits.rate(INCARNATION) == 2.0

    def test_older_published_limit_does_not_replace_an_observation(self):
        """Guards against a limit that a reply ends which control sent before it knew of the limit."""
        self.limits.observe(INCARNATION, 1.3, 0.0)
        self.limits.build_observations(7, False, 0.0)
        reply(self.limits, 6, math.inf, 0.1)
        assert self.limits.rate(INCARNATION) == 1.3
        reply(self.limits, 7, math.inf, 0.2)
        assert self.limits.rate(INCARNATION) == math.inf

    def test_limit_is_reported_until_it_is_confirmed(self):
        """Guards against a limit that is lost with the stream that carried it."""
        self.limits.observe(INCARNATION, 1.3, 0.0)
        assert len(self.limits.build_observations(1, True, 0.1)) == 1
        observed = self.limits.build_observations(2, True, 0.5)[0]
        assert (observed.rate, observed.age) == (1.3, 0.5)
        reply(self.limits, 2, 1.3, 0.6)
        assert self.limits.build_observations(3, False, 0.7) == ()

    def test_new_leader_learns_limits_from_entries(self):
        """Guards against limits that end when the leader changes."""
        reply(self.limits, 1, 2.0, 1.0)
        reply(self.limits, 2, -1.0, 2.0)
        observed = self.limits.build_observations(3, True, 4.0)[0]
        assert (observed.rate, observed.age) == (2.0, 3.0)

    def test_limit_ends_with_an_answer_that_has_none(self):
        """Guards against a target that is limited after it has recovered."""
        reply(self.limits, 1, 2.0, 1.0)
        assert self.limits.observe(INCARNATION, None, 2.0)
        assert self.limits.rate(INCARNATION) == math.inf
        assert self.limits.build_observations(2, False, 2.1)[0].rate == math.inf

    def test_target_without_a_limit_is_not_reported(self):
        """Guards against reports about each answer of each target."""
        assert not self.limits.observe(INCARNATION, None, 0.0)
        assert self.limits.build_observations(1, True, 0.0) == ()

    def test_target_that_accepts_nothing_is_asked_now_and_then(self):
        """Guards against a target that gets no request any more, so that no answer can end its limit."""
        self.limits.observe(INCARNATION, 0.0, 0.0)
        assert self.limits.rate(INCARNATION) == MIN_RATE
