"""Follows one request through the logs of all processes: from its id to what decided its outcome."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import attrs
import msgspec

CONTEXT_BEFORE_S = 4.0
"""Time before a request in which changes may explain its outcome: a lease and its renewals."""

CONTEXT_AFTER_S = 1.0

_REQUEST = "request"
_OF_TARGETS = frozenset(
    {
        "target_recorded",
        "target_leaves",
        "target_forgotten",
        "target_warmth",
        "target_answers_again",
        "grant_failed",
    }
)
_OF_KEYS = frozenset({"range_edit", "keys_granted", "release_failed"})
_OF_ALL = frozenset({"domain_set", "plan_submitted", "leadership_started", "member_restarts"})
_OF_ENTRY = frozenset({"control_lost", "control_attached", "entry_draining", "answer_lost"})


@attrs.frozen
class LogLine:
    """One line of a log; ``at`` is its time of day in Unix seconds."""

    at: float
    node: str
    kind: str
    fields: dict[str, Any]

    def text(self) -> str:
        """Return the line for an operator."""
        hidden = {"timestamp", "message_type", "program", "node", "task_uuid", "task_level"}
        shown = " ".join(f"{name}={value}" for name, value in self.fields.items() if name not in hidden)
        return f"{self.at:.3f} {self.node} {self.kind} {shown}"


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the readable lines of log files; text before the first brace of a line is passed over."""
    for path in paths:
        with path.open(errors="replace") as file:
            for text in file:
                line = _parse(text)
                if line is not None:
                    yield line


def _parse(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:].strip())
        return LogLine(fields["timestamp"], fields["node"], fields["message_type"], fields)
    except (msgspec.DecodeError, KeyError, TypeError):
        return None


def trace(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines about a request and the changes around it that may explain its outcome, in order."""
    known = list(lines)
    own = [line for line in known if line.fields.get("request_id") == request_id]
    request = next((line for line in own if line.kind == _REQUEST), None)
    if request is None:
        return own
    related = [line for line in known if line not in own and _is_related(line, request)]
    return sorted([*own, *related], key=lambda line: line.at)


def _is_related(line: LogLine, request: LogLine) -> bool:
    began = request.at - request.fields.get("ms", 0.0) / 1000
    if not began - CONTEXT_BEFORE_S <= line.at <= request.at + CONTEXT_AFTER_S:
        return False
    if line.kind in _OF_ALL:
        return True
    if line.kind in _OF_ENTRY:
        return line.node == request.node
    if line.kind in _OF_TARGETS:
        return line.fields.get("target") in request.fields.get("tried", [])
    key = request.fields.get("key")
    is_key_line = line.kind in _OF_KEYS and key is not None
    return is_key_line and line.fields.get("first", 0) <= key <= line.fields.get("last", -1)
