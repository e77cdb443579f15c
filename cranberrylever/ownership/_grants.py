"""Grants to targets: renewals, acknowledgements and the last possible expiry."""

import math
from collections.abc import Callable

import attrs

from cranberrylever.invariants import check
from cranberrylever.ownership._timings import Timings
from cranberrylever.state._commands import ShardRef


@attrs.frozen
class GrantRenewal:
    """One renewal to send to a target.

    ``expires_at_ms`` is on the target's own clock; ``None`` grants nothing and only reads that clock.
    ``shards`` is ``None`` when the target's last acknowledged version is ``version``. ``sent_at`` and
    ``expires_by`` (the last possible expiry on control's clock) are loop seconds and are not sent.
    """

    target_id: str
    incarnation: str
    address: str
    term: int
    sequence: int
    expires_at_ms: int | None
    version: int
    shards: tuple[ShardRef, ...] | None
    tickets_version: int
    sent_at: float
    expires_by: float


@attrs.frozen
class GrantAck:
    """A target's reply; ``clock_ms`` is its own clock, ``state`` is ``cold``, ``warm`` or ``leaving``."""

    incarnation: str
    clock_ms: float
    sequence: int
    version: int
    busy_shards: tuple[int, ...] = ()
    state: str = "warm"
    running: int = 0
    queued: int = 0
    slots: int = 0


@attrs.define
class GrantHolder:
    """What the leader knows about the grant of one incarnation of a target.

    ``expires_by`` is the last possible expiry. ``last_sent_grants`` is false while the last renewal only read
    the target's clock. ``unanswered_until`` is the last possible expiry of renewals
    that got no answer and may still be delivered.
    """

    created_at: float
    expires_by: float
    unanswered_until: float
    ack: GrantAck | None = None
    ack_sent_at: float = -math.inf
    ack_received_at: float = -math.inf
    outstanding: GrantRenewal | None = None
    last_sent_at: float = -math.inf
    last_sent_grants: bool = False
    failures: int = 0


class GrantLedger:
    """Grants by target incarnation, in the leader's memory."""

    def __init__(self, timings: Timings) -> None:
        self.timings = timings
        self.term = 0
        self.sequence = 0
        self.previous_expire_by = math.inf
        self.holders: dict[tuple[str, str], GrantHolder] = {}

    def start_term(self, term: int, now: float) -> None:
        """Forget everything and wait one lifetime for grants of the previous leader."""
        self.term = term
        self.sequence = 0
        self.previous_expire_by = now + self.timings.grant_bound
        self.holders.clear()

    def holder(self, target_id: str, incarnation: str, now: float) -> GrantHolder:
        """Return the holder's record, created on first use."""
        key = (target_id, incarnation)
        if key not in self.holders:
            self.holders[key] = GrantHolder(now, self.previous_expire_by, self.previous_expire_by)
        return self.holders[key]

    def is_expired(self, target_id: str, incarnation: str, now: float) -> bool:
        """Tell whether no grant of this incarnation can be valid any more."""
        holder = self.holders.get((target_id, incarnation))
        return now >= (holder.expires_by if holder else self.previous_expire_by)

    def remaining(self, target_id: str, incarnation: str, now: float) -> float:
        """Return the seconds until the last possible expiry, 0 when it has passed or nothing was granted."""
        holder = self.holders.get((target_id, incarnation))
        return max(0.0, holder.expires_by - now) if holder is not None else 0.0

    def is_due(self, holder: GrantHolder, version: int, interval: float, now: float) -> bool:
        """Tell whether a renewal should be sent now; only one may be outstanding."""
        if holder.outstanding is not None:
            return now - holder.last_sent_at >= self.timings.abandon_renewal_after
        if holder.ack is None or holder.failures > 0:
            return now - holder.last_sent_at >= interval
        # Under a new leader the grant of the previous one runs out, so the first renewal that grants follows
        # the one that reads the clock at once.
        has_news = not holder.last_sent_grants or holder.ack.version != version
        return has_news or now - holder.last_sent_at >= interval

    def renew(
        self,
        target_id: str,
        incarnation: str,
        address: str,
        version: int,
        owned_shards: Callable[[], tuple[ShardRef, ...]],
        tickets_version: int,
        now: float,
    ) -> GrantRenewal:
        """Return the next renewal for a target and record it as possibly granted.

        It is based on the last acknowledgement; without a recent one it only reads the target's clock.

        Args:
            target_id: The target.
            incarnation: Its present incarnation.
            address: Where it listens.
            version: Version of its set of shards.
            owned_shards: Returns that set; called only when the target has not acknowledged ``version``.
            tickets_version: Number of the last accepted ticket.
            now: Loop time in seconds.
        """
        holder = self.holder(target_id, incarnation, now)
        if holder.outstanding is not None:
            age = now - holder.last_sent_at
            check(
                age >= self.timings.abandon_renewal_after,
                f"a second renewal for {target_id} is outstanding after {age:.3f} s",
            )
            self._set_unanswered(holder, holder.outstanding)
        self.sequence += 1
        expires_at_ms, expires_by = self._expiry(holder, now)
        is_acknowledged = holder.ack is not None and holder.ack.version == version
        renewal = GrantRenewal(
            target_id=target_id,
            incarnation=incarnation,
            address=address,
            term=self.term,
            sequence=self.sequence,
            expires_at_ms=expires_at_ms,
            version=version,
            shards=None if is_acknowledged else owned_shards(),
            tickets_version=tickets_version,
            sent_at=now,
            expires_by=expires_by,
        )
        holder.outstanding = renewal
        holder.last_sent_at = now
        holder.last_sent_grants = expires_at_ms is not None
        holder.expires_by = max(holder.expires_by, expires_by)
        return renewal

    def record_ack(self, renewal: GrantRenewal, ack: GrantAck, received_at: float) -> bool:
        """Record an acknowledgement.

        Returns:
            False when it answers an older renewal than one already acknowledged, or a renewal of another term
            or another incarnation; it is then ignored.
        """
        holder = self.holders.get((renewal.target_id, renewal.incarnation))
        if holder is None or renewal.term != self.term or ack.sequence != renewal.sequence:
            return False
        if renewal.sent_at < holder.created_at:
            # The target was forgotten and has announced itself again since.
            return False
        if ack.incarnation != renewal.incarnation:
            self.record_failure(renewal)
            return False
        if holder.ack is not None and ack.sequence <= holder.ack.sequence:
            return False
        holder.ack = ack
        holder.ack_sent_at = renewal.sent_at
        holder.ack_received_at = received_at
        holder.failures = 0
        if holder.outstanding is not None and holder.outstanding.sequence <= renewal.sequence:
            holder.outstanding = None
        check(holder.expires_by >= renewal.expires_by, f"grant of {renewal.target_id} outlives its record")
        return True

    def record_failure(self, renewal: GrantRenewal) -> None:
        """Record that a renewal got no usable answer; it may still have granted."""
        holder = self.holders.get((renewal.target_id, renewal.incarnation))
        if holder is None or renewal.term != self.term:
            return
        holder.failures += 1
        self._set_unanswered(holder, renewal)
        if holder.outstanding is not None and holder.outstanding.sequence == renewal.sequence:
            holder.outstanding = None

    def ack_age(self, target_id: str, incarnation: str, now: float) -> float:
        """Return the seconds since the last acknowledgement or, without one, since the first contact."""
        holder = self.holder(target_id, incarnation, now)
        return now - max(holder.ack_received_at, holder.created_at)

    def forget(self, kept: set[tuple[str, str]], now: float) -> None:
        """Drop expired holders that are not in ``kept``."""
        # A late lookup falls back to the bound of the previous leader, which must have passed as well.
        if now < self.previous_expire_by:
            return
        for key, holder in list(self.holders.items()):
            if key not in kept and now >= holder.expires_by:
                del self.holders[key]

    def _expiry(self, holder: GrantHolder, now: float) -> tuple[int | None, float]:
        if holder.ack is None or now - holder.ack_received_at >= self.timings.grant_lifetime:
            return None, -math.inf
        lifetime_ms = int(self.timings.grant_lifetime * 1000)
        return int(holder.ack.clock_ms) + lifetime_ms, holder.ack_received_at + self.timings.grant_bound

    @staticmethod
    def _set_unanswered(holder: GrantHolder, renewal: GrantRenewal) -> None:
        holder.unanswered_until = max(holder.unanswered_until, renewal.expires_by)
