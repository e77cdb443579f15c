"""Tests of the simulation behind the experiments, and of the gain of the planner's shares."""

import random

import testtools

from bench.experiments import shares
from bench.experiments.model import CANOPY, PBDTC, TargetModel


class ModelTest(testtools.TestCase):
    def test_slow_targets_answer_late_even_when_idle(self):
        """Guards against a simulation that ignores speed, in which all policies give the same credit."""
        slow = TargetModel(CANOPY, 0.5, 60.0, random.Random(1)).credit(2.0)
        fast = TargetModel(CANOPY, 1.5, 60.0, random.Random(1)).credit(2.0)
        assert slow + 0.1 < fast

    def test_overload_lowers_the_credit(self):
        """Guards against a simulation without queueing."""
        idle = TargetModel(CANOPY, 1.0, 60.0, random.Random(1)).credit(2.0)
        full = TargetModel(CANOPY, 1.0, 60.0, random.Random(1)).credit(40.0)
        assert full < 0.8 * idle


class SharesTest(testtools.TestCase):
    def test_planner_beats_equal_utilization_at_half_load(self):
        """Guards against shares that are no better than equal utilization of fast and slow targets."""
        for workload in (CANOPY, PBDTC):
            equal = shares.mean_credit("equal utilization", workload, 0.4, seed=1)
            planned = shares.mean_credit("planner", workload, 0.4, seed=1)
            assert planned > equal + 0.01, (workload.name, planned, equal)
