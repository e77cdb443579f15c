"""Tests of the limits that entries keep together without asking each other."""

import random

import testtools

from cranberrylever.gateway._limits import RetryWindow
from cranberrylever.settings import LimitRules

RULES = LimitRules(1.5, 5.0, 0.2, 56.0, 10.0)


class RetryWindowTest(testtools.TestCase):
    def test_retries_of_all_entries_stay_below_the_bound_in_any_window(self):
        """Guards against callers that repeat at once through every entry."""
        entries = 8
        rng = random.Random(2)
        windows = [RetryWindow(RULES, 0.0) for _ in range(entries)]
        requests, retries = [], []
        now = 0.0
        while now < 60.0:
            now += rng.expovariate(400 if 20 < now < 30 else 100)
            window = rng.choice(windows)
            window.record_request(now)
            requests.append(now)
            if window.take(entries, now):
                retries.append(now)
        for end in range(10, 61):
            inside = [moment for moment in retries if end - 10 <= moment < end]
            asked = sum(end - 10 <= moment < end for moment in requests)
            assert len(inside) <= 0.2 * asked + 56

    def test_share_is_used(self):
        """Guards against a budget so careful that no request is ever sent twice."""
        window = RetryWindow(RULES, 0.0)
        assert sum(window.take(8, 0.1) for _ in range(20)) >= 4
