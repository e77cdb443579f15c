"""Tests of the limits that entries keep together without asking each other."""

import random

import testtools

from cranberrylever.gateway._limits import ColdBucket, RetryWindow
from cranberrylever.settings import LimitRules

RULES = LimitRules(1.5, 5.0, 0.2, 56.0, 10.0)


class ColdBucketTest(testtools.TestCase):
    def test_all_entries_together_stay_below_the_bound_in_any_second(self):
        """Guards against entries that each send their full share to a target in cold start."""
        for entries in (1, 3, 8, 10, 14):
            rng = random.Random(entries)
            buckets = [ColdBucket(9.9, entries, RULES, rng.random()) for _ in range(entries)]
            sent = []
            now = 1.0
            while now < 12.0:
                now += 0.005
                sent.extend(now for bucket in buckets if bucket.take(now))
            bound = 9.9 * RULES.cold_factor + RULES.cold_extra
            for start in sent:
                assert sum(start <= moment < start + 1.0 for moment in sent) <= bound
            assert len(sent) / 11.0 > 0.5 * min(9.9, bound - entries)

    def test_too_many_entries_get_nothing(self):
        """Guards against one request of each entry that is too much already."""
        bucket = ColdBucket(9.9, 71, RULES, 0.0)
        assert not bucket.take(100.0)
        assert bucket.delay(100.0) == float("inf")


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
