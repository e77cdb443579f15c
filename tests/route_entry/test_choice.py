"""Tests of the choice of a target of a pooled service."""

import collections
import random

import attrs
import testtools

from cranberrylever.route_entry._choice import MIN_CANDIDATES, PooledChooser, candidate_count
from cranberrylever.route_entry._estimates import TargetLoadEstimate
from cranberrylever.route_entry._permits import PERMIT_ANSWER_TIME_S
from cranberrylever.route_entry._view import TargetState
from tests.route_entry.test_view import target

NOW = 10.0
MANY_ENTRIES = 80
SERVICE_TIME_S = 0.1


def state(name, speed=1.0, cold_until=0.0):
    info = attrs.evolve(target(name), speed=speed)
    return TargetState(info, TargetLoadEstimate(info.slots, speed), cold_until)


class FakePermits:
    """Fake permits that a cold target has after ``cold_delay`` seconds."""

    def __init__(self, cold_delay):
        self.cold_delay = cold_delay

    def is_required(self, target_state, now):
        return target_state.is_cold(now)

    def delay(self, target_state, now):
        return self.cold_delay if self.is_required(target_state, now) else 0.0


class FakeLimitPermits(FakePermits):
    """Fake permits of a warm target with a rate limit."""

    def is_required(self, target_state, now):
        return target_state.info.target_id == "limited"


def chooser(cold_delay=0.0):
    return PooledChooser("a", FakePermits(cold_delay), random.Random(1))


def choose_often(targets, entries, cold_delay=0.0, times=300):
    """Return how often each target is chosen."""
    choice = chooser(cold_delay)
    chosen = (choice.choose(targets, entries, SERVICE_TIME_S, NOW) for _ in range(times))
    return collections.Counter(item.info.target_id for item in chosen)


class PooledChooserTest(testtools.TestCase):
    def test_few_entries_compare_all_targets(self):
        """Guards against a random choice where an entry knows the targets well."""
        targets = [state(f"t{number}") for number in range(8)]
        for item in targets[1:]:
            for _ in range(6):
                item.estimate.record_start(NOW)
        counts = choose_often(targets, entries=2)
        assert counts["t0"] > 290, counts

    def test_idle_target_that_has_just_failed_does_not_draw_requests_from_busy_ones(self):
        """Guards against a target that answers nothing and gets more requests the less it does."""
        targets = [state("failed"), state("busy1"), state("busy2")]
        targets[0].estimate.record_failure(NOW)
        for item in targets[1:]:
            for _ in range(item.estimate.slots // 2):
                item.estimate.record_start(NOW)
        counts = choose_often(targets, entries=2)
        assert counts["failed"] < 0.05 * counts.total(), counts

    def test_many_entries_spread_requests_over_like_targets(self):
        """Guards against many entries with like estimates that choose the same target."""
        targets = [state(f"t{number}") for number in range(20)]
        targets[0].estimate.speed = 1.3
        counts = choose_often(targets, MANY_ENTRIES)
        assert len(counts) == 20, counts
        assert counts["t0"] < 300 / 4, counts

    def test_candidates_are_drawn_by_capacity(self):
        """Guards against slow targets that are sent as much as fast ones."""
        targets = [state("slow", speed=0.5), state("fast", speed=2.0), state("even")]
        counts = choose_often(targets, MANY_ENTRIES)
        assert counts["slow"] < counts["even"] < counts["fast"], counts

    def test_warm_target_is_chosen_while_others_wait_for_permits(self):
        """Guards against a request that waits for a cold target although a warm one is idle."""
        targets = [state(f"cold{number}", cold_until=NOW + 3.0) for number in range(18)]
        targets += [state("warm1"), state("warm2")]
        counts = choose_often(targets, MANY_ENTRIES, cold_delay=1.0)
        assert set(counts) == {"warm1", "warm2"}, counts

    def test_cold_target_with_a_permit_is_chosen_while_warm_ones_are_full(self):
        """Guards against a queue at warm targets while cold ones could take requests."""
        targets = [state(f"cold{number}", cold_until=NOW + 3.0) for number in range(4)]
        targets += [state("warm1"), state("warm2")]
        for item in targets[-2:]:
            for _ in range(30):
                item.estimate.record_start(NOW)
        counts = choose_often(targets, MANY_ENTRIES)
        assert not {"warm1", "warm2"} & set(counts), counts

    def test_idle_cold_target_does_not_draw_requests_from_idle_warm_ones(self):
        """Guards against permits that are spent on a slow cold target although warm ones have free slots."""
        targets = [state("cold", cold_until=NOW + 3.0), state("warm1"), state("warm2")]
        counts = choose_often(targets, entries=2)
        assert counts["cold"] < 0.05 * counts.total(), counts

    def test_free_slot_is_used_before_a_wait_for_a_permit(self):
        """Guards against a request that waits for a cold target while a warm one has a free slot."""
        targets = [state("cold", cold_until=NOW + 3.0), state("warm")]
        for _ in range(targets[1].estimate.slots - 1):
            targets[1].estimate.record_start(NOW)
        counts = choose_often(targets, entries=2, cold_delay=PERMIT_ANSWER_TIME_S)
        assert set(counts) == {"warm"}, counts

    def test_there_are_always_two_candidates(self):
        """Guards against a choice without any comparison in very large clusters."""
        assert candidate_count(10_000) == MIN_CANDIDATES
        assert candidate_count(8) == 8

    def test_target_with_a_rate_limit_is_explored(self):
        """Guards against a limited target that gets nothing while others are free.

        Without a request its limit would never be known to have ended.
        """
        for seed in range(20):
            targets = [state("limited"), state("free")]
            choice = PooledChooser("a", FakeLimitPermits(PERMIT_ANSWER_TIME_S), random.Random(seed))
            chosen = [choice.choose(targets, 4, SERVICE_TIME_S, NOW) for _ in range(400)]
            count = sum(item is targets[0] for item in chosen)
            assert 0 < count < 40, (seed, count)
