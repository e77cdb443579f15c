"""Tests of the search for the log lines about one request."""

import json
import tempfile
from pathlib import Path

import testtools

from cranberrylever.tracing import read_lines, trace


def line(at, node, kind, **fields):
    return json.dumps({"timestamp": at, "node": node, "message_type": kind, **fields})


class TraceTest(testtools.TestCase):
    LINES = (
        line(10.0, "c1", "range_edit", first=0, last=99, phase="releasing", before="t1"),
        line(10.1, "c1", "range_edit", first=500, last=599, phase="releasing", before="t1"),
        line(10.2, "c1", "grant_failed", target="t1", answer="lost", first=0, last=99),
        line(10.2, "c1", "grant_failed", target="t9", answer="lost", first=0, last=99),
        "some text " + line(10.9, "e1", "request", request_id="q1", key=42, tried=["t1"], ms=300.0),
        line(10.9, "e1", "request", request_id="q2", key=42, tried=["t1"], ms=300.0),
        line(2.0, "c1", "domain_set", failure_domain="a", withdrawn=True),
        "not a line",
    )

    def test_lines_about_the_key_and_the_target_are_found(self):
        """Guards against a trace without the changes that explain the outcome, or with unrelated lines."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "log"
            path.write_text("\n".join(self.LINES))
            found = trace(read_lines([path]), "q1")
        kinds = [(item.kind, item.fields.get("target", "")) for item in found]
        assert kinds == [("range_edit", ""), ("grant_failed", "t1"), ("request", "")]
        assert "request_id=q1" in found[-1].text()

    def test_answer_that_was_cut_off_long_after_its_request_line_is_found(self):
        """Guards against a request that looks answered, as its line is written before its answer is sent."""
        cut_off = (
            line(15.7, "e1", "answers_cut_off", answers=1, ids=["q1"]),
            line(15.7, "e2", "answers_cut_off", answers=1, ids=["q2"]),
        )
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "log"
            path.write_text("\n".join((*self.LINES, *cut_off)))
            found = trace(read_lines([path]), "q1")
        assert [item.node for item in found if item.kind == "answers_cut_off"] == ["e1"]

    def test_unknown_id_finds_nothing(self):
        """Guards against lines of another request for an unknown id."""
        assert trace([], "q1") == []
