"""Tests of the planner of key ranges under skewed loads, compared with ranges planned for idle keys."""

import random

import testtools

from cranberrylever.keyspace import (
    FREE,
    PART_COUNT,
    RELEASING,
    PlanOwner,
    RangeEdit,
    RangeTable,
    fair_weight,
    plan_keys,
    plan_merges,
)

TARGET_COUNT = 21


def make_owners(rng):
    owners = []
    for number in range(TARGET_COUNT):
        speed = rng.choice((0.5, 1.0, 1.0, 1.5))
        owners.append(PlanOwner((f"t{number}", 1), 3 * speed, fair_weight(3 * speed, speed, 0.7)))
    return owners


def clustered_work(rng, center, spread, total):
    """Return the work of busy keys that lie close together, normally distributed around one part."""
    work = [0.0] * PART_COUNT
    for _ in range(2_000):
        work[int(center + rng.gauss(0, spread)) % PART_COUNT] += total / 2_000
    return work


def utilizations(table, owners, work):
    work_by_owner = {owner.incarnation: 0.0 for owner in owners}
    for part, value in enumerate(work):
        work_by_owner[table.find(part * 4).incarnation] += value
    return [work_by_owner[owner.incarnation] / owner.capacity for owner in owners]


def apply_plans(table, owners, work, rounds=12):
    fence = max(item.fence for item in table.ranges) + 1
    for _ in range(rounds):
        plan = plan_keys(table.ranges, owners, work, 0, True)
        fence = table.apply(table.version, plan.releases, fence)
        free_edits = tuple(RangeEdit(r.first, r.last, FREE) for r in table.ranges if r.phase == RELEASING)
        fence = table.apply(table.version, free_edits, fence)
        plan = plan_keys(table.ranges, owners, work, 0, False)
        fence = table.apply(table.version, plan.assignments, fence)
        fence = table.apply(table.version, tuple(plan_merges(table.ranges, 4)), fence)
    return table


class PlannerTest(testtools.TestCase):
    def test_busy_keys_side_by_side_are_spread(self):
        """Guards against one target that gets all busy keys; ranges planned for idle keys overload it."""
        for seed in range(3):
            rng = random.Random(seed)
            owners = make_owners(rng)
            work = clustered_work(rng, 5_000, 400, 30.0)
            idle = apply_plans(RangeTable(), owners, [0.0] * PART_COUNT, rounds=1)
            unplanned = max(utilizations(idle, owners, work))
            planned = max(utilizations(apply_plans(idle, owners, work), owners, work))
            assert unplanned > 2.0, unplanned
            assert planned < 1.0, planned

    def test_hot_spot_that_moves_is_followed(self):
        """Guards against ranges that stay as they are when other keys become busy."""
        rng = random.Random(7)
        owners = make_owners(rng)
        table = apply_plans(RangeTable(), owners, clustered_work(rng, 3_000, 300, 30.0))
        later = clustered_work(rng, 12_000, 300, 30.0)
        before = max(utilizations(table, owners, later))
        after = max(utilizations(apply_plans(table, owners, later), owners, later))
        assert after < 1.0 < before

    def test_one_hot_key_gets_a_fast_target_of_its_own(self):
        """Guards against a hot key on a slow target that also owns thousands of other keys."""
        rng = random.Random(5)
        owners = make_owners(rng)
        work = clustered_work(rng, 9_000, 1_500, 14.0)
        table = apply_plans(RangeTable(), owners, work)
        work[2_471] += 11.0
        apply_plans(table, owners, work, rounds=20)
        incarnation = table.find(2_471 * 4).incarnation
        others = [
            part
            for part in range(PART_COUNT)
            if part != 2_471 and table.find(part * 4).incarnation == incarnation
        ]
        capacity = {owner.incarnation: owner.capacity for owner in owners}
        assert capacity[incarnation] == max(capacity.values())
        assert sum(work[part] for part in others) < 0.3

    def test_every_key_is_assigned_and_only_to_owners(self):
        """Guards against keys without an owner, or with one that may not receive keys."""
        rng = random.Random(1)
        owners = make_owners(rng)[:3]
        table = apply_plans(RangeTable(), owners, clustered_work(rng, 100, 50, 5.0))
        assert {item.incarnation for item in table.ranges} <= {owner.incarnation for owner in owners}
        assert all(item.phase == "held" for item in table.ranges)

    def test_idle_keys_do_not_move(self):
        """Guards against moves of idle keys, which delay callers and gain nothing."""
        rng = random.Random(1)
        owners = make_owners(rng)
        table = apply_plans(RangeTable(), owners, [0.0] * PART_COUNT)
        assert plan_keys(table.ranges, owners, [0.0] * PART_COUNT, 0, True).releases == ()

    def test_newcomer_gets_keys(self):
        """Guards against a new target that never receives keys."""
        rng = random.Random(1)
        owners = make_owners(rng)
        work = clustered_work(rng, 5_000, 2_000, 10.0)
        table = apply_plans(RangeTable(), owners, work)
        new_owner = PlanOwner(("new", 1), 3.0, 3.0)
        apply_plans(table, [*owners, new_owner], work, rounds=3)
        assert any(item.incarnation == new_owner.incarnation for item in table.ranges)

    def test_fast_targets_are_preferred_at_low_utilization(self):
        """Guards against slow targets that get work in proportion to capacity at low utilization."""
        low_load = fair_weight(1.5, 0.5, 0.2) / fair_weight(4.5, 1.5, 0.2)
        high_load = fair_weight(1.5, 0.5, 0.9) / fair_weight(4.5, 1.5, 0.9)
        assert low_load < high_load == 1.5 / 4.5
