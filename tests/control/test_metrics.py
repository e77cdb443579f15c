"""Tests of the gauges of a control member."""

import testtools

from cranberrylever.control._metrics import ControlMetrics
from tests.control.test_leader import FakeDriver, create_coordinator
from tests.entry.test_stats import RecordingMetrics


class FakeLeader:
    def __init__(self, serving):
        self.serving = serving

    def is_serving(self):
        return self.serving


class ControlMetricsTest(testtools.TestCase):
    def gauges(self, serving: bool) -> dict:
        metrics = RecordingMetrics()
        coordinator = create_coordinator()
        coordinator.start_term(1, 0.0)
        driver = FakeDriver()
        driver.commit_index = driver.applied_index
        control_metrics = ControlMetrics(metrics, driver, FakeLeader(serving), coordinator)
        control_metrics.send_due(10.0)
        metrics.values["term"] += 100
        control_metrics.send_due(10.5)
        return metrics.values

    def test_leader_sends_the_state_of_the_cluster_once_per_interval(self):
        """Guards against missing gauges of the cluster, and against a datagram sent at every step."""
        values = self.gauges(True)
        self.assertEqual((1, 101), (values["is_leader"], values["term"]))
        self.assertEqual((1, 0), (values["targets.cold"], values["targets.warm"]))

    def test_follower_sends_only_its_own_state(self):
        """Guards against out-of-date gauges of the cluster from a follower."""
        self.assertNotIn("targets.cold", self.gauges(False))
