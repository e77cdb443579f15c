"""Tests of the target registry: incarnations, late announcements and reused addresses."""

import random

import attrs
import testtools

from cranberrylever.target_registry import TargetAnnouncement, TargetLiveness, TargetRegistry

ANNOUNCEMENT = TargetAnnouncement("t1", 1_000, 1, "ledger", "10.0.0.1:80", "a", 3, False, 0.0)


class TargetRegistryTest(testtools.TestCase):
    def test_new_incarnation_at_the_same_address_ends_the_earlier_one(self):
        """Guards against an ended process that counts as owner until its lease runs out."""
        registry = TargetRegistry()
        registry.record(ANNOUNCEMENT)
        ended = registry.record(attrs.evolve(ANNOUNCEMENT, started_ms=2_000))
        assert [target.incarnation for target in ended] == [("t1", 1_000)]
        assert registry.targets["t1"].started_ms == 2_000

    def test_reused_address_ends_the_target_of_another_service(self):
        """Guards against requests to a target whose address now belongs to another service."""
        registry = TargetRegistry()
        registry.record(ANNOUNCEMENT)
        registry.record(attrs.evolve(ANNOUNCEMENT, target_id="t2", service="desk", started_ms=2_000))
        assert set(registry.targets) == {"t2"}

    def test_delayed_announcement_does_not_register_an_ended_incarnation(self):
        """Guards against a late announcement of a crashed process that replaces its successor."""
        registry = TargetRegistry()
        registry.record(attrs.evolve(ANNOUNCEMENT, target_id="t2", started_ms=2_000))
        assert registry.is_outdated(ANNOUNCEMENT)
        registry.record(ANNOUNCEMENT)
        assert set(registry.targets) == {"t2"}

    def test_new_incarnation_at_another_address_does_not_end_the_earlier_one(self):
        """Guards against keys freed while the earlier process may still hold them."""
        registry = TargetRegistry()
        registry.record(ANNOUNCEMENT)
        assert registry.record(attrs.evolve(ANNOUNCEMENT, started_ms=2_000, address="10.0.0.2:80")) == ()

    def test_draining_stays(self):
        """Guards against a late announcement that returns a draining target to service."""
        registry = TargetRegistry()
        registry.record(attrs.evolve(ANNOUNCEMENT, draining=True))
        registry.record(ANNOUNCEMENT)
        assert registry.targets["t1"].leaving

    def test_deregistered_target_is_not_recorded_again(self):
        """Guards against an announcement that arrives after the deregistration of its sender."""
        registry = TargetRegistry()
        registry.record(ANNOUNCEMENT)
        assert registry.deregister("t1", 1_000)
        registry.record(ANNOUNCEMENT)
        assert registry.targets["t1"].leaving
        registry.remove("t1", 1_000)
        assert not registry.would_change(ANNOUNCEMENT)

    def test_change_is_foreseen_in_any_state(self):
        """Guards against an announcement that is not written to the log though it changes something."""
        rng = random.Random(1)
        registry = TargetRegistry()
        seen = set()
        for _ in range(5_000):
            announcement = attrs.evolve(
                ANNOUNCEMENT,
                target_id=f"t{rng.randrange(3)}",
                started_ms=rng.randrange(1_000, 1_006),
                address=f"10.0.0.{rng.randrange(3)}:80",
                draining=rng.random() < 0.2,
            )
            before = registry.to_record()
            outdated, repeated = registry.is_outdated(announcement), registry.repeats(announcement)
            would_change = registry.would_change(announcement)
            registry.record(announcement)
            assert would_change == (registry.to_record() != before)
            assert repeated == (not outdated and not would_change)
            seen.add((outdated, repeated, would_change))
            if rng.random() < 0.1:
                end = rng.choice((registry.deregister, registry.remove, registry.remove_permanently))
                end(announcement.target_id, announcement.started_ms)
            if rng.random() < 0.02:
                registry = TargetRegistry()
        assert seen == {(True, False, False), (False, True, False), (False, False, True)}

    def test_record_round_trip(self):
        """Guards against a snapshot that loses the ended incarnations."""
        registry = TargetRegistry()
        registry.record(ANNOUNCEMENT)
        registry.remove_permanently("t1", 1_000)
        assert TargetRegistry(registry.to_record()).is_outdated(ANNOUNCEMENT)


class TargetLivenessTest(testtools.TestCase):
    def test_late_announcement_does_not_change_the_cold_state(self):
        """Guards against an earlier announcement that makes a cold target appear warm."""
        liveness = TargetLiveness(0.0)
        liveness.record(attrs.evolve(ANNOUNCEMENT, sequence=5, cold_for=3.0), 1.0)
        liveness.record(attrs.evolve(ANNOUNCEMENT, sequence=4, cold_for=0.0), 1.5)
        registry = TargetRegistry()
        registry.record(ANNOUNCEMENT)
        assert liveness.cold_for(registry.targets["t1"], 2.0) == 2.0
        assert liveness.seconds_since_announcement(registry.targets["t1"], 2.0) == 0.5
