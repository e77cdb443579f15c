"""Permits for requests to targets that accept only a few, granted by the leader to the entries that ask."""

import collections
from collections.abc import Iterable

import attrs

from cranberrylever.wire import COLD_PERMIT_WINDOW_S, GrantedPermits, PermitRequest

MAX_WINDOW_S = 10.0
"""Longest window of a bound in seconds; older permits are forgotten."""

Incarnation = tuple[str, int]


@attrs.define
class _PermitTimes:
    """Loop times at which permits for one incarnation were granted, oldest first."""

    times: collections.deque[float] = attrs.field(factory=collections.deque)

    def drop_until(self, time: float) -> None:
        while self.times and self.times[0] <= time:
            self.times.popleft()

    def since(self, time: float) -> list[float]:
        return [granted_at for granted_at in self.times if granted_at > time]


class PermitLedger:
    """Permits granted recently for targets in cold start or with a rate limit; times are loop seconds.

    When a failure domain returns cold under load, many entries each have an occasional request for the same
    target. Equal shares of its bound would stay mostly unused at entries without work, and would round to
    nothing when there are more entries than the bound allows. So permits are granted on request.

    A new leader does not know what its predecessor has granted, so it grants nothing for one window of a
    target in cold start.

    Args:
        now: Time at which this member began to lead.
    """

    def __init__(self, now: float) -> None:
        self.grants_from = now + COLD_PERMIT_WINDOW_S
        self.granted: dict[Incarnation, _PermitTimes] = {}

    def grant(self, requests: Iterable[PermitRequest], now: float) -> tuple[GrantedPermits, ...]:
        """Grant an entry the permits that it requests, as far as the bounds allow."""
        return tuple(self._grant(request, now) for request in requests)

    def keep_only(self, incarnations: set[Incarnation]) -> None:
        """Drop all other incarnations."""
        self.granted = {
            incarnation: granted
            for incarnation, granted in self.granted.items()
            if incarnation in incarnations
        }

    def _grant(self, request: PermitRequest, now: float) -> GrantedPermits:
        if now < self.grants_from:
            return GrantedPermits(request.target_id, request.started_ms, 0, self.grants_from - now)
        granted = self.granted.setdefault((request.target_id, request.started_ms), _PermitTimes())
        granted.drop_until(now - MAX_WINDOW_S)
        window = min(request.window, MAX_WINDOW_S)
        recent = granted.since(now - window)
        count = max(0, min(request.count, int(request.bound) - len(recent)))
        granted.times.extend([now] * count)
        next_in = 0.0
        if count < request.count:
            recent.extend([now] * count)
            next_in = recent[0] + window - now if recent else window
        return GrantedPermits(request.target_id, request.started_ms, count, next_in)
