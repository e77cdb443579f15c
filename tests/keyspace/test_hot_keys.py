"""Replay of hot keys that appear at once: how soon the planner spreads them over enough targets."""

import random

import testtools

from cranberrylever.keyspace import (
    FREE,
    HELD,
    KEYS_PER_PART,
    PART_COUNT,
    PlanOwner,
    RangeEdit,
    RangeTable,
    cumulative_work,
    fair_weight,
    plan_keys,
    work_in_range,
)

STEP_S = 0.25
MOVE_STEPS = 3
"""Planning steps that a move takes, in which the keys are not served."""

SLOTS = 3
SPEEDS = (0.5, 1.0, 1.0, 1.5)
UTILIZATION = 0.46
HOT_SHARE = 0.35
HOT_KEYS = 200
FIRST_HOT_PART = 30_000 // KEYS_PER_PART


class HotKeyReplay:
    """A keyed service at which 200 adjacent keys suddenly get a third of all work."""

    def __init__(self, owner_count):
        self.served = []
        rng = random.Random(1)
        self.speeds = {(f"t{n:04}", 1): rng.choice(SPEEDS) for n in range(owner_count)}
        self.capacities = {incarnation: SLOTS * speed for incarnation, speed in self.speeds.items()}
        total = UTILIZATION * sum(self.capacities.values())
        self.work = [total / PART_COUNT] * PART_COUNT
        self.table = RangeTable()
        self.fence = self.table.apply(0, self.plan(0, False).assignments, 1)
        hot_parts = HOT_KEYS // KEYS_PER_PART
        self.work = [value * (1 - HOT_SHARE) for value in self.work]
        for part in range(FIRST_HOT_PART, FIRST_HOT_PART + hot_parts):
            self.work[part] += total * HOT_SHARE / hot_parts
        self.pending = []

    def plan(self, pending_moves, may_balance):
        utilization = sum(self.work) / sum(self.capacities.values())
        owners = [
            PlanOwner(key, capacity, fair_weight(capacity, self.speeds[key], utilization))
            for key, capacity in self.capacities.items()
        ]
        return plan_keys(self.table.ranges, owners, self.work, pending_moves, may_balance)

    def apply(self, edits):
        self.fence = self.table.apply(self.table.version, tuple(edits), self.fence)

    def run(self, seconds):
        """Return the share of the work that targets can serve, by planning step."""
        for step in range(int(seconds / STEP_S)):
            done = [edit for end, edit in self.pending if end <= step]
            self.pending = [(end, edit) for end, edit in self.pending if end > step]
            for edit in done:
                self.apply([RangeEdit(edit.first, edit.last, FREE)])
            plan = self.plan(len(self.pending), True)
            self.apply(plan.assignments)
            self.apply(plan.releases)
            self.pending += [(step + MOVE_STEPS, edit) for edit in plan.releases]
            self.served.append(self.served_share())
        return self.served

    def served_share(self):
        sums = cumulative_work(self.work)
        unserved = 0.0
        loads = dict.fromkeys(self.capacities, 0.0)
        for item in self.table.ranges:
            work = work_in_range(item.first, item.last, sums)
            if item.phase == HELD:
                loads[item.incarnation] += work
            else:
                unserved += work
        unserved += sum(max(0.0, work - self.capacities[key]) for key, work in loads.items())
        return 1.0 - unserved / sums[-1]


class HotKeysTest(testtools.TestCase):
    def test_hot_keys_are_spread_within_two_seconds_at_any_size(self):
        """Guards against hot keys that leave their target one after the other (canopy-gate-large)."""
        for owner_count in (21, 80, 259):
            served = HotKeyReplay(owner_count).run(5.0)
            after = served[int(2.0 / STEP_S) :]
            assert min(after) >= 0.9, (owner_count, [round(value, 2) for value in served])

    def test_calm_service_moves_nothing(self):
        """Guards against moves that serve nobody."""
        replay = HotKeyReplay(259)
        replay.work = [sum(replay.work) / PART_COUNT] * PART_COUNT
        replay.run(5.0)
        assert replay.pending == []
