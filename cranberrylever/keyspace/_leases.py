"""Ledger of grant calls: how long targets may hold keys, given that a lease starts when a call arrives."""

import attrs

CLOCK_DRIFT_FACTOR = 1.05
"""Factor on a lease for a target whose clock runs slow; a clock may be at most 2% slow."""

DELIVERY_MARGIN_S = 0.3
"""Time after the end of a call within which its bytes may still arrive at the target."""


@attrs.define(eq=False)
class GrantCall:
    """One grant call for the keys ``first`` to ``last``.

    ``may_hold_until`` is the loop time after which the target cannot hold keys because of the call. It is
    infinite while the call is in progress, because the call may arrive at any time until its end. ``kept``
    lists the parts of the keys that the target has not confirmed to have released since. ``lease`` is the
    lifetime of the grant in seconds.
    """

    first: int
    last: int
    lease: float
    may_hold_until: float = float("inf")
    answered: bool = False
    kept: list[tuple[int, int]] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.kept = [(self.first, self.last)]

    def may_grant(self, first: int, last: int) -> bool:
        """Return whether the target may hold one of the keys ``first`` to ``last`` because of the call."""
        return any(low <= last and first <= high for low, high in self.kept)

    def drop(self, first: int, last: int) -> None:
        """Record that the target has released the keys ``first`` to ``last`` after the call."""
        kept: list[tuple[int, int]] = []
        for low, high in self.kept:
            if low < first:
                kept.append((low, min(high, first - 1)))
            if last < high:
                kept.append((max(low, last + 1), high))
        self.kept = kept


class LeaseLedger:
    """The grant calls of one leader, by incarnation of the target.

    Whether keys may be freed or assigned is asked here at the time of the decision, never concluded from the
    phase of a range: a call may have been sent between a proposal and its commit. A new leader does not know
    the calls of its predecessors, so it treats all keys as held for one lease, unless there were no calls.

    Args:
        now: Loop time in seconds at which this member became the leader.
        call_s: Longest time of a grant call; the leader before may have begun one until ``now``.
        predecessor_lease: Longest lifetime in seconds of a grant of the leader before, ``None`` if no leader
            has granted anything.
    """

    def __init__(self, now: float, call_s: float, predecessor_lease: float | None) -> None:
        self.predecessor_grants_until = float("-inf")
        if predecessor_lease is not None:
            latest_arrival = now + call_s + DELIVERY_MARGIN_S
            self.predecessor_grants_until = latest_arrival + predecessor_lease * CLOCK_DRIFT_FACTOR
        self.calls: dict[tuple[str, int], list[GrantCall]] = {}

    def begin(self, incarnation: tuple[str, int], first: int, last: int, lease: float) -> GrantCall:
        """Record a call that is about to be sent, for a grant of ``lease`` seconds."""
        call = GrantCall(first, last, lease)
        self.calls.setdefault(incarnation, []).append(call)
        return call

    def finish(self, call: GrantCall, now: float, answered: bool) -> None:
        """Record the end of a call: an answer, or the loss of its connection."""
        call.answered = answered
        latest_arrival = now if answered else now + DELIVERY_MARGIN_S
        call.may_hold_until = latest_arrival + call.lease * CLOCK_DRIFT_FACTOR

    def record_answer_grant(
        self, incarnation: tuple[str, int], first: int, last: int, lease: float, now: float
    ) -> None:
        """Record a grant in the answer to a target's announcement, which was sent before ``now``.

        Its ``lease`` seconds run from the sending of the announcement, however late the answer arrives.
        """
        call = self.begin(incarnation, first, last, lease)
        call.answered = True
        call.may_hold_until = now + lease * CLOCK_DRIFT_FACTOR

    def drop(self, incarnation: tuple[str, int], first: int, last: int) -> None:
        """Record that a target holds none of the keys ``first`` to ``last`` any more by earlier grants."""
        for call in self._overlapping(incarnation, first, last):
            call.drop(first, last)

    def cancel(self, call: GrantCall) -> None:
        """Record that no byte of a call was sent, so that it grants nothing."""
        call.may_hold_until = float("-inf")

    def refuse(self, call: GrantCall) -> None:
        """Record that the target refused a call, so that it grants nothing."""
        call.may_hold_until = float("-inf")
        call.answered = True

    def answered_calls(self, incarnation: tuple[str, int], first: int, last: int) -> list[GrantCall]:
        """Return the answered calls for one of the keys, which a release that is sent now revokes.

        A call without an answer may arrive after the release.
        """
        return [call for call in self._overlapping(incarnation, first, last) if call.answered]

    def is_call_running(self, incarnation: tuple[str, int], first: int, last: int) -> bool:
        """Return whether a call for one of the keys is in progress."""
        return any(
            call.may_hold_until == float("inf") for call in self._overlapping(incarnation, first, last)
        )

    def held_until(self, incarnation: tuple[str, int], first: int, last: int) -> float:
        """Return the loop time until which an incarnation may hold one of the keys.

        Calls whose keys it has released since do not count.
        """
        ends = [call.may_hold_until for call in self._overlapping(incarnation, first, last)]
        return max([self.predecessor_grants_until, *ends])

    def is_held_by_call(self, incarnation: tuple[str, int], first: int, last: int, now: float) -> bool:
        """Return whether an incarnation may hold one of the keys because of a call of this leader."""
        return any(call.may_hold_until > now for call in self._overlapping(incarnation, first, last))

    def expire(self, now: float) -> None:
        """Drop the calls that grant nothing any more."""
        for incarnation, calls in list(self.calls.items()):
            active = [call for call in calls if call.may_hold_until > now and call.kept]
            if active:
                self.calls[incarnation] = active
            else:
                del self.calls[incarnation]

    def _overlapping(self, incarnation: tuple[str, int], first: int, last: int) -> list[GrantCall]:
        return [call for call in self.calls.get(incarnation, []) if call.may_grant(first, last)]
