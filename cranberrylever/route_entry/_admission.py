"""Admission control: decides from load estimates whether a request is sent, waits or is refused.

A request that an overloaded target cannot answer in time would only delay the others. It is refused at
once, with the delay after which capacity is expected to be free. Requests of low priority are refused first,
which leaves capacity for those of high priority.

The objective of a route may be shorter than its requests take at an idle target. To refuse them for their
objective would leave callers without the late answer that they wait for, so their deadline counts instead.
They queue only briefly, so that they do not delay requests that can meet their objective.
"""

import enum

import attrs


class Verdict(enum.Enum):
    """Action to take for a request."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


@attrs.frozen
class AdmissionDecision:
    """A verdict, its reason and the delay in seconds after which capacity is expected to be free."""

    verdict: Verdict
    delay: float = 0.0
    reason: str = ""


MIN_RETRY_AFTER_S = 0.05
"""Shortest delay after which the caller of a refused request may retry."""

OBJECTIVE_FACTORS_BY_PRIORITY = (1.8, 1.1, 1.0)
"""Limit on the expected completion time of a new request, as a multiple of its objective, by priority.

The last factor applies to all lower priorities. A longer queue would make every request late. The lower
factors keep capacity at a nearly full target free for requests of high priority.
"""

MAX_LATE_QUEUE_SHARE = 0.25
"""Limit on the queue of a request that cannot meet its objective at any target, as a share of it."""

NEW_REQUEST_TIME_SHARE = 0.9
"""Limit on the expected completion time of a new request, as a share of its remaining time."""

CALLER_RETRY_TIME_SHARE = 0.85
"""The same limit for a request that was refused before.

Its objective is not applied, so that it is admitted before new requests and is not refused again.
"""


@attrs.frozen
class AdmissionRequest:
    """A request and the estimates for one target; times are in seconds.

    ``priority`` 0 is the highest. ``objective`` is the completion time to aim for and ``remaining`` the
    time until the caller's deadline. ``queue_time`` and ``completion_time`` are the estimates for the target.
    ``permit_delay`` is the time until the target may receive another request, 0 when no permit is needed or
    one is free, and ``permit_reason`` is why it needs one. ``service_time`` is the expected time at an
    average target that is idle.
    ``is_caller_retry`` reports whether the caller was refused before.
    """

    priority: int
    objective: float
    remaining: float
    queue_time: float
    completion_time: float
    permit_delay: float = 0.0
    permit_reason: str = ""
    is_caller_retry: bool = False
    service_time: float = 0.0


def _time_budget(request: AdmissionRequest) -> float:
    """Return the longest admissible completion time in seconds."""
    if request.is_caller_retry:
        return request.remaining * CALLER_RETRY_TIME_SHARE
    factor = OBJECTIVE_FACTORS_BY_PRIORITY[min(request.priority, len(OBJECTIVE_FACTORS_BY_PRIORITY) - 1)]
    time_limit = request.remaining * NEW_REQUEST_TIME_SHARE
    objective_limit = request.objective * factor
    if request.service_time > objective_limit:
        own_time = request.completion_time - request.queue_time
        return min(time_limit, own_time + MAX_LATE_QUEUE_SHARE * objective_limit)
    return min(time_limit, objective_limit)


def admit(request: AdmissionRequest) -> AdmissionDecision:
    """Decide on a request for one target."""
    if request.remaining <= 0:
        return AdmissionDecision(Verdict.REFUSE, MIN_RETRY_AFTER_S, "no time left")
    budget = _time_budget(request)
    if request.permit_delay > 0:
        if request.permit_delay + request.completion_time > budget:
            retry_after = max(MIN_RETRY_AFTER_S, request.permit_delay)
            return AdmissionDecision(Verdict.REFUSE, retry_after, request.permit_reason)
        return AdmissionDecision(Verdict.WAIT, request.permit_delay, request.permit_reason)
    if request.queue_time > 0 and request.completion_time > budget:
        retry_after = max(MIN_RETRY_AFTER_S, min(request.queue_time, request.completion_time - budget))
        return AdmissionDecision(Verdict.REFUSE, retry_after, "target is full")
    return AdmissionDecision(Verdict.SEND)
