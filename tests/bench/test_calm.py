"""Tests of the check of a calm stretch."""

import testtools

from bench.routes.calm import find_uneven


class FindUnevenTest(testtools.TestCase):
    def test_equal_shares_are_no_problem(self):
        """Guards against a check that fails a calm system."""
        statuses = {f"q{number}": 200 for number in range(8)}
        runs = {request_id: [f"t{number % 2}"] for number, request_id in enumerate(statuses)}
        assert find_uneven(statuses, runs, ["t0", "t1"]) == []

    def test_busy_target_and_refusals_are_found(self):
        """Guards against a check that overlooks a target without requests, and refused requests."""
        statuses = {**{f"q{number}": 200 for number in range(7)}, "q7": 503}
        runs = {f"q{number}": ["t0"] for number in range(7)}
        problems = find_uneven(statuses, runs, ["t0", "t1", "t2"])
        assert len(problems) == 4, problems
        assert problems[0] == "q7 got 503"
        assert problems[1].startswith("t0 got 7 requests"), problems
        assert {problem.partition(",")[0] for problem in problems[2:]} == {
            "t1 got 0 requests",
            "t2 got 0 requests",
        }, problems
