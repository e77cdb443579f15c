"""Tests of the replicated state of route control."""

import attrs
import testtools

from cranberrylever.keyspace import FREE, HELD, RangeEdit
from cranberrylever.route_control._commands import EditRanges, RecordTarget, SubmitPlan
from cranberrylever.route_control._state import RouteControlState
from cranberrylever.target_registry import TargetAnnouncement
from tests.route_control.test_ownership import PLAN, SERVICE

LAST_KEY = 65_535


class EndedTargetTest(testtools.TestCase):
    def test_ranges_that_the_end_of_a_target_frees_are_returned(self):
        """Guards against a range that becomes free without a line in the log."""
        state = RouteControlState()
        announcement = TargetAnnouncement("a", 1, 1, SERVICE, "a:80", "z", 3, False, 0.0)
        state.apply(1, SubmitPlan(PLAN, 0))
        assert state.apply(2, RecordTarget(announcement)) == ()
        held = (RangeEdit(0, 99, HELD, "a", 1), RangeEdit(100, LAST_KEY, HELD, "a", 1))
        state.apply(3, EditRanges(SERVICE, 0, held))
        freed = state.apply(4, RecordTarget(attrs.evolve(announcement, started_ms=2)))
        assert [(item.first, item.last, item.phase) for item in freed] == [
            (0, 99, HELD),
            (100, LAST_KEY, HELD),
        ]
        assert all(item.phase == FREE for item in state.tables[SERVICE].ranges)
