"""Durable state of one member: the abstract storage and its in-memory implementation."""

import abc
import asyncio
import random
import secrets

import attrs

from cranberrylever.consensus._messages import HardState, LogEntry, Message, Snapshot
from cranberrylever.errors import ClusterMismatchError, SettingError, StorageError


@attrs.frozen
class StoredState:
    """State loaded from a storage.

    Args:
        folder_id: Random id of the data directory.
        founder: Whether the directory was created with bootstrap.
        hard_state: Term, vote and a commit index.
        snapshot: Latest snapshot, if any.
        entries: Log entries; they may start before the index of the snapshot.
        base_term: Term of the entry before the first one in ``entries``.
    """

    folder_id: str
    founder: bool
    hard_state: HardState
    snapshot: Snapshot | None
    entries: list[LogEntry]
    base_term: int


@attrs.frozen
class StorageBatch:
    """Changes to write and sync, and the messages to send after the sync.

    The changes are written in the order hard state, snapshot, truncation, entries.

    Args:
        hard_state: New hard state, or ``None`` if unchanged.
        truncate_from: First index to remove from the log, or ``None``.
        entries: Entries to append.
        snapshot: Snapshot that replaces the complete log before the entries are appended.
        messages: Pairs of receiver and message to send after the sync.
    """

    hard_state: HardState | None
    truncate_from: int | None
    entries: tuple[LogEntry, ...]
    snapshot: Snapshot | None
    messages: tuple[tuple[str, Message], ...]

    @property
    def needs_sync(self) -> bool:
        """Whether the batch contains changes to write."""
        return bool(self.entries or self.hard_state or self.truncate_from or self.snapshot)

    @property
    def is_empty(self) -> bool:
        """Whether the batch contains neither changes nor messages."""
        return not self.needs_sync and not self.messages


class Storage(abc.ABC):
    """Durable state of one member.

    Calls of ``save`` do not overlap; ``save_snapshot`` may run at the same time. After an error all
    further calls fail.
    """

    @abc.abstractmethod
    def load(self) -> StoredState:
        """Return the stored state."""

    @abc.abstractmethod
    async def save(self, batch: StorageBatch) -> None:
        """Write and sync ``batch``.

        Raises:
            StorageError: The write failed; no part of the batch may be acknowledged.
        """

    @abc.abstractmethod
    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Write and sync ``snapshot`` and remove older ones.

        Raises:
            StorageError: The write failed; the snapshot may not be durable.
        """

    @abc.abstractmethod
    async def compact(self, index: int) -> None:
        """Allow the storage to remove log entries up to and including ``index``."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Release the storage."""


def check_bootstrap(exists: bool, bootstrap: bool) -> None:
    """Raise an error if ``bootstrap`` is set for a data directory that was used before.

    Raises:
        SettingError: The directory exists and ``bootstrap`` is set.
    """
    if exists and bootstrap:
        raise SettingError(
            "--bootstrap is set, but this data directory was used before",
            "remove --bootstrap and start again",
        )


def new_folder_id() -> str:
    """Return a random id for a data directory."""
    return secrets.token_hex(8)


@attrs.define
class MemoryDisk:
    """Contents of a simulated disk, kept across restarts of the ``MemoryStorage`` that uses it."""

    cluster_id: str = ""
    folder_id: str = ""
    founder: bool = False
    hard_state: HardState = attrs.field(factory=HardState)
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = attrs.field(factory=list)
    base_index: int = 0
    base_term: int = 0

    def writes(self, batch: StorageBatch) -> list:
        """Return functions that apply the writes of ``batch``, in the order used by ``DiskStorage``."""
        writes = []
        if batch.hard_state is not None:
            writes.append(lambda: setattr(self, "hard_state", batch.hard_state))
        if batch.snapshot is not None:
            writes.append(lambda: self.store_snapshot(batch.snapshot))
            writes.append(lambda: self._reset(batch.snapshot))
        if batch.truncate_from is not None:
            writes.append(lambda: self._truncate(batch.truncate_from))
        writes.extend(lambda entry=entry: self.entries.append(entry) for entry in batch.entries)
        return writes

    def store_snapshot(self, snapshot: Snapshot) -> None:
        """Store ``snapshot`` if it is newer than the stored one."""
        if self.snapshot is None or snapshot.index > self.snapshot.index:
            self.snapshot = snapshot

    def _reset(self, snapshot: Snapshot) -> None:
        self.entries = []
        self.base_index = snapshot.index
        self.base_term = snapshot.term

    def _truncate(self, index: int) -> None:
        del self.entries[index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Remove entries up to and including ``index``."""
        count = index - self.base_index
        if 0 < count <= len(self.entries):
            self.base_term = self.entries[count - 1].term
            self.base_index = index
            del self.entries[:count]


class MemoryStorage(Storage):
    """In-memory storage for tests that simulates the duration of a sync and the loss of unsynced writes.

    Args:
        disk: Simulated disk.
        cluster_id: Expected cluster id of the disk.
        bootstrap: Whether an empty disk bootstraps a new group.
        sync_time: Duration of a sync in seconds.
    """

    def __init__(
        self, disk: MemoryDisk, cluster_id: str, bootstrap: bool = False, sync_time: float = 0.0
    ) -> None:
        check_bootstrap(bool(disk.folder_id), bootstrap)
        if disk.folder_id and disk.cluster_id != cluster_id:
            raise ClusterMismatchError(
                f"the data directory belongs to cluster {disk.cluster_id!r}, not {cluster_id!r}",
                "start with the data directory of this cluster",
            )
        if not disk.folder_id:
            disk.folder_id = new_folder_id()
            disk.cluster_id = cluster_id
            disk.founder = bootstrap
        self.disk = disk
        self.sync_time = sync_time
        self.is_killed = False
        self.error: OSError | None = None
        self.unsynced: list = []

    def load(self) -> StoredState:
        """Return the stored state."""
        disk = self.disk
        entries, base_term = consistent_entries(disk.snapshot, disk.entries, disk.base_index, disk.base_term)
        if not entries and disk.snapshot is not None and disk.base_index < disk.snapshot.index:
            disk.entries = []
            disk.base_index = disk.snapshot.index
            disk.base_term = disk.snapshot.term
        return StoredState(
            disk.folder_id, disk.founder, disk.hard_state, disk.snapshot, list(entries), base_term
        )

    async def save(self, batch: StorageBatch) -> None:
        """Write ``batch``; it becomes durable after ``sync_time``."""
        self.unsynced = self.disk.writes(batch)
        await asyncio.sleep(self.sync_time)
        self._check_usable()
        unsynced, self.unsynced = self.unsynced, []
        for step in unsynced:
            step()

    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Store ``snapshot`` after ``sync_time``."""
        await asyncio.sleep(self.sync_time)
        self._check_usable()
        self.disk.store_snapshot(snapshot)

    async def compact(self, index: int) -> None:
        """Remove entries up to and including ``index``."""
        self._check_usable()
        self.disk.compact(index)

    async def close(self) -> None:
        """Release the storage."""

    def kill(self, rng: random.Random) -> None:
        """Simulate a crash of the process, after which a random prefix of the unsynced writes remains."""
        self.is_killed = True
        for step in self.unsynced[: rng.randint(0, len(self.unsynced))]:
            step()
        self.unsynced = []

    def _check_usable(self) -> None:
        if self.error is not None:
            raise StorageError(
                f"the data directory cannot be written: {self.error}", "free space and restart"
            )
        if self.is_killed:
            raise StorageError("the storage was closed by a simulated crash", "open the storage again")


def consistent_entries(
    snapshot: Snapshot | None, entries: list[LogEntry], base_index: int, base_term: int
) -> tuple[list[LogEntry], int]:
    """Return the log entries that are consistent with the snapshot and the term before the first one.

    A crash after the sync of an installed snapshot and before the reset of the log leaves entries that end
    before the snapshot index or conflict with the snapshot. They are dropped.
    """
    if snapshot is None or not entries:
        return entries, base_term
    position = snapshot.index - base_index
    term = base_term if position == 0 else None
    if 0 < position <= len(entries):
        term = entries[position - 1].term
    if term == snapshot.term:
        return entries, base_term
    return [], snapshot.term
