"""Tests of the load balancing rules, against naive versions where there is one."""

import random

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from cranberrylever.routing import LastReport, LeastWait, PowerOfTwoChoices, RoundRobin, TargetView

_POOL = tuple(TargetView(f"t{n}", "desk", f"h:{n}", "d", "i", "warm", 3, 100, 1) for n in range(6))
_WAITS = st.lists(st.integers(0, 5), min_size=6, max_size=6)


def estimate_from(waits: list[int]):
    return lambda target, now: waits[int(target.target_id[1:])]


class ChooserTest(testtools.TestCase):
    def test_least_wait_equals_naive_minimum(self):
        """Guards against a target without the shortest wait, and ties that always go to the same target."""

        @seed(1)
        @settings(max_examples=200, deadline=None, database=None)
        @given(_WAITS, st.integers(1, 6))
        def compare(waits, count):
            chooser = LeastWait(estimate_from(waits), random.Random(1))
            chosen = chooser.choose(_POOL[:count], 0.0)
            self.assertEqual(min(waits[:count]), waits[int(chosen.target_id[1:])])

        compare()
        tied = LeastWait(lambda target, now: 0.0, random.Random(1))
        self.assertEqual(6, len({tied.choose(_POOL, 0.0).target_id for _ in range(200)}))

    def test_two_choices_never_takes_the_unique_worst(self):
        """Guards against an inverted comparison, which selects the target with the longer wait."""
        chooser = PowerOfTwoChoices(estimate_from([0, 0, 9, 0, 0, 0]), random.Random(1))
        chosen = {chooser.choose(_POOL, 0.0).target_id for _ in range(300)}
        self.assertEqual({"t0", "t1", "t3", "t4", "t5"}, chosen)
        self.assertIs(_POOL[2], chooser.choose(_POOL[2:3], 0.0))

    def test_round_robin_visits_each_in_turn(self):
        """Guards against a round robin that favours some targets, which distorts the benchmark baseline."""
        chooser = RoundRobin()
        chosen = [chooser.choose(_POOL, 0.0).target_id for _ in range(12)]
        self.assertEqual(chosen[:6], chosen[6:])
        self.assertEqual(6, len(set(chosen)))

    def test_last_report_counts_requests_since_the_report(self):
        """Guards against all requests going to the target with the lowest load until its next report."""
        reports = {target.target_id: 0.0 for target in _POOL}
        chooser = LastReport(lambda target: reports[target.target_id], 1.0, random.Random(1))
        self.assertEqual(6, len({chooser.choose(_POOL, 0.0).target_id for _ in range(6)}))
        chooser.record_report("t3")
        self.assertEqual("t3", chooser.choose(_POOL, 0.0).target_id)
