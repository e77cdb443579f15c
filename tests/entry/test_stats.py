"""Tests of the response counts and latencies sent as metrics."""

import testtools

from cranberrylever.entry._stats import ResponseStats
from cranberrylever.metrics import NullMetrics


class RecordingMetrics(NullMetrics):
    """Metrics that record the last value of each name."""

    def __init__(self):
        self.values = {}

    def count(self, name, value=1):
        self.values[name] = value

    def gauge(self, name, value):
        self.values[name] = value


class ResponseStatsTest(testtools.TestCase):
    def test_outcomes_and_latencies_since_the_last_report(self):
        """Guards against metrics that count a request twice or include requests of an earlier interval."""
        stats = ResponseStats()
        for number in range(1, 101):
            stats.record("done", number / 1000)
        stats.record("", 0.1)
        metrics = RecordingMetrics()
        stats.send(metrics)
        expected = {
            "outcome.done": 100,
            "outcome.abandoned": 1,
            "latency_p50_ms": 51.0,
            "latency_p99_ms": 100.0,
        }
        self.assertEqual(expected, metrics.values)
        later = RecordingMetrics()
        stats.send(later)
        self.assertEqual({}, later.values)
