"""Tests of retry budgets, concurrency limits, latency statistics and cold marks."""

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from cranberrylever.limits import (
    AdaptiveLimit,
    ColdMarks,
    LatencyJump,
    RunningQuantile,
    TargetLatency,
    TokenBucket,
    estimated_wait,
)


class TokenBucketTest(testtools.TestCase):
    def test_extra_requests_stay_within_the_ratio(self):
        """Guards against retries that multiply the load of a failing service."""

        @seed(1)
        @settings(max_examples=100, deadline=None, database=None)
        @given(st.lists(st.booleans(), max_size=400))
        def drive(steps):
            bucket = TokenBucket(0.1, capacity=5.0)
            requests = taken = 0
            for is_request in steps:
                if is_request:
                    bucket.record_request()
                    requests += 1
                elif bucket.take():
                    taken += 1
                self.assertLessEqual(taken, 5 + 0.1 * requests + 1e-9)

        drive()

    def test_empty_bucket_refuses(self):
        """Guards against a bucket that goes below zero."""
        bucket = TokenBucket(0.5, capacity=1.0)
        self.assertEqual([True, False], [bucket.take(), bucket.take()])
        bucket.record_request()
        self.assertFalse(bucket.take())
        bucket.record_request()
        self.assertTrue(bucket.take())


class AdaptiveLimitTest(testtools.TestCase):
    def test_limit_stays_within_its_bounds(self):
        """Guards against a limit of 0, which never recovers, or above the connections of the target."""
        events = st.lists(st.tuples(st.sampled_from("fsr"), st.integers(1, 100)), max_size=200)

        @seed(1)
        @settings(max_examples=200, deadline=None, database=None)
        @given(events, st.integers(0, 10), st.integers(1, 50))
        def drive(events, initial, maximum):
            limit = AdaptiveLimit(initial, maximum)
            now = 0.0
            for kind, outstanding in events:
                now += 0.05
                if kind == "r":
                    limit.record_refusal(now)
                else:
                    limit.record_answer(0.1 if kind == "s" else 0.01, 0.01, outstanding, now)
                self.assertTrue(1 <= limit.value <= maximum)

        drive()

    def test_unused_limit_does_not_grow(self):
        """Guards against a limit that grows while idle and does not bound the next rise in load."""
        limit = AdaptiveLimit(10, 100)
        for number in range(100):
            limit.record_answer(0.01, 0.01, 1, float(number))
        self.assertEqual(10, limit.value)

    def test_one_stall_counts_once(self):
        """Guards against a limit that falls to 1 because one stall delays many requests."""
        limit = AdaptiveLimit(10, 100)
        for _ in range(10):
            limit.record_refusal(5.0)
        self.assertEqual(7, limit.value)

    def test_estimated_wait(self):
        """Guards against an early refusal of a request that could be sent in time."""
        self.assertAlmostEqual(0.5, estimated_wait(9, 0.1, 2))


class LatencyTest(testtools.TestCase):
    def test_peak_is_seen_at_once_and_decays(self):
        """Guards against a straggler that is detected late, or avoided after it has recovered."""
        latency = TargetLatency()
        for number in range(100):
            latency.record(0.01, number * 0.01)
        latency.record(0.2, 1.0)
        self.assertAlmostEqual(0.2, latency.recent(1.0))
        self.assertLess(latency.recent(3.5), 0.02)
        self.assertLess(latency.baseline, 0.012)

    def test_recent_latency_is_never_below_zero(self):
        """Guards against a negative estimate, with which a target would be chosen for all requests."""

        @seed(1)
        @settings(max_examples=200, deadline=None, database=None)
        @given(st.lists(st.floats(0, 100), max_size=50))
        def drive(samples):
            latency = TargetLatency()
            for number, sample in enumerate(samples):
                latency.record(sample, number * 0.1)
                self.assertGreaterEqual(latency.recent(number * 0.1 + 0.01), 0.0)

        drive()

    def test_quantile_equals_naive_quantile(self):
        """Guards against hedges that start too early or too late."""
        quantile = RunningQuantile(0.95)
        values = [(number * 37 % 64) / 1000 for number in range(63)]
        for value in values:
            quantile.record(value)
        self.assertIsNone(quantile.value())
        quantile.record(0.5)
        self.assertEqual(sorted([*values, 0.5])[int(0.95 * 63)], quantile.value())


class ColdTest(testtools.TestCase):
    def test_mark_ends_with_confirmation_or_time(self):
        """Guards against a target that stays limited because control never reports it as cold."""
        marks = ColdMarks(3.0)
        self.assertTrue(marks.mark("t1", "i1", 0.0))
        self.assertFalse(marks.mark("t1", "i1", 1.0))
        self.assertTrue(marks.appears_cold("t1", 3.9))
        self.assertFalse(marks.appears_cold("t1", 4.0))
        self.assertTrue(marks.drop_expired(4.0))
        marks.mark("t1", "i2", 5.0)
        marks.confirm("t1")
        self.assertFalse(marks.appears_cold("t1", 5.1))

    def test_short_slow_phase_is_no_jump(self):
        """Guards against stragglers, which are slow for 0.2 s, that are treated as cold."""
        jump = LatencyJump()
        results = [jump.observe(0.2, 0.01, 100, number * 0.05) for number in range(5)]
        self.assertEqual([False] * 5, results)
        self.assertFalse(jump.observe(0.01, 0.01, 100, 0.3))
        results = [jump.observe(0.2, 0.01, 100, 1.0 + number * 0.1) for number in range(11)]
        self.assertTrue(results[-1])
        self.assertFalse(any(results[:-1]))
