"""Tests of the explanation of lost requests by logs."""

import json
import tempfile
from pathlib import Path

import attrs
import testtools

from bench.routes.lost import LostRequest
from bench.routes.request_logs import explain_lost

LOST = LostRequest("q7", "entry-1", "q7 lost at entry-1")


def explain(*lines: str, lost: LostRequest = LOST) -> list[str]:
    """Return the problems with a log of these lines."""
    with tempfile.TemporaryDirectory() as root:
        (Path(root) / "entry-1.log").write_text("\n".join(lines))
        return explain_lost([lost], Path(root))


class RequestLogsTest(testtools.TestCase):
    def test_lost_request_is_shown_with_its_line(self):
        """Guards against a report that does not say who cancelled a request."""
        line = {"message_type": "request", "request_id": "q7", "outcome": "cut off", "stopping_ms": 3001}
        self.assertEqual(
            ["q7 lost at entry-1; log: outcome 'cut off', stopping_ms 3001"], explain(json.dumps(line))
        )

    def test_lost_request_without_a_line_is_a_problem_of_its_own(self):
        """Guards against requests that vanish from the log as well, and against lines of other kinds."""
        other = json.dumps({"message_type": "answer_lost", "request_id": "q7"})
        problems = explain(other, '{"message_type":"request","request_id":"q7","outc')
        self.assertEqual(["q7 lost at entry-1", "q7 has no request line in the log of entry-1"], problems)

    def test_request_that_its_entry_did_not_read_is_no_problem(self):
        """Guards against a check that blames an entry for a connection that it had not accepted.

        Seed 202 of the soak, on a busy machine: sent 0.41 s after SIGTERM, ended 0.62 s after it, no line.
        """
        line = json.dumps({"message_type": "request", "request_id": "q7", "outcome": "cut off"})
        unread = attrs.evolve(LOST, has_run=False)
        self.assertEqual([], explain("", lost=unread))
        self.assertEqual(["q7 lost at entry-1; log: outcome 'cut off'"], explain(line, lost=unread))
