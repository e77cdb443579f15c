"""Tests of the checks of recorded runs and answers."""

import tempfile
from pathlib import Path

import testtools

from bench.checker import (
    Attempt,
    find_double_runs,
    find_false_outcomes,
    find_overlaps,
    find_stale_fences,
    read_runs,
)
from cranberrylever.target import Run
from cranberrylever.target._record import RunRecord


def run(request_id, start, end, incarnation="i1", fence=1, key="k", idempotency_key=""):
    return Run(
        "t", incarnation, request_id, idempotency_key, "POST", "/s/k", key, 3, fence, start, end, "done"
    )


class CheckerTest(testtools.TestCase):
    """Guards against checks that miss violations, with which every soak test would pass."""

    def test_overlap_of_two_owners_is_found(self):
        """Guards against an overlap (invariant 1) that is missed when a short run is between the two."""
        runs = [run("a", 0, 100), run("b", 10, 20), run("c", 50, 60, incarnation="i2")]
        self.assertEqual(1, len(find_overlaps(runs)))
        self.assertEqual([], find_overlaps([run("a", 0, 50), run("c", 50, 60, incarnation="i2")]))

    def test_start_under_an_older_fence_is_found(self):
        """Guards against missing a previous owner that starts work after the new owner (invariant 1)."""
        runs = [run("a", 0, 1, fence=5), run("b", 10, 11, incarnation="i2", fence=4)]
        self.assertEqual(1, len(find_stale_fences(runs)))
        self.assertEqual([], find_stale_fences(runs[:1] + [run("b", 10, 11, fence=5)]))

    def test_second_run_is_found_by_key_and_by_request(self):
        """Guards against missing a second run of a non-idempotent request (invariant 7)."""
        runs = [
            run("a.0", 0, 1, idempotency_key="a"),
            run("a.1", 5, 6, idempotency_key="a"),
            run("b", 7, 8),
            run("b", 9, 10),
        ]
        self.assertEqual(2, len(find_double_runs(runs)))
        self.assertEqual([], find_double_runs(runs[1:3]))

    def test_false_refusals_and_lost_answers_are_found(self):
        """Guards against missing a run answered as not run (invariant 6) and an answer without a run."""
        runs = [run("a.0", 0, 1, idempotency_key="a")]
        attempts = [Attempt("a.0", "a", "not-run"), Attempt("a.1", "a", "done"), Attempt("b.0", "b", "done")]
        self.assertEqual(2, len(find_false_outcomes(runs, attempts)))

    def test_kill_and_fence_end_a_run(self):
        """Guards against a killed or fenced run without an end, which would overlap all later runs."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "runs"
            record = RunRecord(str(path))
            killed, fenced = run("a", 10, None), run("b", 20, None)
            record.start(killed)
            record.start(fenced)
            fenced.held_until_ms = 30
            record.end(fenced, "fenced", 90)
            record.close()
            self.assertEqual(
                [("a", 50), ("b", 30)], [(r.request_id, r.end_ms) for r in read_runs([path], {"i1": 50})]
            )
