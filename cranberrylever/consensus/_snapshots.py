"""Periodic snapshots of the state machine and compaction of the log."""

from cranberrylever.consensus._applier import EntryApplier
from cranberrylever.consensus._messages import Snapshot
from cranberrylever.consensus._node import RaftNode
from cranberrylever.consensus._state_machine import StateMachine
from cranberrylever.consensus._storage import Storage

KEPT_DIVISOR = 4
"""The log keeps this part of the entries and bytes that cause a snapshot, for slow followers."""


class SnapshotWriter:
    """Takes snapshots of the state machine, one at a time.

    Args:
        storage: Durable state of the member.
        state_machine: State machine.
        snapshot_entries: Number of entries applied between two snapshots.
        snapshot_bytes: Size in bytes of the entries applied between two snapshots at most.
    """

    def __init__(
        self, storage: Storage, state_machine: StateMachine, snapshot_entries: int, snapshot_bytes: int
    ) -> None:
        self.storage = storage
        self.state_machine = state_machine
        self.snapshot_entries = snapshot_entries
        self.snapshot_bytes = snapshot_bytes
        self.is_running = False

    def take_if_due(self, node: RaftNode, applier: EntryApplier) -> Snapshot | None:
        """Return a new snapshot, which must be passed to ``save``, or ``None`` if none is due."""
        index = applier.applied_index
        last = node.snapshot.index if node.snapshot else 0
        is_due = index - last >= self.snapshot_entries or applier.bytes_since_snapshot >= self.snapshot_bytes
        if self.is_running or not is_due:
            return None
        self.is_running = True
        applier.bytes_since_snapshot = 0
        _, membership = node.memberships.at(index)
        return Snapshot(index, node.log.term_at(index), membership, self.state_machine.snapshot())

    async def save(self, node: RaftNode, snapshot: Snapshot) -> None:
        """Save ``snapshot`` and compact the log."""
        await self.storage.save_snapshot(snapshot)
        node.snapshot_saved(
            snapshot, self.snapshot_entries // KEPT_DIVISOR, self.snapshot_bytes // KEPT_DIVISOR
        )
        await self.storage.compact(node.log.base_index)
        self.is_running = False
