"""Replays of how requests to a pooled service are divided among its targets."""

import functools
import statistics

import testtools

from bench.experiments.placement import CALM, LOADS, SHORT_OBJECTIVE, TIGHT, place
from cranberrylever.route_control._speeds import SpeedTracker
from cranberrylever.route_entry._estimates import ServiceTimeEstimator
from cranberrylever.route_entry._reports import ReportCollector

SEEDS = (1, 2)
MANY_ENTRIES_SEEDS = (0, 1, 2, 3, 4)
MAX_BUSIEST_OVER_MEAN = 1.25
MAX_CALM_BUSIEST_OVER_MEAN = 2.0
MAX_UTILIZATION_SPREAD = 0.25
SLOW_START_S, SLOW_END_S = 5, 11


@functools.cache
def placements(name):
    return [place(LOADS[name], seed) for seed in SEEDS]


class PlacementTest(testtools.TestCase):
    def test_calm_equal_targets_get_like_shares(self):
        """Guards against a target that seems fastest and gets half of the requests while others are idle."""
        for name in (
            "calm, load 0.5",
            "calm, load 0.5, 3 domains",
            "equal, load 0.5",
            "2 entries, 2 targets",
        ):
            for result in placements(name):
                assert result.busiest_over_mean <= MAX_BUSIEST_OVER_MEAN, (name, result.requests)

    def test_few_long_requests_do_not_gather_at_one_target(self):
        """Guards against speeds from few samples that decide where long requests go at low load."""
        for load in (CALM, TIGHT, SHORT_OBJECTIVE):
            for seed in SEEDS:
                result = place(load, seed)
                assert result.busiest_over_mean <= MAX_CALM_BUSIEST_OVER_MEAN, (load, result.requests)
                assert result.result.rejections == 0, result.result
                assert result.result.timed_out == 0, result.result

    def test_unequal_targets_are_utilized_alike(self):
        """Guards against fast or large targets that are full while the others are idle."""
        for name in ("speeds of 0.5 to 1.5", "2 to 12 slots", "work of 5 ms", "work of 5 s"):
            for result in placements(name):
                assert result.utilization_spread <= MAX_UTILIZATION_SPREAD, (name, result.utilizations)

    def test_slow_target_gets_less_within_a_second_and_recovers_within_three(self):
        """Guards against a slow target that keeps its share, and one that is avoided long after."""
        results = placements("one slow for 6 s")
        targets = len(results[0].requests)

        def relative_share(start, end):
            return sum(result.share(0, start, end) for result in results) / len(results) * targets

        assert relative_share(SLOW_START_S + 1, SLOW_END_S) < 0.5
        assert relative_share(SLOW_END_S + 3, SLOW_END_S + 5) > 0.75

    def test_late_answers_go_before_refusals_where_the_objective_cannot_be_met(self):
        """Guards against refusals for an objective that no target can meet, while the deadline can be met."""
        for result in placements("objective of 1 s, load 0.97"):
            assert result.result.rejections == 0, result.result

    def test_no_request_is_refused_while_a_target_has_a_free_slot(self):
        """Guards against a refusal that asked only the target that was chosen first."""
        for name in ("equal, load 0.9", "equal, load 1.2", "speeds of 0.5 to 1.5"):
            for result in placements(name):
                assert result.result.needless_rejections == 0, (name, result.result)

    def test_many_entries_refuse_nothing_while_a_target_has_a_free_slot(self):
        """Guards against refusals by entries whose estimates are old, while targets are idle."""
        for seed in MANY_ENTRIES_SEEDS:
            result = place(LOADS["80 entries, load 1.2"], seed).result
            assert result.needless_rejections == 0, (seed, result)

    def test_many_entries_with_short_work_refuse_nothing_while_a_target_has_a_free_slot(self):
        """Guards against the same where targets have few slots and work ends before it is reported."""
        for seed in MANY_ENTRIES_SEEDS:
            result = place(LOADS["13 entries, work of 63 ms, load 1.2"], seed).result
            assert result.needless_rejections == 0, (seed, result)


class ReportedSpeedTest(testtools.TestCase):
    def test_one_long_request_does_not_decide_the_speed_of_a_target(self):
        """Guards against a target that counts as slow for seconds because one long request took long."""
        reports, tracker = ReportCollector(), SpeedTracker()
        reports.record_service_time("a", 1, 4.7, 2.6)
        for service_time in reports.take_service_times():
            tracker.record(service_time, 0.0)
        assert tracker.speeds([("a", 1), ("b", 1)])["a", 1] > 0.85

    def test_many_long_requests_show_the_speed_of_a_target(self):
        """Guards against a limit that hides a target of half the speed."""
        reports, tracker = ReportCollector(), SpeedTracker()
        for _ in range(40):
            reports.record_service_time("a", 1, 5.2, 2.6)
        for service_time in reports.take_service_times():
            tracker.record(service_time, 0.0)
        speeds = tracker.speeds([("a", 1), ("b", 1)])
        assert speeds["a", 1] < 0.65 * speeds["b", 1], speeds
        assert abs(statistics.harmonic_mean(speeds.values()) - 1.0) < 0.01, speeds

    def test_first_requests_of_a_route_are_no_measure_of_speed(self):
        """Guards against targets that count as slow because their route takes longer than first assumed."""
        service_times = ServiceTimeEstimator()
        assert not service_times.is_known("r")
        service_times.record("r", 2.6)
        assert not service_times.is_known("r")
        for _ in range(4):
            service_times.record("r", 2.6)
        assert service_times.is_known("r")
