"""Application of committed entries to the state machine, some at a time."""

from collections.abc import Callable

from cranberrylever.consensus._messages import EntryKind, LogEntry, Snapshot
from cranberrylever.consensus._node import RaftNode
from cranberrylever.consensus._state_machine import StateMachine

MAX_APPLY_BATCH = 128
MAX_APPLY_BYTES = 256 * 1024
"""Limits of the entries applied in one cycle; a single entry may exceed the limit in bytes.

Heartbeats and other events of the loop run between two cycles.
"""


class EntryApplier:
    """Applies committed entries in log order.

    Args:
        state_machine: State machine.
        on_applied: Called with each applied entry and its result, ``None`` for entries without a command.

    Attributes:
        applied_index: Index of the last entry that was applied or is in the restored snapshot.
        bytes_since_snapshot: Size of the entries applied since the last snapshot was taken or restored.
    """

    def __init__(self, state_machine: StateMachine, on_applied: Callable[[LogEntry, object], None]) -> None:
        self.state_machine = state_machine
        self.on_applied = on_applied
        self.applied_index = 0
        self.bytes_since_snapshot = 0

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot."""
        self.state_machine.restore(snapshot.index, snapshot.data)
        self.applied_index = snapshot.index
        self.bytes_since_snapshot = 0

    def apply_next(self, node: RaftNode) -> bool:
        """Apply the next committed entries within the limits; return whether more are left."""
        committed = min(node.commit_index, node.persisted_index)
        limit = min(committed, self.applied_index + MAX_APPLY_BATCH)
        applied_bytes = 0
        while self.applied_index < limit and applied_bytes < MAX_APPLY_BYTES:
            entry = node.log.get(self.applied_index + 1)
            applied_bytes += len(entry.payload)
            self._apply(entry)
        self.bytes_since_snapshot += applied_bytes
        return self.applied_index < committed

    def _apply(self, entry: LogEntry) -> None:
        result = None
        if entry.kind == EntryKind.COMMAND:
            result = self.state_machine.apply(entry.index, entry.payload)
        self.applied_index = entry.index
        self.on_applied(entry, result)
