"""Explanation of lost requests by the logs of the entries that lost them."""

import json
from collections.abc import Iterable
from pathlib import Path

from bench.routes.lost import LostRequest

SHOWN_FIELDS = ("outcome", "status", "reason", "tried", "ms", "stopping_ms")


def explain_lost(lost: Iterable[LostRequest], root: Path) -> list[str]:
    """Return a problem for each lost request, and one more for each that its entry's log does not name.

    A request that has not run and is not in the log was not read: it crossed the end of its connection.
    """
    lines_by_entry: dict[str, dict[str, dict]] = {}
    problems = []
    for item in lost:
        if item.entry not in lines_by_entry:
            lines_by_entry[item.entry] = _request_lines(root / f"{item.entry}.log")
        line = lines_by_entry[item.entry].get(item.request_id)
        if line is None and not item.has_run:
            continue
        if line is None:
            problems += [item.text, f"{item.request_id} has no request line in the log of {item.entry}"]
        else:
            shown = ", ".join(f"{name} {line[name]!r}" for name in SHOWN_FIELDS if name in line)
            problems.append(f"{item.text}; log: {shown}")
    return problems


def _request_lines(path: Path) -> dict[str, dict]:
    """Return the last ``request`` line of each request id; other lines and cut ones are left out."""
    lines = {}
    for text in path.read_text(errors="replace").splitlines():
        if '"request_id"' not in text:
            continue
        try:
            line = json.loads(text)
        except ValueError:
            continue
        if line.get("message_type") == "request":
            lines[line["request_id"]] = line
    return lines
