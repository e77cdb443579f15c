"""Durable state of one member: the abstract storage and its in-memory twin."""

import abc
import asyncio
import random
import secrets

import attrs

from cranberrylever.consensus._messages import HardState, LogEntry, Message, Snapshot
from cranberrylever.errors import ClusterMismatchError, SettingError, StorageError


@attrs.frozen
class StoredState:
    """What a storage holds when it is opened.

    Args:
        folder_id: Random id of the data folder.
        founder: Whether the folder was created with bootstrap.
        hard_state: Term, vote and a commit index.
        snapshot: Latest snapshot, if any.
        entries: Log entries held, possibly starting before the end of the snapshot.
        base_term: Term of the entry before the first one held.
    """

    folder_id: str
    founder: bool
    hard_state: HardState
    snapshot: Snapshot | None
    entries: list[LogEntry]
    base_term: int


@attrs.frozen
class StorageBatch:
    """Changes that are synced together, in the order of the fields, and the messages that wait for them.

    Args:
        hard_state: New hard state, or ``None`` when unchanged.
        truncate_from: First index to remove from the log, or ``None``.
        entries: Entries to append.
        snapshot: Snapshot that replaces the whole log before the entries are appended.
        messages: Receiver and message pairs to send after the sync.
    """

    hard_state: HardState | None
    truncate_from: int | None
    entries: tuple[LogEntry, ...]
    snapshot: Snapshot | None
    messages: tuple[tuple[str, Message], ...]

    @property
    def needs_sync(self) -> bool:
        """Whether anything has to be written."""
        return bool(self.entries or self.hard_state or self.truncate_from or self.snapshot)

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to write and nothing to send."""
        return not self.needs_sync and not self.messages


class Storage(abc.ABC):
    """Durable state of one member.

    ``save`` calls are made one after the other; ``save_snapshot`` may run beside them. After an error
    the storage refuses every further call.
    """

    @abc.abstractmethod
    def load(self) -> StoredState:
        """Return the stored state."""

    @abc.abstractmethod
    async def save(self, batch: StorageBatch) -> None:
        """Write and sync ``batch``.

        Raises:
            StorageError: Nothing of the batch may be acknowledged.
        """

    @abc.abstractmethod
    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Write and sync ``snapshot`` and remove older ones.

        Raises:
            StorageError: The snapshot may not be relied on.
        """

    @abc.abstractmethod
    async def compact(self, index: int) -> None:
        """Allow the log to forget entries up to and including ``index``."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Release the storage."""


def check_bootstrap(exists: bool, bootstrap: bool) -> None:
    """Refuse bootstrap on a folder that was used before.

    Raises:
        SettingError: The folder exists and ``bootstrap`` is given.
    """
    if exists and bootstrap:
        raise SettingError(
            "--bootstrap was already accepted for this data folder", "remove --bootstrap and start again"
        )


def new_folder_id() -> str:
    """Return a random folder id."""
    return secrets.token_hex(8)


@attrs.define
class MemoryDisk:
    """Contents of a simulated disk; it outlives the ``MemoryStorage`` objects opened on it."""

    cluster_id: str = ""
    folder_id: str = ""
    founder: bool = False
    hard_state: HardState = attrs.field(factory=HardState)
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = attrs.field(factory=list)
    base_index: int = 0
    base_term: int = 0

    def steps(self, batch: StorageBatch) -> list:
        """Return the writes of ``batch`` as functions, in the order in which a disk storage makes them."""
        steps = []
        if batch.hard_state is not None:
            steps.append(lambda: setattr(self, "hard_state", batch.hard_state))
        if batch.snapshot is not None:
            steps.append(lambda: self.store_snapshot(batch.snapshot))
            steps.append(lambda: self._reset(batch.snapshot))
        if batch.truncate_from is not None:
            steps.append(lambda: self._truncate(batch.truncate_from))
        steps.extend(lambda entry=entry: self.entries.append(entry) for entry in batch.entries)
        return steps

    def store_snapshot(self, snapshot: Snapshot) -> None:
        """Keep ``snapshot`` when it is newer than the one held."""
        if self.snapshot is None or snapshot.index > self.snapshot.index:
            self.snapshot = snapshot

    def _reset(self, snapshot: Snapshot) -> None:
        self.entries = []
        self.base_index = snapshot.index
        self.base_term = snapshot.term

    def _truncate(self, index: int) -> None:
        del self.entries[index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Drop entries up to and including ``index``."""
        count = index - self.base_index
        if 0 < count <= len(self.entries):
            self.base_term = self.entries[count - 1].term
            self.base_index = index
            del self.entries[:count]


class MemoryStorage(Storage):
    """In-memory twin of ``DiskStorage``, with a chosen sync time and loss of unsynced writes.

    Args:
        disk: Simulated disk.
        cluster_id: Cluster id.
        bootstrap: Whether an empty disk founds a group.
        sync_time: Duration of a sync in seconds.
    """

    def __init__(
        self, disk: MemoryDisk, cluster_id: str, bootstrap: bool = False, sync_time: float = 0.0
    ) -> None:
        check_bootstrap(bool(disk.folder_id), bootstrap)
        if disk.folder_id and disk.cluster_id != cluster_id:
            raise ClusterMismatchError(
                f"the data folder belongs to cluster {disk.cluster_id!r}", "use the folder of this cluster"
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
        entries, base_term = usable_entries(disk.snapshot, disk.entries, disk.base_index, disk.base_term)
        if not entries and disk.snapshot is not None and disk.base_index < disk.snapshot.index:
            disk.entries = []
            disk.base_index = disk.snapshot.index
            disk.base_term = disk.snapshot.term
        return StoredState(
            disk.folder_id, disk.founder, disk.hard_state, disk.snapshot, list(entries), base_term
        )

    async def save(self, batch: StorageBatch) -> None:
        """Write ``batch``; it is durable after the sync time."""
        self.unsynced = self.disk.steps(batch)
        await asyncio.sleep(self.sync_time)
        self._require_usable()
        unsynced, self.unsynced = self.unsynced, []
        for step in unsynced:
            step()

    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Keep ``snapshot`` after the sync time."""
        await asyncio.sleep(self.sync_time)
        self._require_usable()
        self.disk.store_snapshot(snapshot)

    async def compact(self, index: int) -> None:
        """Drop entries up to and including ``index``."""
        self._require_usable()
        self.disk.compact(index)

    async def close(self) -> None:
        """Release the storage."""

    def kill(self, rng: random.Random) -> None:
        """Simulate the kill of the process: only a random prefix of the unsynced writes survives."""
        self.is_killed = True
        for step in self.unsynced[: rng.randint(0, len(self.unsynced))]:
            step()
        self.unsynced = []

    def _require_usable(self) -> None:
        if self.error is not None:
            raise StorageError(f"the data folder cannot be written: {self.error}", "free space and restart")
        if self.is_killed:
            raise StorageError("the storage was killed", "open it again")


def usable_entries(
    snapshot: Snapshot | None, entries: list[LogEntry], base_index: int, base_term: int
) -> tuple[list[LogEntry], int]:
    """Return the entries that continue the snapshot and the term before the first of them.

    A kill between the sync of an installed snapshot and the reset of the log leaves entries that end
    before the snapshot or contradict it.
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
