"""Grants to targets: renewals, acknowledgements and the latest possible expiry."""

import math
from collections.abc import Callable

import attrs

from cranberrylever.invariants import check
from cranberrylever.ownership._timings import Timings
from cranberrylever.state._commands import ShardRef


@attrs.frozen
class GrantRenewal:
    """A renewal of a target's grant.

    ``expires_at_ms`` is the expiry on the target's clock; with ``None`` the renewal grants nothing and only
    reads that clock. ``shards`` is ``None`` when the target has acknowledged ``version``. ``sent_at`` and
    ``expires_by`` (the latest possible expiry on control's clock) are in loop seconds and are not sent.
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
class GrantRecord:
    """The leader's record of the grant of one target incarnation; times are loop seconds.

    ``expires_by`` is the latest possible expiry. ``last_sent_grants`` is false if the last renewal only read
    the target's clock. ``unanswered_until`` is the latest possible expiry of unanswered renewals, which may
    still be delivered.
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
    """In-memory record of the grants of all target incarnations, kept by the leader."""

    def __init__(self, timings: Timings) -> None:
        self.timings = timings
        self.term = 0
        self.sequence = 0
        self.previous_leader_expires_by = math.inf
        self.holders: dict[tuple[str, str], GrantRecord] = {}

    def start_term(self, term: int, now: float) -> None:
        """Discard all records; grants of the previous leader count as valid for one grant bound."""
        self.term = term
        self.sequence = 0
        self.previous_leader_expires_by = now + self.timings.grant_bound
        self.holders.clear()

    def holder(self, target_id: str, incarnation: str, now: float) -> GrantRecord:
        """Return the record of a target incarnation, creating it on first use."""
        key = (target_id, incarnation)
        if key not in self.holders:
            self.holders[key] = GrantRecord(
                now, self.previous_leader_expires_by, self.previous_leader_expires_by
            )
        return self.holders[key]

    def is_expired(self, target_id: str, incarnation: str, now: float) -> bool:
        """Return whether every grant of this incarnation has certainly expired."""
        holder = self.holders.get((target_id, incarnation))
        return now >= (holder.expires_by if holder else self.previous_leader_expires_by)

    def remaining(self, target_id: str, incarnation: str, now: float) -> float:
        """Return the seconds until the latest possible expiry, 0 if it has passed or nothing was granted."""
        holder = self.holders.get((target_id, incarnation))
        return max(0.0, holder.expires_by - now) if holder is not None else 0.0

    def is_due(self, holder: GrantRecord, version: int, interval: float, now: float) -> bool:
        """Return whether to send a renewal now; at most one per target is outstanding."""
        if holder.outstanding is not None:
            return now - holder.last_sent_at >= self.timings.abandon_renewal_after
        if holder.ack is None or holder.failures > 0:
            return now - holder.last_sent_at >= interval
        # The previous leader's grant expires soon. A renewal that only reads the clock is therefore followed
        # immediately by one that grants.
        needs_renewal = not holder.last_sent_grants or holder.ack.version != version
        return needs_renewal or now - holder.last_sent_at >= interval

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
        """Return the next renewal for a target and record its expiry as if it were delivered.

        The expiry is based on the last acknowledgement. Without a recent one the renewal only reads the
        target's clock.

        Args:
            target_id: The target.
            incarnation: Its current incarnation.
            address: Its listen address.
            version: Version of its set of owned shards.
            owned_shards: Returns that set; called only if the target has not acknowledged ``version``.
            tickets_version: Number of the last accepted ticket.
            now: Loop time in seconds.
        """
        holder = self.holder(target_id, incarnation, now)
        if holder.outstanding is not None:
            age = now - holder.last_sent_at
            check(
                age >= self.timings.abandon_renewal_after,
                f"renewal for {target_id} sent {age:.3f} s ago is still outstanding",
            )
            self._extend_unanswered(holder, holder.outstanding)
        self.sequence += 1
        expires_at_ms, expires_by = self._next_expiry(holder, now)
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
            False if the acknowledgement is ignored: it answers a renewal of another term or incarnation, or
            one that is older than the last acknowledged renewal.
        """
        holder = self.holders.get((renewal.target_id, renewal.incarnation))
        if holder is None or renewal.term != self.term or ack.sequence != renewal.sequence:
            return False
        if renewal.sent_at < holder.created_at:
            # The holder was dropped after this renewal, and the target has announced itself again.
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
        check(
            holder.expires_by >= renewal.expires_by,
            f"grant of {renewal.target_id} expires after its recorded bound",
        )
        return True

    def record_failure(self, renewal: GrantRenewal) -> None:
        """Record that a renewal got no valid answer; the target may have accepted it nevertheless."""
        holder = self.holders.get((renewal.target_id, renewal.incarnation))
        if holder is None or renewal.term != self.term:
            return
        holder.failures += 1
        self._extend_unanswered(holder, renewal)
        if holder.outstanding is not None and holder.outstanding.sequence == renewal.sequence:
            holder.outstanding = None

    def ack_age(self, target_id: str, incarnation: str, now: float) -> float:
        """Return the seconds since the last acknowledgement or, without one, since the holder was created."""
        holder = self.holder(target_id, incarnation, now)
        return now - max(holder.ack_received_at, holder.created_at)

    def drop_expired(self, known_targets: set[tuple[str, str]], now: float) -> None:
        """Drop expired holders that are not in ``known_targets`` (ids and incarnations)."""
        # Without a holder the previous leader's bound applies, so it must have passed as well.
        if now < self.previous_leader_expires_by:
            return
        for key, holder in list(self.holders.items()):
            if key not in known_targets and now >= holder.expires_by:
                del self.holders[key]

    def _next_expiry(self, holder: GrantRecord, now: float) -> tuple[int | None, float]:
        """Return the next expiry in ms of the target's clock, and its upper bound in loop seconds."""
        if holder.ack is None or now - holder.ack_received_at >= self.timings.grant_lifetime:
            return None, -math.inf
        lifetime_ms = int(self.timings.grant_lifetime * 1000)
        return int(holder.ack.clock_ms) + lifetime_ms, holder.ack_received_at + self.timings.grant_bound

    @staticmethod
    def _extend_unanswered(holder: GrantRecord, renewal: GrantRenewal) -> None:
        holder.unanswered_until = max(holder.unanswered_until, renewal.expires_by)
