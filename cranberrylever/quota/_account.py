"""Account of one customer's quota at the leader."""

import heapq
import itertools
import math

import attrs

from cranberrylever.wire import AHEAD_TOKEN_LIFETIME_S, RECENT_S, TOKEN_LIFETIME_S

AHEAD_SHARE = 0.25
"""Largest share of the burst that entries hold ahead of requests; the rest is held back for bursts."""

MIN_BURST = 1.0
"""Smallest capacity of an account in requests, since no request would ever run with less."""

PLACE_TIMEOUT_S = 0.25
"""Time after which a process that was due to ask again, and has not, loses its place before others."""

PREDECESSOR = -1
"""Number of the process to which all tokens count that an earlier leader may have granted."""


@attrs.define(eq=False)
class _Batch:
    """Tokens granted together, as far as they may still be used until the loop time ``expires_at``."""

    sequence: int
    count: float
    expires_at: float
    is_ahead: bool


@attrs.define
class _Demand:
    """What the last report of a process asked for and did not get, and the tokens that it wants ahead.

    ``due_at`` is when its first token is expected; the tokens before that are for others.
    """

    unmet: int = 0
    ahead: int = 0
    due_at: float = 0.0


class QuotaAccount:
    """Token bucket of one customer whose granted tokens still occupy it until they are used.

    Load: requests of a customer arrive at many entries unevenly, at each only now and
    then. ``pool`` and ``outstanding`` together never exceed the burst, and only ``pool`` is refilled. So the
    requests that run in a window stay within rate x window + burst, whenever the tokens are used. Times are
    loop seconds.

    Args:
        rate: Requests per second.
        burst: Requests beyond that.
        now: Time at which the account begins, with an empty pool.
        term_began_at: Time until which an earlier leader may have granted tokens.
    """

    def __init__(self, rate: float, burst: float, now: float, term_began_at: float) -> None:
        self.rate = rate
        self.burst = max(MIN_BURST, burst)
        self.pool = 0.0
        self.outstanding = 0.0
        self.outstanding_ahead = 0.0
        self.granted = 0.0
        self.refilled_at = now
        self.batches: dict[int, list[_Batch]] = {}
        self.demands: dict[int, _Demand] = {}
        self.unmet = 0
        self.wanted_ahead = 0
        self._expiries: list[tuple[float, int, _Batch]] = []
        self._numbers = itertools.count()
        ahead = AHEAD_SHARE * self.burst
        self._add(PREDECESSOR, _Batch(0, self.burst - ahead, term_began_at + TOKEN_LIFETIME_S, False))
        self._add(PREDECESSOR, _Batch(0, ahead, term_began_at + AHEAD_TOKEN_LIFETIME_S, True))
        self.advance(now)

    def set_quota(self, rate: float, burst: float, now: float) -> None:
        """Apply another quota; a larger burst is filled at the new rate."""
        self.advance(now)
        self.rate = rate
        self.burst = max(MIN_BURST, burst)
        self._refill(now)

    def advance(self, now: float) -> None:
        """Drop the tokens that have expired and refill the pool."""
        while self._expiries and self._expiries[0][0] <= now:
            expires_at, _, batch = heapq.heappop(self._expiries)
            self._refill(expires_at)
            self._reduce(batch, batch.count)
        self._refill(now)

    def take_over(self, recent: int, held: dict[int, int], term_began_at: float) -> None:
        """Replace what an earlier leader may have granted by what all entries state.

        Before the recent requests the account had no less than nothing, and it has been refilled since. All
        tokens of this term count as used, since they may be.

        Args:
            recent: Requests that began in the last ``RECENT_S`` seconds.
            held: Tokens of the predecessor that each process may still use.
            term_began_at: Time until which the predecessor may have granted them.
        """
        level = min(self.burst, self.rate * RECENT_S) - recent
        pool = level - sum(held.values()) - self.granted
        if pool < self.pool:
            return
        for batch in self.batches.pop(PREDECESSOR, ()):
            self._reduce(batch, batch.count)
        for process, count in held.items():
            self._add(process, _Batch(0, count, term_began_at + AHEAD_TOKEN_LIFETIME_S, True))
        self.pool = min(pool, max(0.0, self.burst - self.outstanding))

    def confirm(self, process: int, received: int, held: int, returned: int) -> None:
        """Record what a process holds of the grants up to the one that it received last.

        Tokens that it returned go back to the pool. Those that an earlier leader had granted are not known
        here and do not.
        """
        batches = [batch for batch in self.batches.get(process, ()) if batch.count > 0]
        arrived = [batch for batch in batches if batch.sequence <= received]
        gone = max(0.0, sum(batch.count for batch in arrived) - held)
        before = self.outstanding
        # An entry uses the tokens first that expire first.
        for batch in sorted(arrived, key=lambda batch: batch.expires_at):
            self._reduce(batch, min(batch.count, max(0.0, gone - (before - self.outstanding))))
        self.pool += min(float(returned), before - self.outstanding)
        self._set_batches(process, [batch for batch in batches if batch.count > 0])

    def demand(self, process: int, waiting: int, ahead: int, now: float) -> None:
        """Replace what a process asks for: tokens for waiting requests, and to hold ahead of others."""
        old = self.demands.pop(process, _Demand())
        self.unmet += waiting - old.unmet
        self.wanted_ahead += ahead - old.ahead
        if waiting or ahead:
            keeps_place = old.unmet > 0 and old.due_at > now - PLACE_TIMEOUT_S
            self.demands[process] = _Demand(waiting, ahead, old.due_at if keeps_place else math.inf)
            if not keeps_place:
                self.demands[process].due_at = now + self.next_in(process, now)

    def grant_waiting(self, process: int, sequence: int, now: float) -> int:
        """Grant tokens for waiting requests, as many as the pool has for this process."""
        demand = self.demands.get(process)
        if demand is None:
            return 0
        count = max(0, min(demand.unmet, int(self.pool - self._unmet_before(process, now))))
        demand.unmet -= count
        self.unmet -= count
        self._grant(process, _Batch(sequence, count, now + TOKEN_LIFETIME_S, False))
        return count

    def grant_ahead(self, process: int, sequence: int, now: float) -> int:
        """Grant tokens to hold ahead, in proportion to what all processes lack at present."""
        demand = self.demands.get(process)
        if demand is None or demand.ahead == 0 or self.unmet:
            return 0
        limit = AHEAD_SHARE * self.burst
        share = min(demand.ahead, limit * demand.ahead / self.wanted_ahead)
        room = min(share, limit - self.outstanding_ahead, self.pool)
        count = max(0, int(room))
        self._grant(process, _Batch(sequence, count, now + AHEAD_TOKEN_LIFETIME_S, True))
        return count

    def next_in(self, process: int, now: float) -> float:
        """Return the seconds until the first of the requests that wait at a process gets a token."""
        return self._refill_time(self._unmet_before(process, now) + 1)

    def queue_time(self) -> float:
        """Return the seconds until the requests that wait at present at all processes get their tokens."""
        return self._refill_time(self.unmet)

    def _refill_time(self, tokens: int) -> float:
        """Return the seconds until the pool holds so many tokens, infinite if it is not refilled."""
        missing = tokens - self.pool
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else math.inf

    def is_settled(self) -> bool:
        """Return whether the account is full and nothing of it is in use, as a new one would be later."""
        return self.outstanding == 0 and self.pool >= self.burst

    def _unmet_before(self, process: int, now: float) -> int:
        """Return how many requests wait at others that asked earlier and still ask in time."""
        own = self.demands[process]
        return sum(
            demand.unmet
            for demand in self.demands.values()
            if demand is not own and now - PLACE_TIMEOUT_S < demand.due_at < own.due_at
        )

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = max(now, self.refilled_at)
        self.pool = max(0.0, min(self.pool + self.rate * elapsed, self.burst - self.outstanding))

    def _grant(self, process: int, batch: _Batch) -> None:
        if batch.count:
            self.pool -= batch.count
            self.granted += batch.count
            self._add(process, batch)

    def _add(self, process: int, batch: _Batch) -> None:
        self.outstanding += batch.count
        self.outstanding_ahead += batch.count * batch.is_ahead
        self.batches.setdefault(process, []).append(batch)
        heapq.heappush(self._expiries, (batch.expires_at, next(self._numbers), batch))

    def _reduce(self, batch: _Batch, count: float) -> None:
        batch.count -= count
        self.outstanding -= count
        self.outstanding_ahead -= count * batch.is_ahead

    def _set_batches(self, process: int, batches: list[_Batch]) -> None:
        if batches:
            self.batches[process] = batches
        else:
            self.batches.pop(process, None)
