"""Tests of the load of targets as control derives it from the reports of entries."""

import testtools

from cranberrylever.keyspace import KeyLoads, RangeEdit, RangeTable
from cranberrylever.keyspace._ranges import HELD
from cranberrylever.route_control._busy import BusyTracker
from cranberrylever.target_registry import RegisteredTarget
from cranberrylever.wire import ReportedLoad

TARGET = RegisteredTarget("a", 1, "office", "a:80", "z", 6)
LAST_KEY = 65_535


class BusyTrackerTest(testtools.TestCase):
    def test_loads_of_all_entries_are_averaged(self):
        """Guards against a pooled target whose load no entry knows, as each sees few of its answers."""
        tracker = BusyTracker()
        for load in (2, 6, 10):
            tracker.record(ReportedLoad("a", 1, load, 1), 1.0)
        assert tracker.busy(TARGET, 1.0, 1.0) == 6.0

    def test_queue_counts_as_load(self):
        """Guards against a queue that is hidden because load ends at the number of slots."""
        tracker = BusyTracker()
        tracker.record(ReportedLoad("a", 1, 18, 1), 1.0)
        assert tracker.busy(TARGET, 1.0, 1.0) == 18.0

    def test_later_loads_outweigh_earlier_ones(self):
        """Guards against a target that is avoided after its queue has gone."""
        tracker = BusyTracker()
        tracker.record(ReportedLoad("a", 1, 20, 1), 1.0)
        tracker.record(ReportedLoad("a", 1, 2, 1), 2.0)
        assert tracker.busy(TARGET, 1.0, 2.0) < 5.0

    def test_load_without_recent_answers_is_unknown(self):
        """Guards against a target that is chosen or avoided for long by its last answer."""
        tracker = BusyTracker()
        tracker.record(ReportedLoad("a", 1, 20, 1), 1.0)
        assert tracker.busy(TARGET, 1.0, 4.0) is None

    def test_other_incarnation_has_no_load(self):
        """Guards against a restarted target that is avoided for the queue it had before."""
        tracker = BusyTracker()
        tracker.record(ReportedLoad("a", 0, 20, 1), 1.0)
        assert tracker.busy(TARGET, 1.0, 1.0) is None

    def test_invalid_report_is_ignored(self):
        """Guards against a division by zero through the report of one entry."""
        tracker = BusyTracker()
        tracker.record(ReportedLoad("a", 1, 5, 0), 1.0)
        assert tracker.busy(TARGET, 1.0, 1.0) is None

    def test_work_above_capacity_counts_as_all_slots(self):
        """Guards against an owner of a hot key that counts as far more than full."""
        table = RangeTable()
        table.apply(table.version, (RangeEdit(0, LAST_KEY, HELD, "a", 1),), 1)
        load = KeyLoads(0.0)
        load.record([(0, 1_000.0)], 0.0)
        load.advance(1.0)
        tracker = BusyTracker()
        tracker.add_work(table, load)
        assert tracker.busy(TARGET, 1.0, 1.0) == 6
