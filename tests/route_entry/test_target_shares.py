"""Tests of the gauge of how evenly an entry divides requests among targets."""

import testtools

from cranberrylever.metrics import create_exposed_metrics
from cranberrylever.route_control._sections import Section
from cranberrylever.route_entry._request import RoutedRequest
from cranberrylever.route_entry._target_shares import WINDOW_S, TargetShareGauge
from cranberrylever.route_entry._view import EntryView
from cranberrylever.route_plan import Route, RoutedService, RouteShare
from cranberrylever.settings import LimitSettings
from cranberrylever.wire import FleetView, RangesView
from tests.route_entry.test_view import reply, target

POOLED = RoutedService("ledger", False, "/healthz", 100, 3.0, 10.0, 2.0)
ROUTE = Route("r", "h", "/", (RouteShare("ledger", 1.0),), True, 1.0, 0.3, 1, 2)
TARGETS = ("a", "b", "c", "d")


def request(key=None):
    return RoutedRequest(b"q", b"GET", b"/x", [], b"", ROUTE, POOLED, key, 0.0, 1.0)


class TargetShareGaugeTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.metrics = create_exposed_metrics()
        view = EntryView(LimitSettings())
        fleet, ranges = Section(), Section()
        fleet.update(FleetView(tuple(target(name) for name in TARGETS), 8), 1)
        ranges.update(RangesView(()), 1)
        view.apply(reply(fleet, ranges), 0.0)
        self.targets = view.targets
        self.gauge = TargetShareGauge(self.metrics, view)

    def record(self, counts, key=None):
        for name, count in counts.items():
            for _ in range(count):
                self.gauge.record(request(key), self.targets[name], 0.0)
        self.gauge.record(request(), self.targets["a"], WINDOW_S)
        return self.metrics.registry.get_sample_value("cranberrylever_busiest_over_mean")

    def test_target_with_most_requests_is_seen(self):
        """Guards against one target that gets most requests while no metric shows it.

        Targets without any request count in the mean.
        """
        assert self.record({"a": 60, "b": 20}) == 3.0

    def test_like_shares_are_seen(self):
        """Guards against an alarm while all targets get the same."""
        assert self.record(dict.fromkeys(TARGETS, 20)) == 1.0

    def test_few_requests_raise_no_alarm(self):
        """Guards against an alarm about an entry that has sent three requests."""
        assert self.record({"a": 3}) == 0.0

    def test_requests_with_a_key_do_not_count(self):
        """Guards against an alarm about a key with many requests, whose target is its owner."""
        assert self.record({"a": 100}, key=7) is None
