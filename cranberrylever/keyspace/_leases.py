"""What targets may still hold: the leader's record of grant calls whose lifetime runs from their arrival."""

import attrs

CLOCK_MARGIN = 1.05
"""Factor on a lease for a target whose clock runs slow; the slowest allowed is 2% behind."""

DELIVERY_MARGIN = 0.3
"""Seconds after the end of a call within which its bytes may still arrive."""


@attrs.define
class GrantCall:
    """One grant call; ``ends_by`` is the loop time after which the target can't hold keys because of it.

    The bound is infinite while the call is on its way: it may arrive as late as its end.
    """

    first: int
    last: int
    ends_by: float = float("inf")
    answered: bool = False


class LeaseLedger:
    """Grant calls by service and life of the target.

    A new leader does not know the calls of the one before, so it counts all keys as held for one lease.

    Args:
        lease: Lifetime of a grant in seconds.
        now: Loop time at which this member began to lead.
    """

    def __init__(self, lease: float, now: float) -> None:
        self.lease = lease
        self.inherited_until = self._bound(now)
        self.calls: dict[tuple[str, int], list[GrantCall]] = {}

    def begin(self, incarnation: tuple[str, int], first: int, last: int) -> GrantCall:
        """Record a call that is about to be sent."""
        call = GrantCall(first, last)
        self.calls.setdefault(incarnation, []).append(call)
        return call

    def finish(self, call: GrantCall, now: float, answered: bool) -> None:
        """Record the end of a call: its answer, or that its connection was reset."""
        call.answered = answered
        call.ends_by = now + self.lease * CLOCK_MARGIN if answered else self._bound(now)

    def cancel(self, call: GrantCall) -> None:
        """Record that no byte of a call was sent."""
        call.ends_by = float("-inf")

    def refuse(self, call: GrantCall) -> None:
        """Record that the target refused a call, which granted nothing."""
        call.ends_by = float("-inf")
        call.answered = True

    def is_call_running(self, incarnation: tuple[str, int], first: int, last: int) -> bool:
        """Tell whether a call for one of the keys is on its way."""
        return any(call.ends_by == float("inf") for call in self._overlapping(incarnation, first, last))

    def held_until(self, incarnation: tuple[str, int], first: int, last: int) -> float:
        """Return the loop time until which a life may hold one of the keys."""
        bounds = [call.ends_by for call in self._overlapping(incarnation, first, last)]
        return max([self.inherited_until, *bounds])

    def uncertain_until(self, incarnation: tuple[str, int], first: int, last: int) -> float:
        """Return the loop time until which a call without an answer may still give a life the keys."""
        calls = self._overlapping(incarnation, first, last)
        return max([self.inherited_until, *(call.ends_by for call in calls if not call.answered)])

    def expire(self, now: float) -> None:
        """Forget calls that grant nothing any more."""
        for incarnation, calls in list(self.calls.items()):
            kept = [call for call in calls if call.ends_by > now]
            if kept:
                self.calls[incarnation] = kept
            else:
                del self.calls[incarnation]

    def _overlapping(self, incarnation: tuple[str, int], first: int, last: int) -> list[GrantCall]:
        return [call for call in self.calls.get(incarnation, []) if call.first <= last and first <= call.last]

    def _bound(self, now: float) -> float:
        return now + DELIVERY_MARGIN + self.lease * CLOCK_MARGIN
