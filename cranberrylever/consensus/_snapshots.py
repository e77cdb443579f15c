"""Snapshots of the state machine: when to take one and which entries to keep."""

from cranberrylever.consensus._machine import StateMachine
from cranberrylever.consensus._messages import Snapshot
from cranberrylever.consensus._node import RaftNode
from cranberrylever.consensus._storage import Storage

KEPT_ENTRIES_DIVISOR = 4
"""Part of the entries between two snapshots that is kept for members that are a little behind."""


class SnapshotWriter:
    """Takes one snapshot at a time.

    Args:
        storage: Durable state of the member.
        machine: State machine.
        entries: Entries applied between two snapshots.
    """

    def __init__(self, storage: Storage, machine: StateMachine, entries: int) -> None:
        self.storage = storage
        self.machine = machine
        self.entries = entries
        self.is_running = False

    def next(self, node: RaftNode, applied_index: int) -> Snapshot | None:
        """Return the snapshot to save now, ``None`` while none is due; ``save`` must follow."""
        last = node.snapshot.index if node.snapshot else 0
        if self.is_running or applied_index - last < self.entries:
            return None
        self.is_running = True
        _, membership = node.memberships.at(applied_index)
        term = node.log.term_at(applied_index)
        return Snapshot(applied_index, term, membership, self.machine.snapshot())

    async def save(self, node: RaftNode, snapshot: Snapshot) -> None:
        """Save a snapshot and drop the entries before it."""
        await self.storage.save_snapshot(snapshot)
        node.snapshot_saved(snapshot, self.entries // KEPT_ENTRIES_DIVISOR)
        await self.storage.compact(node.log.base_index)
        self.is_running = False
