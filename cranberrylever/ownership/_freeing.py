"""When the releasing shards of one keyed service may be freed."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from cranberrylever.ownership._grants import GrantLedger
from cranberrylever.ownership._proposals import PendingProposals
from cranberrylever.ownership._shards import ShardRecord, ShardTable
from cranberrylever.state._commands import ShardRef

if TYPE_CHECKING:
    from cranberrylever.state._cluster import ClusterState


class ReleasingShards:
    """Finds releasing shards that no entry uses any more and whose last owner has finished.

    Args:
        service: Name of the keyed service.
        state: The replicated state.
        grants: The leader's grant ledger.
        pending: Proposals that are not applied yet.

    Attributes:
        awaited_targets: Targets with a releasing shard that waits only for their acknowledgement.
    """

    def __init__(
        self, service: str, state: "ClusterState", grants: GrantLedger, pending: PendingProposals
    ) -> None:
        self.service = service
        self.state = state
        self.grants = grants
        self.pending = pending
        self.settled_at: dict[int, float] = {}
        self.awaited_targets: set[str] = set()

    def propose_freed(
        self, table: ShardTable, releasing: Iterable[int], settled_version: float, now: float
    ) -> tuple[ShardRef, ...]:
        """Return the shards to free, which count as proposed from now on.

        Args:
            table: Shard table of the service.
            releasing: Its releasing shards.
            settled_version: Greatest view version that every live entry has settled.
            now: Loop time in seconds.
        """
        refs = []
        self.awaited_targets.clear()
        shards = sorted(releasing)
        for shard in shards:
            record = table.records[shard]
            if record.since_version > settled_version:
                continue
            settled_at = self.settled_at.setdefault(record.since_version, now)
            if not self._has_owner_finished(shard, record, settled_at, now):
                self.awaited_targets.add(record.target_id)
                continue
            if self.pending.add(("free", self.service, shard, record.fence), now):
                refs.append(ShardRef(shard, record.fence))
        if not shards:
            self.settled_at.clear()
        return tuple(refs)

    def _has_owner_finished(self, shard: int, record: ShardRecord, settled_at: float, now: float) -> bool:
        """Return whether the last owner of a releasing shard holds no grant and runs no work for it."""
        if not record.incarnation or self.grants.is_expired(record.target_id, record.incarnation, now):
            return True
        holder = self.grants.holder(record.target_id, record.incarnation, now)
        ack = holder.ack
        if ack is None or ack.version < record.since_version or shard in ack.busy_shards:
            return False
        target = self.state.targets.current(record.target_id, record.incarnation)
        if target is not None and target.announcement.checks_fence:
            return True
        # A target without fence checks accepts delayed renewals and requests as well. Its acknowledgement
        # counts only if it answers a renewal sent after all entries settled, and once the unanswered renewals
        # have expired.
        return now >= holder.unanswered_until and holder.ack_sent_at >= settled_at
