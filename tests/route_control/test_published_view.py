"""Tests of the published view with many entries and targets."""

import testtools

from cranberrylever.route_control._measurements import TargetMeasurements
from cranberrylever.route_control._published_view import PublishedView
from cranberrylever.route_control._state import RouteControlState
from cranberrylever.route_control._suspects import SuspectTracker
from cranberrylever.target_registry import TargetAnnouncement
from cranberrylever.wire import FeedReply, ReportedLoad, unpack_sections
from tests.route_control.fake_leader import FakeLeader
from tests.route_control.test_ownership import SERVICE

TARGET_COUNT = 300
ENTRY_COUNT = 185
STEP_S = 0.05


def announcement(number, draining=False):
    return TargetAnnouncement(
        f"t{number}", 1, 1, SERVICE, f"10.0.{number // 250}.{number % 250}:80", "z", 3, draining, 0.0
    )


class ManyEntriesTest(testtools.TestCase):
    """The load of a large site: 185 entries and 300 targets whose loads change all the time."""

    def setUp(self):
        super().setUp()
        self.state = RouteControlState()
        for number in range(TARGET_COUNT):
            self.state.fleet.record(announcement(number))
        self.state.entries = dict.fromkeys(f"e{number}" for number in range(ENTRY_COUNT))
        self.measurements = TargetMeasurements(0.0, 100.0)
        self.view = PublishedView(FakeLeader(self.measurements), self.state, SuspectTracker())
        self.now = 0.0
        self.view.refresh(self.now)

    def step(self, load):
        """Let all targets report ``load`` running requests and publish what is due."""
        self.now += STEP_S
        for number in range(TARGET_COUNT):
            self.measurements.busy_tracker.record(ReportedLoad(f"t{number}", 1, load, 1), self.now)
        self.view.refresh(self.now)

    def test_loads_that_change_all_the_time_are_published_at_intervals(self):
        """Guards against a leader that sends 185 entries the loads of 300 targets 20 times a second."""
        versions = set()
        for number in range(200):
            self.step(0 if number % 20 < 10 else 9)
            versions.add(self.view.fleet.version)
        assert 2 <= len(versions) <= 6, len(versions)

    def test_departure_is_published_within_a_fifth_of_a_second(self):
        """Guards against a leaving target that waits for the interval of loads, 2.8 s."""
        self.step(1)
        before = self.view.fleet.version
        self.state.fleet.record(announcement(7, draining=True))
        self.state.fleet_version += 1
        for _ in range(4):
            self.step(1)
        changes = self.view.sections_since(-1, before, -1).fleet
        assert [item.target_id for item in changes.targets if item.draining] == ["t7"]

    def test_what_all_entries_lack_is_encoded_once(self):
        """Guards against a new leader that encodes the whole view once for each of 185 entries."""
        encoded = [self.view.compressed_since(-1, -1, -1) for _ in range(ENTRY_COUNT)]
        assert all(item is encoded[0] for item in encoded)
        fleet = unpack_sections(FeedReply("c", 1, True, "", sections=encoded[0])).fleet
        assert len(fleet.targets) == TARGET_COUNT
        assert len(encoded[0]) < 30 * TARGET_COUNT, len(encoded[0])

    def test_entry_with_the_current_versions_is_sent_nothing(self):
        """Guards against replies that repeat what an entry holds."""
        sections = self.view.sections_since(-1, -1, -1)
        held = (self.state.plan_version, sections.fleet_version, sections.ranges_version)
        assert self.view.compressed_since(*held) == b""
        assert not self.view.is_behind(*held)
