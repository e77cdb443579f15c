"""Tests of the view at an entry: changes of sections, key owners and cold starts."""

import random

import testtools

from cranberrylever.route_control._sections import Section
from cranberrylever.route_entry._view import EntryView
from cranberrylever.settings import LimitSettings
from cranberrylever.wire import (
    UNKNOWN,
    FeedReply,
    FleetView,
    RangesView,
    RangeView,
    RoutedTarget,
    ServiceRanges,
)
from tests.route_plan.test_routes import make_plan
from tests.support import run_in_simulated_time

KEYS = 65_536


def target(name, started=1, usable=True, cold_for=0.0):
    return RoutedTarget(name, started, "ledger", f"{name}:80", "a", 3, usable, cold_for, 1.0)


def random_ranges(rng):
    cuts = sorted(rng.sample(range(1, KEYS), rng.randint(0, 8)))
    ends = [cut - 1 for cut in cuts] + [KEYS - 1]
    owners = [rng.choice(["a", "b", "c", ""]) for _ in ends]
    items = zip([0, *cuts], ends, owners, strict=True)
    return RangesView((ServiceRanges("ledger", tuple(RangeView(*item) for item in items)),))


def reply(fleet=None, ranges=None):
    fleet = fleet or Section()
    ranges = ranges or Section()
    return FeedReply(
        "c",
        1,
        True,
        "",
        (),
        5,
        make_plan(1, services=("ledger",)),
        fleet.version,
        fleet.content,
        ranges.version,
        ranges.content,
    )


class EntryViewTest(testtools.TestCase):
    def test_changes_lead_to_the_same_owners_as_whole_sections(self):
        """Guards against an entry whose key owners differ from those of control."""

        async def scenario():
            for seed in range(40):
                rng = random.Random(seed)
                section, view = Section(), EntryView(LimitSettings())
                for step in range(12):
                    section.update(random_ranges(rng), term=1 + step // 8)
                    if rng.random() < 0.3:
                        continue
                    missing = section.since(view.ranges_version)
                    change = FeedReply("c", 1, True, "", ranges_version=section.version, ranges=missing)
                    view.apply(change, float(step))
                    for item in section.content.services[0].ranges:
                        for key in (item.first, item.last):
                            assert view.owners["ledger"].owner_of(key).target_id == item.owner

        run_in_simulated_time(scenario)

    def test_change_to_another_version_is_ignored(self):
        """Guards against applying a change to a version of a section that it is not based on."""

        async def scenario():
            view = EntryView(LimitSettings())
            fleet = FleetView((target("a"),), 1, base_version=7)
            view.apply(FeedReply("c", 1, True, "", fleet_version=9, fleet=fleet), 0.0)
            assert view.targets == {}

        run_in_simulated_time(scenario)

    def test_older_section_is_ignored(self):
        """Guards against a view that returns to an older version."""

        async def scenario():
            view = EntryView(LimitSettings())
            newer, older = FleetView((target("b"),), 1), FleetView((target("a"),), 1)
            view.apply(FeedReply("c", 1, True, "", fleet_version=9, fleet=newer), 0.0)
            view.apply(FeedReply("c", 1, True, "", fleet_version=8, fleet=older), 0.0)
            assert set(view.targets) == {"b"}

        run_in_simulated_time(scenario)

    def test_new_incarnation_resets_the_estimate(self):
        """Guards against a restarted target that inherits the load and speed of its previous incarnation."""

        async def scenario():
            view = EntryView(LimitSettings())
            section = Section()
            section.update(FleetView((target("a"),), 1), 1)
            view.apply(reply(section), 0.0)
            view.targets["a"].estimate.record_start(0.0)
            section.update(FleetView((target("a", started=2),), 1), 1)
            view.apply(reply(section), 1.0)
            assert view.targets["a"].estimate.outstanding == 0

        run_in_simulated_time(scenario)

    def test_unknown_cold_time_does_not_change_warmth(self):
        """Guards against full load on a cold target after a change of leader.

        A new leader does not know the cold time of a target before the target's first announcement to it.
        """

        async def scenario():
            view = EntryView(LimitSettings())
            section = Section()
            section.update(FleetView((target("a", cold_for=2.0), target("b")), 8), 1)
            view.apply(reply(section), 10.0)
            section.update(FleetView((target("a", cold_for=UNKNOWN), target("b", cold_for=UNKNOWN)), 8), 2)
            view.apply(reply(section), 10.5)
            assert view.targets["a"].is_cold(11.0)
            assert not view.targets["b"].is_cold(11.0)
            assert not view.targets["a"].is_cold(12.5)

        run_in_simulated_time(scenario)

    def test_cold_start_ends_by_itself(self):
        """Guards against a target that counts as cold until control sends an update."""

        async def scenario():
            view = EntryView(LimitSettings())
            section = Section()
            section.update(FleetView((target("a", cold_for=2.0),), 8), 1)
            view.apply(reply(section), 10.0)
            known = view.targets["a"]
            assert known.is_cold(11.0)
            assert not known.is_cold(12.5)

        run_in_simulated_time(scenario)
