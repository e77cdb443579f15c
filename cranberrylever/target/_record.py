"""Record of the requests that a target has executed."""

import os
from collections import deque

import attrs
import msgspec

# Number of runs kept in memory; beyond it the oldest are dropped.
MAX_RUNS = 200_000


@attrs.define
class Run:
    """One run; times are milliseconds of the loop clock, which all processes on an instance share.

    ``outcome`` is ``running``, ``done``, ``cancelled``, ``deadline`` or ``fenced`` (the grant expired
    before the work ended). ``held_until_ms`` is the end of the grant for a fenced run.
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
    """Bounded record of runs in memory and optionally in a file.

    Each run is appended to the file when it starts and again when it ends, without buffering, so that after
    a kill the file shows which requests had run.

    Args:
        path: Path of the file; empty for none.
    """

    def __init__(self, path: str) -> None:
        self.runs: deque[Run] = deque(maxlen=MAX_RUNS)
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
        """Close the file; the end of a run that is still active is not recorded."""
        self.closed = True
        if self.descriptor is not None:
            os.close(self.descriptor)
            self.descriptor = None
