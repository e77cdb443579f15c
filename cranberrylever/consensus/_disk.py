"""Storage of the Raft state in a data directory on disk."""

import asyncio
import concurrent.futures
import fcntl
import os
import threading
import zlib
from collections.abc import Callable
from pathlib import Path

import attrs

from cranberrylever.consensus._files import FileOperations
from cranberrylever.consensus._messages import HardState, Snapshot
from cranberrylever.consensus._segments import SEGMENT_BYTES, SegmentedLog, log_damaged_error
from cranberrylever.consensus._storage import (
    Storage,
    StorageBatch,
    StoredState,
    check_bootstrap,
    consistent_entries,
    new_folder_id,
)
from cranberrylever.errors import ClusterMismatchError, CodecError, StorageError
from cranberrylever.invariants import check
from cranberrylever.wire import decode, encode

_FOLDER_FILE = "folder"
_HARD_STATE_FILE = "hard-state"
_LOCK_FILE = "lock"
_LOG_FOLDER = "log"
_SNAPSHOT_FOLDER = "snapshots"
_SNAPSHOT_SUFFIX = ".snapshot"
_CRC_BYTES = 4


@attrs.frozen
class _FolderRecord:
    """Stored identity of a data directory.

    Args:
        cluster_id: Cluster of the directory.
        folder_id: Random id of the directory.
        founder: Whether the directory was created with bootstrap.
        is_reset: Whether the other files belong to a replaced identity and are to be removed.
    """

    cluster_id: str
    folder_id: str
    founder: bool
    is_reset: bool = False


def _encode_with_crc(record: object) -> bytes:
    body = encode(record)
    return zlib.crc32(body).to_bytes(_CRC_BYTES, "little") + body


def _read_with_crc(path: Path, record_type: type):
    if not path.exists():
        raise log_damaged_error(path, "the file is missing")
    data = path.read_bytes()
    body = data[_CRC_BYTES:]
    if zlib.crc32(body).to_bytes(_CRC_BYTES, "little") != data[:_CRC_BYTES]:
        raise log_damaged_error(path, "its CRC does not match")
    try:
        return decode(body, record_type)
    except CodecError as error:
        raise log_damaged_error(path, error.message) from error


class DiskStorage(Storage):
    """Storage in a data directory on disk.

    Writes and syncs run in threads, so that they do not block the event loop.

    Args:
        path: Data directory.
        cluster_id: Expected cluster id of the directory.
        bootstrap: Whether an empty directory bootstraps a new group.
        files: File operations.
        segment_bytes: Size in bytes at which a new log segment is started.
    """

    def __init__(
        self,
        path: Path,
        cluster_id: str,
        bootstrap: bool = False,
        files: FileOperations | None = None,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        self.path = path
        self.files = files or FileOperations()
        self.log = SegmentedLog(path / _LOG_FOLDER, self.files, segment_bytes)
        self._failed = False
        self._snapshot_lock = threading.Lock()
        self._lock_descriptor = -1
        self._log_thread = concurrent.futures.ThreadPoolExecutor(1, "consensus-log")
        self._snapshot_thread = concurrent.futures.ThreadPoolExecutor(1, "consensus-snapshot")
        try:
            self._state: StoredState | None = self._open(cluster_id, bootstrap)
        except OSError as error:
            self._release()
            raise self._storage_error(error) from error
        except BaseException:
            self._release()
            raise

    def load(self) -> StoredState:
        """Return the stored state and drop the reference to it, so that compacted entries can be freed."""
        state, self._state = self._state, None
        check(state is not None, "the state of this data directory has already been loaded")
        return state

    async def save(self, batch: StorageBatch) -> None:
        """Write and sync ``batch``."""
        await self._run(self._log_thread, lambda: self._save(batch))

    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Write and sync ``snapshot``, concurrently with writes to the log."""
        await self._run(self._snapshot_thread, lambda: self._save_snapshot(snapshot))

    async def compact(self, index: int) -> None:
        """Remove log segments that end at or before ``index``."""
        await self._run(self._log_thread, lambda: self.log.compact(index))

    async def close(self) -> None:
        """Wait for outstanding writes and release the lock on the data directory."""
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self._release)

    def _release(self) -> None:
        self._log_thread.shutdown()
        self._snapshot_thread.shutdown()
        self.log.close()
        if self._lock_descriptor >= 0:
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1

    async def _run(self, thread: concurrent.futures.Executor, action: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(thread, self._guard, action)

    def _guard(self, action: Callable[[], None]) -> None:
        """Run ``action`` unless an earlier one failed, because it is unknown how much of that was written."""
        if self._failed:
            raise StorageError(f"an earlier write to {self.path} failed", "restart this member")
        try:
            action()
        except OSError as error:
            self._failed = True
            raise self._storage_error(error) from error

    def _storage_error(self, error: OSError) -> StorageError:
        return StorageError(
            f"{self.path} cannot be read or written: {error.strerror or error}",
            "free space or replace the disk, then restart this member",
        )

    # Opening -----------------------------------------------------------------------------------

    def _open(self, cluster_id: str, bootstrap: bool) -> StoredState:
        self.path.mkdir(parents=True, exist_ok=True)
        self._lock_folder()
        folder_file = self.path / _FOLDER_FILE
        check_bootstrap(folder_file.exists(), bootstrap)
        if not folder_file.exists():
            self._create(cluster_id, bootstrap)
        record = _read_with_crc(folder_file, _FolderRecord)
        if record.cluster_id != cluster_id:
            raise ClusterMismatchError(
                f"{self.path} belongs to cluster {record.cluster_id!r}, not {cluster_id!r}",
                "start with the data directory of this cluster",
            )
        if record.is_reset:
            self._create_files()
            self._write_record(attrs.evolve(record, is_reset=False))
        hard_state = _read_with_crc(self.path / _HARD_STATE_FILE, HardState)
        snapshot = self._read_snapshot()
        log_entries = self.log.open()
        if snapshot is None and self.log.base_index > 0:
            raise log_damaged_error(
                self.path / _SNAPSHOT_FOLDER, "the snapshot of the compacted log entries is missing"
            )
        if snapshot is not None and self.log.base_index > snapshot.index:
            raise log_damaged_error(self.path / _SNAPSHOT_FOLDER, "the latest snapshot is missing")
        entries, base_term = consistent_entries(
            snapshot, log_entries, self.log.base_index, self.log.base_term
        )
        if snapshot is not None and not entries and (log_entries or self.log.base_index < snapshot.index):
            self.log.reset(snapshot.index, snapshot.term)
        last = max(self.log.last_index, snapshot.index if snapshot else 0)
        if last < hard_state.commit_index:
            raise log_damaged_error(
                self.log.path, f"it ends before the commit index {hard_state.commit_index}"
            )
        return StoredState(record.folder_id, record.founder, hard_state, snapshot, entries, base_term)

    def _lock_folder(self) -> None:
        self._lock_descriptor = os.open(self.path / _LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise StorageError(
                f"{self.path} is locked by another process", "stop that process or use another data directory"
            ) from error

    def _create(self, cluster_id: str, bootstrap: bool) -> None:
        """Create the files of an empty data directory; the identity is written last.

        A directory with a changed hard state but no identity was in use before and is refused.
        """
        if (self.path / _HARD_STATE_FILE).exists():
            state = _read_with_crc(self.path / _HARD_STATE_FILE, HardState)
            if state != HardState():
                raise log_damaged_error(self.path / _FOLDER_FILE, "the file is missing")
        self._create_files()
        self._write_record(_FolderRecord(cluster_id, new_folder_id(), bootstrap))
        self.files.sync_folder(self.path.parent)

    def _create_files(self) -> None:
        """Create an empty log and hard state in place of any that exist."""
        for folder in (self.path / _LOG_FOLDER, self.path / _SNAPSHOT_FOLDER):
            folder.mkdir(exist_ok=True)
            for path in folder.iterdir():
                self.files.remove(path)
            self.files.sync_folder(folder)
        self.log.create()
        self.log.close()
        self.log.segments.clear()
        self.files.replace_file(self.path / _HARD_STATE_FILE, _encode_with_crc(HardState()))

    def _write_record(self, record: _FolderRecord) -> None:
        self.files.replace_file(self.path / _FOLDER_FILE, _encode_with_crc(record))

    def _read_snapshot(self) -> Snapshot | None:
        folder = self.path / _SNAPSHOT_FOLDER
        for temporary in folder.glob("*.tmp"):
            self.files.remove(temporary)
        paths = sorted(folder.glob("*" + _SNAPSHOT_SUFFIX))
        return _read_with_crc(paths[-1], Snapshot) if paths else None

    # Writing -----------------------------------------------------------------------------------

    def _save(self, batch: StorageBatch) -> None:
        if batch.hard_state is not None:
            self.files.replace_file(self.path / _HARD_STATE_FILE, _encode_with_crc(batch.hard_state))
        if batch.snapshot is not None:
            self._save_snapshot(batch.snapshot)
            self.log.reset(batch.snapshot.index, batch.snapshot.term)
        if batch.truncate_from is not None:
            self.log.truncate(batch.truncate_from)
        if batch.entries:
            self.log.append(batch.entries)
            self.log.sync()

    def _save_snapshot(self, snapshot: Snapshot) -> None:
        with self._snapshot_lock:
            folder = self.path / _SNAPSHOT_FOLDER
            path = folder / f"{snapshot.index:020d}{_SNAPSHOT_SUFFIX}"
            self.files.replace_file(path, _encode_with_crc(snapshot))
            older = sorted(folder.glob("*" + _SNAPSHOT_SUFFIX))[:-1]
            for old in older:
                self.files.remove(old)


def open_disk_storage(path: str | Path, cluster_id: str, bootstrap: bool = False) -> DiskStorage:
    """Open or create the data directory ``path``.

    Args:
        path: Data directory.
        cluster_id: Cluster id.
        bootstrap: Whether an empty directory bootstraps a new group.

    Raises:
        ClusterMismatchError: The directory belongs to another cluster.
        LogDamagedError: Synced data are damaged or missing.
        SettingError: ``bootstrap`` is set for a directory that was used before.
        StorageError: The directory cannot be read or written, or another process uses it.
    """
    return DiskStorage(Path(path), cluster_id, bootstrap)


def reset_disk_folder(path: str | Path, cluster_id: str, files: FileOperations | None = None) -> None:
    """Give a data directory that the group has replaced a new identity, which never founds a group.

    Its other files are removed when the directory is opened next. A crash at any point leaves either the old
    identity, which the group refuses again, or the new one.

    Raises:
        StorageError: The directory cannot be written.
    """
    record = _FolderRecord(cluster_id, new_folder_id(), founder=False, is_reset=True)
    try:
        (files or FileOperations()).replace_file(Path(path) / _FOLDER_FILE, _encode_with_crc(record))
    except OSError as error:
        raise StorageError(
            f"{path} cannot be written: {error.strerror or error}", "free space or replace the disk"
        ) from error
