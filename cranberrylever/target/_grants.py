"""Acceptance of grant calls and check of request fences at a target."""

import attrs


@attrs.frozen
class GrantOrder:
    """Body of ``POST /-/grant``.

    ``expires_at_ms`` is a time of the target's clock; a call without it only reads the clock. ``shards``
    contains (shard, fence) pairs and is absent while the target already holds ``version``.
    """

    cluster_id: str
    target_id: str
    incarnation: str
    term: int
    sequence: int
    version: int
    expires_at_ms: float | None = None
    shards: tuple[tuple[int, int], ...] | None = None
    tickets_version: int = 0


@attrs.frozen
class GrantReply:
    """Response to ``POST /-/grant``; ``busy_shards`` have running work but are not in the current grant."""

    incarnation: str
    clock_ms: float
    sequence: int
    version: int
    busy_shards: tuple[int, ...]
    state: str
    running: int
    queued: int
    slots: int


@attrs.define
class HeldGrant:
    """The grant that a target holds.

    Without ``checks_fence`` the target accepts every grant call and admits every request. ``keyed`` is set
    once the target has held shards.
    """

    target_id: str
    incarnation: str
    checks_fence: bool
    cluster_id: str = ""
    term: int = 0
    sequence: int = 0
    version: int = 0
    expires_at_ms: float = 0.0
    shards: dict[int, int] = attrs.field(factory=dict)
    keyed: bool = False

    def apply(self, order: GrantOrder) -> str | None:
        """Apply a grant call.

        Returns:
            The reason why the call is refused, or ``None`` when it is accepted.
        """
        if self.checks_fence:
            refusal = self.refusal(order)
            if refusal is not None:
                return refusal
        self.cluster_id = order.cluster_id
        self.term = order.term
        self.sequence = order.sequence
        if order.expires_at_ms is None:
            return None
        if order.shards is not None:
            self.shards = dict(order.shards)
            self.version = order.version
            self.keyed = self.keyed or bool(self.shards)
        # A call without shards extends only the version that it names. Extending another version would
        # extend shards that control may have released in the meantime.
        if order.version == self.version:
            self.expires_at_ms = order.expires_at_ms
        return None

    def refusal(self, order: GrantOrder) -> str | None:
        """Return the reason to refuse this call, or ``None``."""
        if order.target_id != self.target_id or order.incarnation != self.incarnation:
            return f"the grant call is for {order.target_id} {order.incarnation}, this is {self.incarnation}"
        if self.cluster_id and order.cluster_id != self.cluster_id:
            return f"the grant call is from cluster {order.cluster_id}, expected {self.cluster_id}"
        if (order.term, order.sequence) <= (self.term, self.sequence):
            return f"grant call {order.term}.{order.sequence} is not newer than {self.term}.{self.sequence}"
        return None

    def valid(self, now_ms: float) -> bool:
        """Return whether the grant is unexpired."""
        return now_ms < self.expires_at_ms

    def admits(self, shard: int | None, fence: int | None, incarnation: str, now_ms: float) -> bool:
        """Return whether a request may run.

        A request without a shard is for a pooled service; a target that has held shards refuses it.
        """
        if not self.checks_fence:
            return True
        if incarnation and incarnation != self.incarnation:
            return False
        if shard is None:
            return not self.keyed
        return self.valid(now_ms) and fence is not None and self.shards.get(shard) == fence
