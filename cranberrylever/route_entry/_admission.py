"""Whether a request is sent now, waits or is turned away: a pure decision on estimates.

It answers an overload of keyed targets, where a request that no target can answer in time would only delay
the others: it is turned away at once with the time at which room is expected. Less urgent requests are turned
away first, so that those of high priority find room.
"""

import enum

import attrs


class Verdict(enum.Enum):
    """What to do with a request."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


@attrs.frozen
class Admission:
    """A verdict with the time in seconds after which room is expected."""

    verdict: Verdict
    delay: float = 0.0
    reason: str = ""


MIN_RETRY_AFTER_S = 0.05

OBJECTIVE_FACTORS = (1.8, 1.1, 1.0)
"""Multiple of its objective that a new request may be expected to take, by priority.

The last one holds for all others too. A queue that is longer makes every request late; less urgent requests
leave room at a target that is nearly full.
"""

NEW_SHARE = 0.9
"""Share of its remaining time that a new request may be expected to take at most."""

RETURNED_SHARE = 0.85
"""The same for a request that was turned away before: it finds room first, or it came back in vain."""


@attrs.frozen
class Offer:
    """One request at one target, in seconds.

    ``remaining`` is the time until its caller gives up, ``cold_delay`` the time until a cold target may get
    another request. ``objective`` is the time within which an answer is worth most, and ``has_returned``
    tells whether the caller was turned away before.
    """

    priority: int
    objective: float
    remaining: float
    wait: float
    completion: float
    cold_delay: float = 0.0
    has_returned: bool = False


def _budget(offer: Offer) -> float:
    """Return the seconds that a request may be expected to take."""
    if offer.has_returned:
        return offer.remaining * RETURNED_SHARE
    factor = OBJECTIVE_FACTORS[min(offer.priority, len(OBJECTIVE_FACTORS) - 1)]
    return min(offer.remaining * NEW_SHARE, offer.objective * factor)


def admit(offer: Offer) -> Admission:
    """Decide on a request for the target that suits it best."""
    if offer.remaining <= 0:
        return Admission(Verdict.REFUSE, MIN_RETRY_AFTER_S, "no time left")
    budget = _budget(offer)
    if offer.cold_delay > 0:
        if offer.cold_delay + offer.completion > budget:
            return Admission(Verdict.REFUSE, max(MIN_RETRY_AFTER_S, offer.cold_delay), "target is cold")
        return Admission(Verdict.WAIT, offer.cold_delay, "target is cold")
    if offer.wait > 0 and offer.completion > budget:
        room_in = max(MIN_RETRY_AFTER_S, min(offer.wait, offer.completion - budget))
        return Admission(Verdict.REFUSE, room_in, "target is full")
    return Admission(Verdict.SEND)
