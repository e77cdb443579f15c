"""Permits for targets in cold start, handed out by the leader to the entries that have work for them.

It answers a failure domain that returns cold under load: many entries each have a request now and then for
the same target. Equal shares of its bound would leave most of it unused at entries without work, and give
nothing at all when there are more entries than the bound allows.
"""

import collections
from collections.abc import Iterable

import attrs

from cranberrylever.wire import PERMIT_LIFETIME_S, ColdPermits, PermitRequest

WINDOW_S = 1.0 + PERMIT_LIFETIME_S
"""Time in which the permits handed out stay below the bound: any second sees only those of such a span."""

SAFETY = 0.9
"""Share of the bound that is handed out; requests arrive a little later than they are sent."""

Incarnation = tuple[str, int]


@attrs.define
class _Given:
    """Times at which permits for one life were handed out, oldest first."""

    times: collections.deque[float] = attrs.field(factory=collections.deque)

    def forget_before(self, moment: float) -> None:
        while self.times and self.times[0] <= moment:
            self.times.popleft()


class PermitLedger:
    """Permits of all targets in cold start; times are loop seconds.

    A new leader does not know what the one before has handed out, so it begins after one window.

    Args:
        now: Time at which this member began to lead.
    """

    def __init__(self, now: float) -> None:
        self.begins_at = now + WINDOW_S
        self.given: dict[Incarnation, _Given] = {}

    def give(self, wishes: Iterable[PermitRequest], now: float) -> tuple[ColdPermits, ...]:
        """Hand out permits for what an entry wishes, as far as the bounds allow."""
        return tuple(self._give_one(wish, now) for wish in wishes)

    def keep_only(self, incarnations: set[Incarnation]) -> None:
        """Forget all other lives."""
        self.given = {
            incarnation: given for incarnation, given in self.given.items() if incarnation in incarnations
        }

    def _give_one(self, wish: PermitRequest, now: float) -> ColdPermits:
        if now < self.begins_at:
            return ColdPermits(wish.target_id, wish.started_ms, 0, self.begins_at - now)
        given = self.given.setdefault((wish.target_id, wish.started_ms), _Given())
        given.forget_before(now - WINDOW_S)
        limit = int(SAFETY * wish.bound)
        count = max(0, min(wish.count, limit - len(given.times)))
        given.times.extend([now] * count)
        next_in = 0.0
        if count < wish.count:
            next_in = given.times[0] + WINDOW_S - now if given.times else WINDOW_S
        return ColdPermits(wish.target_id, wish.started_ms, count, next_in)
