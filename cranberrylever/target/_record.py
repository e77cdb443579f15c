"""Record of the requests that a target executed."""

import os
from collections import deque

import attrs
import msgspec

RUN_LIMIT = 200_000


@attrs.define
class Run:
    """One execution; times are milliseconds of the loop's clock, which all processes of a machine share.

    ``outcome`` is ``running``, ``done``, ``cancelled``, ``deadline`` or ``fenced`` (the grant ended
    before the work did). ``held_until_ms`` is the end of the grant for a fenced run.
    """

    target_id: str
    incarnation: str
    request_id: str
    idempotency_key: str
    method: str
    path: str
    key: str
    shard: int | None
    fence: int | None
    start_ms: float
    end_ms: float | None = None
    outcome: str = "running"
    held_until_ms: float | None = None


class RunRecord:
    """Runs in memory, bounded, and optionally in a file.

    Each run is appended to the file as it starts and again as it ends, without buffering, so that the file
    tells after a kill what had run.

    Args:
        path: File to append to; empty for none.
    """

    def __init__(self, path: str) -> None:
        self.runs: deque[Run] = deque(maxlen=RUN_LIMIT)
        self.descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644) if path else None
        self.closed = False

    def start(self, run: Run) -> None:
        """Record the start of a run."""
        self.runs.append(run)
        self.append(run)

    def end(self, run: Run, outcome: str, now_ms: float) -> None:
        """Record the end of a run, unless the target crashed before it."""
        if self.closed:
            return
        run.end_ms = now_ms
        run.outcome = outcome
        self.append(run)

    def append(self, run: Run) -> None:
        """Append the state of a run to the file."""
        if self.descriptor is not None:
            os.write(self.descriptor, msgspec.json.encode(run) + b"\n")

    def close(self) -> None:
        """Close the file; runs that have not ended stay without an end."""
        self.closed = True
        if self.descriptor is not None:
            os.close(self.descriptor)
            self.descriptor = None
