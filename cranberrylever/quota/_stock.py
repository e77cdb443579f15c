"""Tokens of one customer at an entry."""

import math
from collections import deque

import attrs

from cranberrylever.wire import AHEAD_TOKEN_LIFETIME_S, RECENT_S, TOKEN_LIFETIME_S, QuotaGrant, QuotaNeed

GIVE_BACK_S = 0.2
"""Time within which the token of a request can be given back; until then it counts as held."""

DEMAND_TIME_S = 2.0
"""Time constant of the recent demand, so that one request alone asks for nothing ahead."""

AHEAD_S = 0.5
"""Time for which an entry holds tokens ahead by its recent demand: a little over one report interval."""

RENEWAL_S = 1.0
"""Remaining lifetime from which unused tokens are returned, so that they do not expire on the way."""

STATEMENT_S = 0.25
"""Time for which a wait that the leader stated counts; entries refuse most of a long queue meanwhile."""

MAX_ASK_DELAY_S = 1.0
"""Longest time until the leader is asked again, as another one may lead by then."""


@attrs.frozen
class _TakenToken:
    """Token of a request that has begun and may still give it back."""

    expires_at: float
    taken_at: float


@attrs.frozen
class _PendingRequest:
    """Tokens that a report asked for and that have not been answered."""

    count: int
    sent_at: float


@attrs.define
class TokenStock:
    """Tokens of one customer at an entry and what it asks the leader for; times are loop times in seconds.

    ``free`` are the times at which the unused tokens expire, in order, and ``waiting`` is the number of
    requests that wait for one; ``recent`` are the times at which requests took one. No token for
    another request is expected before ``next_grant_at``, as the leader stated at ``stated_at``.
    """

    free: list[float] = attrs.field(factory=list)
    waiting: int = 0
    next_grant_at: float = 0.0
    stated_at: float = -math.inf
    ask_again_at: float = 0.0
    demand: float = 0.0
    demand_at: float = 0.0
    taken: deque[_TakenToken] = attrs.field(factory=deque)
    recent: deque[float] = attrs.field(factory=deque)
    pending: dict[int, _PendingRequest] = attrs.field(factory=dict)

    def record_request(self, now: float) -> None:
        """Count a request in the recent demand."""
        self._fade(now)
        self.demand += 1 / DEMAND_TIME_S

    def try_take(self, now: float) -> bool:
        """Use the token that expires first; return whether there was one."""
        self._drop_expired(now)
        if not self.free:
            return False
        self.recent.append(now)
        self.taken.append(_TakenToken(self.free.pop(0), now))
        return True

    def give_back(self, taken_at: float, now: float) -> bool:
        """Put back the token that a request took at ``taken_at``; return whether it can still be used.

        A token that counts as used already is lost, as the tokens of other requests are not returned for it.
        """
        self._drop_expired(now)
        token = next((token for token in self.taken if token.taken_at == taken_at), None)
        if token is None:
            return False
        self.taken.remove(token)
        self._add_free([token.expires_at])
        return True

    def may_ask(self, now: float) -> bool:
        """Return whether requests wait without a pending report, and the leader may have tokens for them."""
        self._drop_unanswered(now)
        may_have_tokens = now >= self.ask_again_at or not self.is_statement_recent(now)
        return may_have_tokens and self._unasked() > 0

    def is_statement_recent(self, now: float) -> bool:
        """Return whether the leader has stated shortly before when a token is expected."""
        return now - self.stated_at < STATEMENT_S

    def build_need(
        self, customer: str, sequence: int, now: float, is_first: bool = False
    ) -> QuotaNeed | None:
        """Return the entry's need for the report ``sequence``, ``None`` without one.

        The first report on a stream also states the recent requests, for a leader that has just begun.
        """
        self._fade(now)
        self._drop_expired(now)
        self._drop_unanswered(now)
        wanted = int(self.demand * AHEAD_S)
        returned = self._return_unused(wanted, now)
        ahead = max(0, wanted - len(self.free))
        waiting = self._unasked()
        if waiting:
            self.pending[sequence] = _PendingRequest(waiting, now)
        recent = len(self.recent) if is_first else 0
        need = QuotaNeed(customer, len(self.free) + len(self.taken), waiting, ahead, returned, recent)
        return need if need != QuotaNeed(customer) else None

    def record(self, grant: QuotaGrant, sequence: int, sent_at: float, now: float) -> None:
        """Record the answer to the report ``sequence``, which was sent at ``sent_at``."""
        self.pending.pop(sequence, None)
        self._add_free([sent_at + TOKEN_LIFETIME_S] * grant.count)
        self._add_free([sent_at + AHEAD_TOKEN_LIFETIME_S] * grant.ahead)
        self.next_grant_at = now + max(grant.next_in, grant.queue)
        self.ask_again_at = now + min(grant.next_in, MAX_ASK_DELAY_S)
        self.stated_at = now

    def is_idle(self) -> bool:
        """Return whether nothing is known that a new stock would not have."""
        return (
            not (self.free or self.taken or self.recent or self.waiting or self.pending)
            and self.demand * AHEAD_S < 0.1
        )

    def _unasked(self) -> int:
        return max(0, self.waiting - sum(request.count for request in self.pending.values()))

    def _return_unused(self, wanted: int, now: float) -> int:
        """Give up the tokens beyond those wanted ahead, and the ones that expire soon."""
        if self.waiting:
            return 0
        lasting = [expires_at for expires_at in self.free if expires_at > now + RENEWAL_S]
        kept = lasting[max(0, len(lasting) - wanted) :]
        returned = len(self.free) - len(kept)
        self.free = kept
        return returned

    def _add_free(self, expiries: list[float]) -> None:
        self.free = sorted([*self.free, *expiries])

    def _drop_expired(self, now: float) -> None:
        self.free = [expires_at for expires_at in self.free if expires_at > now]
        self.taken = deque(
            token for token in self.taken if token.expires_at > now and token.taken_at > now - GIVE_BACK_S
        )
        while self.recent and self.recent[0] < now - RECENT_S:
            self.recent.popleft()

    def _drop_unanswered(self, now: float) -> None:
        self.pending = {
            sequence: request
            for sequence, request in self.pending.items()
            if now - request.sent_at < TOKEN_LIFETIME_S
        }

    def _fade(self, now: float) -> None:
        self.demand *= math.exp(-max(0.0, now - self.demand_at) / DEMAND_TIME_S)
        self.demand_at = now
