"""Tests of the counts of given-up connections."""

import testtools

from cranberrylever.http_given_up import LOG_INTERVAL_S, GivenUpConnections
from cranberrylever.metrics import NullMetrics


class RecordingLog:
    def __init__(self):
        self.lines = []

    def warning(self, message_type, **fields):
        self.lines.append((message_type, fields["reasons"]))


class CountingMetrics(NullMetrics):
    def __init__(self):
        self.counts = {}

    def count(self, name, value=1):
        self.counts[name] = self.counts.get(name, 0) + value


class GivenUpConnectionsTest(testtools.TestCase):
    def test_many_connections_write_few_lines_that_lose_no_reason(self):
        """Guards against a log that callers fill, and against reasons that are in no line."""
        log, metrics = RecordingLog(), CountingMetrics()
        connections = GivenUpConnections(log, metrics)
        for number in range(1_000):
            connections.record("invalid" if number % 4 else "memory", number * LOG_INTERVAL_S / 100)
        assert len(log.lines) == 10, log.lines
        assert sum(sum(reasons.values()) for _, reasons in log.lines) == 901
        assert metrics.counts == {"connections_given_up_invalid": 750, "connections_given_up_memory": 250}
