"""Permits for requests to targets in cold start, granted by the leader to the entries that ask for them."""

import collections
from collections.abc import Iterable

import attrs

from cranberrylever.wire import PERMIT_LIFETIME_S, ColdPermits, PermitRequest

ACCOUNTING_WINDOW_S = 1.0 + PERMIT_LIFETIME_S
"""Length in seconds of the window in which the permits granted for a target stay below its bound.

A permit used within any one second was granted in that second or at most its lifetime earlier, so the bound
holds for each second.
"""

GRANTED_SHARE_OF_BOUND = 0.9
"""Share of the bound that is granted; requests arrive slightly later than they are sent."""

Incarnation = tuple[str, int]


@attrs.define
class _GrantedPermits:
    """Loop times at which permits for one incarnation were granted, oldest first."""

    times: collections.deque[float] = attrs.field(factory=collections.deque)

    def drop_until(self, time: float) -> None:
        while self.times and self.times[0] <= time:
            self.times.popleft()


class PermitLedger:
    """Permits granted recently for all targets in cold start; times are loop seconds.

    When a failure domain returns cold under load, many entries each have an occasional request for the same
    target. Equal shares of its bound would stay mostly unused at entries without work, and would round to
    nothing when there are more entries than the bound allows. So permits are granted on request.

    A new leader does not know what its predecessor has granted, so it grants nothing for one window.

    Args:
        now: Time at which this member began to lead.
    """

    def __init__(self, now: float) -> None:
        self.grants_from = now + ACCOUNTING_WINDOW_S
        self.granted: dict[Incarnation, _GrantedPermits] = {}

    def grant(self, requests: Iterable[PermitRequest], now: float) -> tuple[ColdPermits, ...]:
        """Grant an entry the permits that it requests, as far as the bounds allow."""
        return tuple(self._grant(request, now) for request in requests)

    def keep_only(self, incarnations: set[Incarnation]) -> None:
        """Drop all other incarnations."""
        self.granted = {
            incarnation: granted
            for incarnation, granted in self.granted.items()
            if incarnation in incarnations
        }

    def _grant(self, request: PermitRequest, now: float) -> ColdPermits:
        if now < self.grants_from:
            return ColdPermits(request.target_id, request.started_ms, 0, self.grants_from - now)
        granted = self.granted.setdefault((request.target_id, request.started_ms), _GrantedPermits())
        granted.drop_until(now - ACCOUNTING_WINDOW_S)
        max_permits = int(GRANTED_SHARE_OF_BOUND * request.bound)
        count = max(0, min(request.count, max_permits - len(granted.times)))
        granted.times.extend([now] * count)
        next_in = 0.0
        if count < request.count:
            next_in = granted.times[0] + ACCOUNTING_WINDOW_S - now if granted.times else ACCOUNTING_WINDOW_S
        return ColdPermits(request.target_id, request.started_ms, count, next_in)
