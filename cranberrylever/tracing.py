"""Search in the logs of all processes for the lines that explain the outcome of one request."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import attrs
import msgspec

CONTEXT_BEFORE_S = 4.0
"""Time before a request in which a change can affect its outcome: a lease and its renewals."""

CONTEXT_AFTER_S = 1.0
"""Time after the end of a request in which related lines are included."""

_REQUEST_EVENT = "request"
_TARGET_EVENTS = frozenset(
    {
        "target_recorded",
        "target_leaves",
        "target_forgotten",
        "target_warmth",
        "target_rate_limit",
        "target_answers_again",
        "grant_failed",
    }
)
_KEY_EVENTS = frozenset({"range_edit", "range_freed", "keys_granted", "release_failed"})
_CLUSTER_EVENTS = frozenset({"domain_set", "plan_submitted", "leadership_started", "member_restarts"})
_ENTRY_EVENTS = frozenset(
    {
        "control_lost",
        "control_attached",
        "entry_draining",
        "requests_ended",
        "requests_cut_off",
        "entry_stopped",
        "answer_lost",
        "targets_unreachable",
        "targets_reachable",
    }
)


@attrs.frozen
class LogLine:
    """One log line; ``at`` is its timestamp in Unix seconds."""

    at: float
    node: str
    kind: str
    fields: dict[str, Any]

    def text(self) -> str:
        """Return the line in the form that an operator reads."""
        hidden_fields = {"timestamp", "message_type", "program", "node", "task_uuid", "task_level"}
        shown_fields = " ".join(
            f"{name}={value}" for name, value in self.fields.items() if name not in hidden_fields
        )
        return f"{self.at:.3f} {self.node} {self.kind} {shown_fields}"


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the valid lines of log files; text before the first brace of a line is ignored."""
    for path in paths:
        with path.open(errors="replace") as file:
            for text in file:
                line = _parse_line(text)
                if line is not None:
                    yield line


def _parse_line(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:].strip())
        return LogLine(fields["timestamp"], fields["node"], fields["message_type"], fields)
    except (msgspec.DecodeError, KeyError, TypeError):
        return None


def trace(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines about a request and the changes that may explain its outcome, in order of time."""
    all_lines = list(lines)
    request_lines = [line for line in all_lines if line.fields.get("request_id") == request_id]
    request = next((line for line in request_lines if line.kind == _REQUEST_EVENT), None)
    if request is None:
        return request_lines
    related = [line for line in all_lines if line not in request_lines and _is_related(line, request)]
    return sorted([*request_lines, *related], key=lambda line: line.at)


def _is_related(line: LogLine, request: LogLine) -> bool:
    if request.fields["request_id"] in line.fields.get("ids", ()):
        return True
    started_at = request.at - request.fields.get("ms", 0.0) / 1000
    if not started_at - CONTEXT_BEFORE_S <= line.at <= request.at + CONTEXT_AFTER_S:
        return False
    if line.kind in _CLUSTER_EVENTS:
        return True
    if line.kind in _ENTRY_EVENTS:
        return line.node == request.node
    if line.kind in _TARGET_EVENTS:
        return line.fields.get("target") in request.fields.get("tried", [])
    key = request.fields.get("key")
    is_key_event = line.kind in _KEY_EVENTS and key is not None
    return is_key_event and line.fields.get("first", 0) <= key <= line.fields.get("last", -1)
