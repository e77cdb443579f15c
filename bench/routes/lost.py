"""Check of requests that entries lose around planned stops, from what callers and targets have seen."""

import math
from collections.abc import Iterable

import attrs

STOP_RULE_GRACE_S = 6.0
"""Grace time for which ``LATE_REQUEST_S`` holds; it scales with the grace time of a run."""

LATE_REQUEST_S = 3.0
"""Requests sent later after SIGTERM have no excuse in work that lasts up to the end of the stop."""

WORK_END_SHARE = 5 / 6
"""Share of the grace time after which work at a target excuses a request that its entry breaks off."""

TIME_LIMIT_SLACK_S = 0.1
"""Time before a deadline or timeout from which it counts as reached; entries answer shortly before."""

UNREAD_SLACK_S = 0.2
"""Time after its last byte by which a request that never reached a target has to be ended."""


@attrs.frozen
class Stop:
    """One stop of an entry, with the loop times of its first SIGTERM and of the end of its process."""

    entry: str
    asked_at: float
    gone_at: float = math.inf


@attrs.define
class SentRequest:
    """One request as its caller saw it; all times are loop times, ``inf`` for what did not happen.

    Attributes:
        request_id: Id of the request.
        entry: Name of the entry.
        opened_at: Time at which its connection was opened.
        time_limit: Time at which the caller's deadline or the route's timeout is over.
        sent_at: Time at which its last byte was sent.
        ended_at: Time at which its answer was complete or its connection ended.
        status: Status of the answer, 0 without one.
        is_complete: Whether the whole answer arrived.
        is_from_target: Whether a target gave the answer.
    """

    request_id: str
    entry: str
    opened_at: float
    time_limit: float
    sent_at: float = math.inf
    ended_at: float = math.inf
    status: int = 0
    is_complete: bool = False
    is_from_target: bool = False


@attrs.define
class Run:
    """One run of a request at a target; work ends when it is done or when its connection ends.

    Attributes:
        request_id: Id of the request.
        target: Name of the target.
        started_at: Loop time of its start.
        work_ended_at: Loop time at which the target had done its work or had stopped it.
        is_cut_off: Whether its connection ended while the target was at work.
        is_broken_off: Whether the target itself broke off.
    """

    request_id: str
    target: str
    started_at: float
    work_ended_at: float = math.inf
    is_cut_off: bool = False
    is_broken_off: bool = False


@attrs.frozen
class LostRequest:
    """A request that an entry lost, with a description; one that has not run counts if it was read."""

    request_id: str
    entry: str
    text: str
    has_run: bool = True


def find_lost(
    stops: Iterable[Stop], requests: Iterable[SentRequest], runs: Iterable[Run], grace: float
) -> list[LostRequest]:
    """Return the requests that entries lost; no process has an unplanned fault in that time.

    Args:
        stops: Stops of entries.
        requests: Requests whose end their callers have seen.
        runs: Runs at targets.
        grace: Seconds between SIGTERM and SIGKILL.
    """
    runs_by_id: dict[str, list[Run]] = {}
    for run in runs:
        runs_by_id.setdefault(run.request_id, []).append(run)
    stops_by_entry: dict[str, list[Stop]] = {}
    for stop in stops:
        stops_by_entry.setdefault(stop.entry, []).append(stop)
    lost = []
    for request in requests:
        stop = _stop_around(request, stops_by_entry.get(request.entry, []))
        own_runs = runs_by_id.get(request.request_id, [])
        loss = _loss(request, own_runs, stop)
        if loss and not _is_excused(request, own_runs, stop, grace):
            text = _describe(loss, request, own_runs, stop)
            lost.append(LostRequest(request.request_id, request.entry, text, bool(own_runs)))
    return lost


def _stop_around(request: SentRequest, stops: list[Stop]) -> Stop | None:
    """Return the stop of the process that has the connection of a request, if it began before the end.

    A caller that reads slowly sees the end of its connection later than that of the process.
    """
    own = [stop for stop in stops if stop.gone_at >= request.opened_at]
    stop = min(own, key=lambda item: item.gone_at, default=None)
    return stop if stop and stop.asked_at <= request.ended_at else None


def _loss(request: SentRequest, runs: list[Run], stop: Stop | None) -> str:
    """Return what the caller lost, empty for nothing."""
    if not request.is_complete:
        if request.status:
            return f"a part of an answer with status {request.status}"
        if runs:
            return "no answer to a request that ran"
        if request.ended_at > request.sent_at + UNREAD_SLACK_S:
            return "no answer to a request that did not run"
        return ""
    if stop and not request.is_from_target and any(run.is_cut_off for run in runs):
        return f"the entry's own status {request.status} while a target was at work"
    return ""


def _is_excused(request: SentRequest, runs: list[Run], stop: Stop | None, grace: float) -> bool:
    if request.ended_at >= request.time_limit - TIME_LIMIT_SLACK_S:
        return True
    if any(run.is_broken_off for run in runs):
        return True
    if stop is None or request.sent_at > stop.asked_at + LATE_REQUEST_S * grace / STOP_RULE_GRACE_S:
        return False
    return any(run.work_ended_at >= stop.asked_at + WORK_END_SHARE * grace for run in runs)


def _describe(loss: str, request: SentRequest, runs: list[Run], stop: Stop | None) -> str:
    origin = stop.asked_at if stop else 0.0
    times = {
        "opened": request.opened_at,
        "sent": request.sent_at,
        "ended": request.ended_at,
        "time limit": request.time_limit,
    }
    if stop:
        times["process gone"] = stop.gone_at
    parts = [f"{name} {time - origin:.2f}" for name, time in times.items()]
    for run in runs:
        cut_off = " (cut off)" if run.is_cut_off else ""
        parts.append(
            f"run on {run.target} {run.started_at - origin:.2f} to {run.work_ended_at - origin:.2f}{cut_off}"
        )
    start = f"times after SIGTERM at {origin:.2f}" if stop else "no SIGTERM before"
    return f"{request.request_id} lost at {request.entry}: {loss}; {start}: {', '.join(parts)}"
