"""Tests of the retry budget and the answered requests, which entries track without coordination."""

import random

import testtools

from cranberrylever.route_entry._limits import AnsweredRequests, RetryBudget
from cranberrylever.settings import LimitSettings

RULES = LimitSettings(1.5, 5.0, 0.2, 56.0, 10.0)


class RetryBudgetTest(testtools.TestCase):
    def test_retries_of_all_entries_stay_below_the_bound_in_any_window(self):
        """Guards against retries that exceed the limit when callers repeat at once through every entry."""
        entries = 8
        rng = random.Random(2)
        budgets = [RetryBudget(RULES, 0.0) for _ in range(entries)]
        requests, retries = [], []
        now = 0.0
        while now < 60.0:
            now += rng.expovariate(400 if 20 < now < 30 else 100)
            budget = rng.choice(budgets)
            budget.record_request(now)
            requests.append(now)
            if budget.try_spend(entries, now):
                retries.append(now)
        for end in range(10, 61):
            inside = [time for time in retries if end - 10 <= time < end]
            asked = sum(end - 10 <= time < end for time in requests)
            assert len(inside) <= 0.2 * asked + 56

    def test_budget_allows_retries(self):
        """Guards against a budget so small that no request is ever sent twice."""
        budget = RetryBudget(RULES, 0.0)
        assert sum(budget.try_spend(8, 0.1) for _ in range(20)) >= 4


class AnsweredRequestsTest(testtools.TestCase):
    def test_request_that_ran_is_not_taken_for_one_that_crashes_targets(self):
        """Guards against requests for a hot key being reported as crash suspects.

        No target served the key after the loss of two targets (soak test, seed 23).
        """
        answered = AnsweredRequests()
        answered.add("hot")
        assert "hot" in answered
        assert "poison" not in answered

    def test_number_is_bounded_and_recent_ones_stay(self):
        """Guards against memory use that grows with each request."""
        answered = AnsweredRequests()
        answered.add("hot")
        for number in range(AnsweredRequests.MAX_FINGERPRINTS - 1):
            answered.add(str(number))
        answered.add("hot")
        answered.add("one more")
        assert len(answered.fingerprints) == AnsweredRequests.MAX_FINGERPRINTS
        assert "hot" in answered
        assert "0" not in answered
