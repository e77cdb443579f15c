"""Checks of the invariants on the runs that stand-in targets recorded and the answers to callers."""

from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

import attrs
import msgspec

from bench.load import DONE, NOT_RUN, Sample
from cranberrylever.target import Run

# Precision to which the order of events in two processes is known.
OVERLAP_TOLERANCE_MS = 1.0


@attrs.frozen
class Attempt:
    """One attempt of a caller and its outcome; ``idempotency_key`` is empty for a request without one."""

    request_id: str
    idempotency_key: str
    outcome: str


def read_runs(paths: Iterable[Path], killed_ms: dict[str, float]) -> list[Run]:
    """Return the runs in record files by start time; a run without an end gets the time of the kill.

    Args:
        paths: Record files.
        killed_ms: Time of the kill in milliseconds of the common clock, by target incarnation.
    """
    runs: dict[tuple[str, str, float], Run] = {}
    for path in paths:
        for line in path.read_bytes().splitlines():
            run = msgspec.json.decode(line, type=Run)
            runs[(run.incarnation, run.request_id, run.start_ms)] = run
    for run in runs.values():
        if run.end_ms is None:
            run.end_ms = killed_ms.get(run.incarnation, float("inf"))
        if run.held_until_ms is not None:
            run.end_ms = min(run.end_ms, run.held_until_ms)
    return sorted(runs.values(), key=lambda run: run.start_ms)


def find_overlaps(runs: list[Run]) -> list[str]:
    """Return runs of one key at overlapping times on different targets."""
    problems = []
    latest: dict[str, Run] = {}
    for run in runs:
        if run.shard is None:
            continue
        previous = latest.get(run.key)
        if (
            previous is not None
            and previous.incarnation != run.incarnation
            and run.start_ms < previous.end_ms - OVERLAP_TOLERANCE_MS
        ):
            problems.append(f"key {run.key} runs on two targets: {describe(previous)}, then {describe(run)}")
        if previous is None or run.end_ms >= previous.end_ms:
            latest[run.key] = run
    return problems


def find_stale_fences(runs: list[Run]) -> list[str]:
    """Return runs that started under a lower fence after a run of the same shard under a higher one."""
    problems = []
    highest: dict[int, Run] = {}
    for run in runs:
        if run.shard is None or run.fence is None:
            continue
        previous = highest.get(run.shard)
        if (
            previous is not None
            and run.fence < previous.fence
            and run.start_ms > previous.start_ms + OVERLAP_TOLERANCE_MS
        ):
            problems.append(
                f"fence of shard {run.shard} decreases: {describe(previous)}, then {describe(run)}"
            )
        if previous is None or run.fence >= previous.fence:
            highest[run.shard] = run
    return problems


def find_double_runs(runs: list[Run]) -> list[str]:
    """Return non-idempotent requests that ran more than once, by idempotency key or request id."""
    by_request: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        if run.method in ("POST", "PATCH"):
            by_request[run.idempotency_key or run.request_id].append(run)
    return [
        f"{identity} ran {len(same)} times: {', '.join(describe(run) for run in same)}"
        for identity, same in by_request.items()
        if len(same) > 1
    ]


def find_false_outcomes(runs: list[Run], attempts: Iterable[Attempt]) -> list[str]:
    """Return attempts that ran but were answered ``not-run``, or were answered ``done`` but did not run.

    An attempt answered ``done`` may have been served from the stored answer of another attempt with the same
    idempotency key.
    """
    problems = []
    by_id: dict[str, Run] = {run.request_id: run for run in runs}
    keys = {run.idempotency_key for run in runs if run.idempotency_key}
    for attempt in attempts:
        run = by_id.get(attempt.request_id)
        if attempt.outcome == NOT_RUN and run is not None:
            problems.append(f"{attempt.request_id} was refused as not run: {describe(run)}")
        if attempt.outcome == DONE and run is None and attempt.idempotency_key not in keys:
            problems.append(f"{attempt.request_id} was answered as done, but no target recorded a run")
    return problems


def describe(run: Run) -> str:
    """Return a run in one line."""
    return (
        f"{run.request_id or run.path} on {run.target_id}/{run.incarnation[:6]} fence {run.fence} "
        f"from {run.start_ms:.1f} to {run.end_ms:.1f} ms ({run.outcome})"
    )


def longest_outage(samples: Iterable[Sample]) -> float:
    """Return the longest time in seconds during which no request was served."""
    longest = 0.0
    outage_since: float | None = None
    for sample in sorted(samples, key=lambda sample: sample.started):
        if sample.outcome == DONE:
            outage_since = None
            continue
        if outage_since is None:
            outage_since = sample.started
        longest = max(longest, sample.ended - outage_since)
    return longest
