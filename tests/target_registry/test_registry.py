"""Tests of the fleet: lives, late notices and reused addresses."""

import attrs
import testtools

from cranberrylever.target_registry import TargetAnnouncement, TargetLiveness, TargetRegistry

NOTICE = TargetAnnouncement("t1", 1_000, 1, "ledger", "10.0.0.1:80", "a", 3, False, 0.0)


class FleetDirectoryTest(testtools.TestCase):
    def test_new_life_at_the_same_address_ends_the_earlier_one(self):
        """Guards against an ended process that counts as owner until its lease runs out."""
        fleet = TargetRegistry()
        fleet.record(NOTICE)
        ended = fleet.record(attrs.evolve(NOTICE, started_ms=2_000))
        assert [target.incarnation for target in ended] == [("t1", 1_000)]
        assert fleet.targets["t1"].started_ms == 2_000

    def test_reused_address_ends_the_other_service(self):
        """Guards against requests for a target whose address belongs to another service now."""
        fleet = TargetRegistry()
        fleet.record(NOTICE)
        fleet.record(attrs.evolve(NOTICE, target_id="t2", service="desk", started_ms=2_000))
        assert set(fleet.targets) == {"t2"}

    def test_notice_held_up_by_a_cut_does_not_bring_a_life_back(self):
        """Guards against a late notice of a crashed process that displaces its successor."""
        fleet = TargetRegistry()
        fleet.record(attrs.evolve(NOTICE, target_id="t2", started_ms=2_000))
        assert fleet.is_outdated(NOTICE)
        fleet.record(NOTICE)
        assert set(fleet.targets) == {"t2"}

    def test_new_life_elsewhere_does_not_prove_the_end_of_the_earlier_one(self):
        """Guards against keys freed while the earlier process may still hold them."""
        fleet = TargetRegistry()
        fleet.record(NOTICE)
        assert fleet.record(attrs.evolve(NOTICE, started_ms=2_000, address="10.0.0.2:80")) == ()

    def test_draining_stays(self):
        """Guards against a late notice that takes a target back into service."""
        fleet = TargetRegistry()
        fleet.record(attrs.evolve(NOTICE, draining=True))
        fleet.record(NOTICE)
        assert fleet.targets["t1"].leaving

    def test_target_that_left_is_not_recorded_again(self):
        """Guards against a notice that overtakes the farewell of its sender."""
        fleet = TargetRegistry()
        fleet.record(NOTICE)
        assert fleet.leave("t1", 1_000)
        fleet.record(NOTICE)
        assert fleet.targets["t1"].leaving
        fleet.forget("t1", 1_000)
        assert not fleet.is_change(NOTICE)

    def test_record_round_trip(self):
        """Guards against a snapshot that loses ended lives."""
        fleet = TargetRegistry()
        fleet.record(NOTICE)
        fleet.end("t1", 1_000)
        assert TargetRegistry(fleet.to_record()).is_outdated(NOTICE)


class FleetContactsTest(testtools.TestCase):
    def test_late_notice_does_not_change_warmth(self):
        """Guards against an earlier notice that makes a cold target look warm."""
        contacts = TargetLiveness(0.0)
        contacts.record(attrs.evolve(NOTICE, sequence=5, cold_for=3.0), 1.0)
        contacts.record(attrs.evolve(NOTICE, sequence=4, cold_for=0.0), 1.5)
        fleet = TargetRegistry()
        fleet.record(NOTICE)
        assert contacts.cold_for(fleet.targets["t1"], 2.0) == 2.0
        assert contacts.silence(fleet.targets["t1"], 2.0) == 0.5
