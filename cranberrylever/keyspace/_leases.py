"""Ledger of grant calls: how long targets may hold keys, given that a lease starts when a call arrives."""

import attrs

CLOCK_DRIFT_FACTOR = 1.05
"""Factor on a lease for a target whose clock runs slow; a clock may be at most 2% slow."""

DELIVERY_MARGIN_S = 0.3
"""Time after the end of a call within which its bytes may still arrive at the target."""


@attrs.define
class GrantCall:
    """One grant call for the keys ``first`` to ``last``.

    ``may_hold_until`` is the loop time after which the target cannot hold keys because of the call. It is
    infinite while the call is in progress, because the call may arrive at any time until its end.
    """

    first: int
    last: int
    may_hold_until: float = float("inf")
    answered: bool = False


class LeaseLedger:
    """The grant calls of one leader, by incarnation of the target.

    A new leader does not know the calls of its predecessor, so it treats all keys as held for one lease.

    Args:
        lease_s: Lifetime of a grant in seconds.
        now: Loop time in seconds at which this member became the leader.
    """

    def __init__(self, lease_s: float, now: float) -> None:
        self.lease_s = lease_s
        self.predecessor_grants_until = self._latest_end(now)
        self.calls: dict[tuple[str, int], list[GrantCall]] = {}

    def begin(self, incarnation: tuple[str, int], first: int, last: int) -> GrantCall:
        """Record a call that is about to be sent."""
        call = GrantCall(first, last)
        self.calls.setdefault(incarnation, []).append(call)
        return call

    def finish(self, call: GrantCall, now: float, answered: bool) -> None:
        """Record the end of a call: an answer, or the loss of its connection."""
        call.answered = answered
        call.may_hold_until = now + self.lease_s * CLOCK_DRIFT_FACTOR if answered else self._latest_end(now)

    def cancel(self, call: GrantCall) -> None:
        """Record that no byte of a call was sent, so that it grants nothing."""
        call.may_hold_until = float("-inf")

    def refuse(self, call: GrantCall) -> None:
        """Record that the target refused a call, so that it grants nothing."""
        call.may_hold_until = float("-inf")
        call.answered = True

    def is_call_running(self, incarnation: tuple[str, int], first: int, last: int) -> bool:
        """Return whether a call for one of the keys is in progress."""
        return any(
            call.may_hold_until == float("inf") for call in self._overlapping(incarnation, first, last)
        )

    def held_until(self, incarnation: tuple[str, int], first: int, last: int) -> float:
        """Return the loop time until which an incarnation may hold one of the keys."""
        ends = [call.may_hold_until for call in self._overlapping(incarnation, first, last)]
        return max([self.predecessor_grants_until, *ends])

    def uncertain_until(self, incarnation: tuple[str, int], first: int, last: int) -> float:
        """Return the loop time until which an incarnation may hold one of the keys by an unanswered call."""
        calls = self._overlapping(incarnation, first, last)
        return max(
            [self.predecessor_grants_until, *(call.may_hold_until for call in calls if not call.answered)]
        )

    def expire(self, now: float) -> None:
        """Drop the calls that grant nothing any more."""
        for incarnation, calls in list(self.calls.items()):
            active = [call for call in calls if call.may_hold_until > now]
            if active:
                self.calls[incarnation] = active
            else:
                del self.calls[incarnation]

    def _overlapping(self, incarnation: tuple[str, int], first: int, last: int) -> list[GrantCall]:
        return [call for call in self.calls.get(incarnation, []) if call.first <= last and first <= call.last]

    def _latest_end(self, now: float) -> float:
        return now + DELIVERY_MARGIN_S + self.lease_s * CLOCK_DRIFT_FACTOR
