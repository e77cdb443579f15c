"""Tests of the disk storage: torn writes, damage, kills between two operations, and directory identity."""

import asyncio
import errno
import random
import shutil
import tempfile
from pathlib import Path

import testtools

from cranberrylever.consensus import (
    DiskStorage,
    FileOperations,
    MemoryDisk,
    open_disk_storage,
    reset_disk_folder,
)
from cranberrylever.consensus._messages import HardState, LogEntry, Membership, Snapshot
from cranberrylever.consensus._segments import _encode_record
from cranberrylever.consensus._storage import StorageBatch, consistent_entries
from cranberrylever.errors import ClusterMismatchError, LogDamagedError, SettingError, StorageError
from tests.consensus.simulated_kills import KilledError, KillingFiles

CLUSTER = "test"


def batch(hard_state=None, truncate=None, entries=(), snapshot=None):
    return StorageBatch(hard_state, truncate, tuple(entries), snapshot, ())


def random_batches(rng, count):
    """Return random batches of a member with truncations, new terms and installed snapshots."""
    batches = []
    first, last, term, base = 1, 0, 1, 0
    for _ in range(count):
        hard_state = truncate = snapshot = None
        if rng.random() < 0.3:
            term += 1
            hard_state = HardState(term, "m1", base)
        if rng.random() < 0.1:
            base = last + rng.randint(1, 5)
            snapshot = Snapshot(base, term, Membership({"m1": "f"}), b"state %d" % base)
            first, last = base + 1, base
        elif last >= first and rng.random() < 0.2:
            truncate = rng.randint(first, last)
            last = truncate - 1
            term += 1
            hard_state = HardState(term, "m2", base)
        entries = [
            LogEntry(last + 1 + number, term, 0, rng.randbytes(rng.randint(0, 40)))
            for number in range(rng.randint(1, 6))
        ]
        last += len(entries)
        batches.append(batch(hard_state, truncate, entries, snapshot))
    return batches


def contents(hard_state, snapshot, entries):
    """Return a stored state without the entries that compaction may remove."""
    after = snapshot.index if snapshot else 0
    return hard_state, snapshot, tuple(entry for entry in entries if entry.index > after)


def loaded_contents(state):
    return contents(state.hard_state, state.snapshot, state.entries)


def model_contents(disk):
    entries, _ = consistent_entries(disk.snapshot, disk.entries, disk.base_index, disk.base_term)
    return contents(disk.hard_state, disk.snapshot, entries)


def allowed_contents(model, outstanding):
    """Return the states that are valid after a kill during the write of ``outstanding``.

    Any number of the truncated entries may remain, because they were never committed.
    """
    allowed = [model_contents(model)]
    if outstanding is None:
        return allowed
    removed = ()
    if outstanding.truncate_from is not None:
        removed = tuple(model.entries[outstanding.truncate_from - model.base_index - 1 :])
    for step in model.writes(outstanding):
        step()
        hard_state, snapshot, entries = model_contents(model)
        allowed.append((hard_state, snapshot, entries))
        if removed and model.base_index + len(model.entries) == removed[0].index - 1:
            allowed += [(hard_state, snapshot, entries + removed[:count]) for count in range(len(removed))]
    return allowed


class FolderCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)

    def open(self, **options):
        return DiskStorage(self.folder / "data", CLUSTER, segment_bytes=300, **options)

    def with_storage(self, action, **options):
        async def main():
            storage = self.open(**options)
            try:
                return await action(storage)
            finally:
                await storage.close()

        return asyncio.run(main())

    def write(self, *batches):
        async def action(storage):
            for item in batches:
                await storage.save(item)

        self.with_storage(action)

    def load(self):
        async def action(storage):
            return storage.load()

        return self.with_storage(action)

    def segments(self):
        return sorted((self.folder / "data" / "log").glob("*.log"))


class KillTest(FolderCase):
    def test_kill_between_steps(self):
        """Guards against an order of writes in which a kill loses synced data or leaves a mixed state."""
        batches = random_batches(random.Random(5), 14)
        kill_at = 0
        is_complete = False
        while not is_complete:
            kill_at += 1
            shutil.rmtree(self.folder / "data", ignore_errors=True)
            self.with_storage(self._nothing)
            is_complete = self._run_until_kill(batches, kill_at)
        self.assertGreater(kill_at, 100)

    async def _nothing(self, storage):
        return None

    def _run_until_kill(self, batches, kill_at):
        """Write with a kill before operation ``kill_at`` and return whether all batches were written."""
        files = KillingFiles(kill_at, random.Random(kill_at))
        model = MemoryDisk()
        outstanding = None

        async def action(storage):
            nonlocal outstanding
            for item in batches:
                outstanding = item
                await storage.save(item)
                for step in model.writes(item):
                    step()
                outstanding = None

        try:
            self.with_storage(action, files=files)
        except KilledError:
            files.lose_unsynced()
        found = loaded_contents(self.load())
        self.assertTrue(found in allowed_contents(model, outstanding), f"kill before operation {kill_at}")
        return files.count < kill_at

    def test_memory_disk_matches_disk_storage(self):
        """Guards against a simulated disk that behaves differently from the disk storage."""
        for seed in range(20):
            shutil.rmtree(self.folder / "data", ignore_errors=True)
            model = MemoryDisk()
            batches = random_batches(random.Random(seed), 30)
            self.write(*batches)
            for item in batches:
                for step in model.writes(item):
                    step()
            self.assertEqual(model_contents(model), loaded_contents(self.load()), f"seed {seed}")


class DamageTest(FolderCase):
    def entries(self, first, last):
        return [LogEntry(index, 1, 0, b"payload %d" % index) for index in range(first, last + 1)]

    def test_torn_tail_is_cut(self):
        """Guards against a failed start, or a partial record that is kept, after a kill during a write."""
        self.write(batch(entries=self.entries(1, 2)))
        synced = self.segments()[-1].stat().st_size
        self.write(batch(entries=self.entries(3, 4)))
        whole = self.segments()[-1].read_bytes()
        third = synced + (len(whole) - synced) // 2
        for size in range(synced, len(whole)):
            self.segments()[-1].write_bytes(whole[:size])
            expected = [1, 2, 3] if size >= third else [1, 2]
            self.assertEqual(expected, [entry.index for entry in self.load().entries])
            self.assertEqual(whole[: third if size >= third else synced], self.segments()[-1].read_bytes())

    def test_lost_page_in_unsynced_write_is_cut(self):
        """Guards against damage reported for an unsynced write whose first page was lost."""
        self.write(batch(entries=self.entries(1, 2)))
        synced = self.segments()[-1].stat().st_size
        self.write(batch(entries=self.entries(3, 4)))
        data = bytearray(self.segments()[-1].read_bytes())
        data[synced + 10] ^= 0xFF
        self.segments()[-1].write_bytes(data)
        self.assertEqual([1, 2], [entry.index for entry in self.load().entries])

    def test_record_inside_a_payload_is_no_record(self):
        """Guards against a torn write reported as damage because a payload contains a valid record."""
        self.write(batch(entries=self.entries(1, 1)))
        nested = _encode_record(LogEntry(9, 9, 0, b""), salt=0, synced_size=10**6)
        self.write(batch(entries=[LogEntry(2, 1, 0, nested * 2)]))
        self.segments()[-1].write_bytes(self.segments()[-1].read_bytes()[:-1])
        self.assertEqual([1], [entry.index for entry in self.load().entries])

    def test_damage_before_tail_is_refused(self):
        """Guards against acknowledged entries that are cut off as a torn write after a damaged record."""
        self.write(batch(entries=self.entries(1, 2)))
        synced = self.segments()[-1].stat().st_size
        self.write(batch(entries=self.entries(3, 3)))
        whole = self.segments()[-1].read_bytes()
        for position in range(synced):
            data = bytearray(whole)
            data[position] ^= 0x01
            self.segments()[-1].write_bytes(data)
            error = self.assertRaises(LogDamagedError, self.load)
            self.assertIn(str(self.segments()[-1]), str(error))
            self.assertIn("data directory", error.remedy)

    def test_older_segment_is_never_truncated(self):
        """Guards against truncation of an older segment, which contains acknowledged entries only."""
        for index in range(1, 20):
            self.write(batch(entries=self.entries(index, index)))
        self.assertGreater(len(self.segments()), 2)
        oldest = self.segments()[0]
        oldest.write_bytes(oldest.read_bytes()[:-1])
        error = self.assertRaises(LogDamagedError, self.load)
        self.assertIn(str(oldest), str(error))

    def test_missing_files_are_refused(self):
        """Guards against a member that still votes with its directory after files in it were lost."""
        self.write(batch(HardState(3, "m1"), entries=self.entries(1, 20)))
        self.write(batch(entries=self.entries(21, 21)))
        data = self.folder / "data"
        for path in [*self.segments(), data / "log" / "manifest", data / "hard-state", data / "folder"]:
            hidden = path.rename(self.folder / "hidden")
            error = self.assertRaises(LogDamagedError, self.load)
            self.assertIn(str(path), str(error))
            hidden.rename(path)
        shutil.rmtree(data / "log")
        self.assertRaises(LogDamagedError, self.load)

    def test_missing_or_damaged_snapshot_is_refused(self):
        """Guards against a member that starts from an empty state with a compacted log."""
        self.write(batch(snapshot=Snapshot(9, 1, Membership({"m1": "f"}), b"state")))
        path = next((self.folder / "data" / "snapshots").glob("*.snapshot"))
        whole = path.read_bytes()
        path.write_bytes(whole[:-1])
        self.assertIn(str(path), str(self.assertRaises(LogDamagedError, self.load)))
        path.unlink()
        self.assertIn("snapshot", str(self.assertRaises(LogDamagedError, self.load)))


class IdentityTest(FolderCase):
    ENTRY = LogEntry(1, 1, 0, b"x")

    def test_kill_during_creation(self):
        """Guards against a data directory that is unusable after a kill during its creation."""
        kill_at = 0
        is_complete = False
        while not is_complete:
            kill_at += 1
            shutil.rmtree(self.folder / "data", ignore_errors=True)
            files = KillingFiles(kill_at, random.Random(kill_at))
            try:
                self.with_storage(self._identity, files=files, bootstrap=True)
                is_complete = True
            except KilledError:
                files.lose_unsynced()
            exists = (self.folder / "data" / "folder").exists()
            folder_id, founder = self.with_storage(self._identity, bootstrap=not exists)
            self.assertTrue(founder)
        self.assertGreater(kill_at, 10)

    def test_bootstrap_is_accepted_once(self):
        """Guards against a restart with ``--bootstrap`` that creates a second group."""
        self.with_storage(self._identity, bootstrap=True)
        error = self.assertRaises(SettingError, self.open, bootstrap=True)
        self.assertIn("--bootstrap", str(error))

    def test_kill_during_a_reset(self):
        """Guards against a replaced directory that founds a group, or mixes two identities, after a kill."""
        kill_at = 0
        is_complete = False
        while not is_complete:
            kill_at += 1
            shutil.rmtree(self.folder / "data", ignore_errors=True)
            old_id, _ = self.with_storage(self._identity, bootstrap=True)
            self.with_storage(
                lambda storage: storage.save(batch(HardState(1, "m1", 0), entries=[self.ENTRY]))
            )
            files = KillingFiles(kill_at, random.Random(kill_at))
            try:
                reset_disk_folder(self.folder / "data", CLUSTER, files)
                self.with_storage(self._identity, files=files)
                is_complete = True
            except KilledError:
                files.lose_unsynced()
            self.assertRaises(SettingError, self.open, bootstrap=True)
            state = self.load()
            if state.folder_id == old_id:
                self.assertEqual((True, [self.ENTRY]), (state.founder, state.entries))
            else:
                expected = (False, HardState(), [])
                self.assertEqual(expected, (state.founder, state.hard_state, state.entries))
        self.assertGreater(kill_at, 10)

    async def _identity(self, storage):
        state = storage.load()
        return state.folder_id, state.founder

    def test_identity_is_kept(self):
        """Guards against a directory id that changes at a restart, which would make the member a learner."""
        first = self.with_storage(self._identity)
        self.assertEqual(first, self.with_storage(self._identity))
        self.assertFalse(first[1])

    def test_other_cluster_is_refused(self):
        """Guards against a member that uses the data of another cluster."""
        self.with_storage(self._identity)
        self.assertRaises(ClusterMismatchError, open_disk_storage, self.folder / "data", "other")

    def test_only_the_owner_reads_what_is_stored(self):
        """Guards against API keys, which the sources of plans hold, that other users of an instance read."""
        snapshot = Snapshot(1, 1, Membership({"m1": "f"}), b"state")
        self.write(batch(entries=[LogEntry(1, 1, 0, b"plan")]), batch(snapshot=snapshot))
        files = [path for path in (self.folder / "data").rglob("*") if path.is_file()]
        assert any(path.suffix == ".snapshot" for path in files), files
        assert self.segments()
        assert {path.stat().st_mode & 0o777 for path in files} == {0o600}

    def test_second_process_is_refused(self):
        """Guards against two processes that write the same log."""

        async def action(storage):
            self.assertRaises(StorageError, self.open)

        self.with_storage(action)

    def test_full_disk_stops_writing(self):
        """Guards against writes after a failed one, of which an unknown part is on disk."""

        async def action(storage):
            entry = LogEntry(1, 1, 0, b"x")
            for _ in range(2):
                try:
                    await storage.save(batch(entries=[entry]))
                except StorageError as error:
                    self.assertTrue(error.remedy)
                else:
                    self.fail("the batch was reported as saved")

        self.with_storage(self._identity)
        full = OSError(errno.ENOSPC, "No space left on device")
        self.with_storage(action, files=_FullDisk(full))


class _FullDisk(FileOperations):
    """File operations whose first write fails; later ones succeed."""

    def __init__(self, error):
        self.errors = [error]

    def write(self, descriptor, data):
        if self.errors:
            raise self.errors.pop()
        super().write(descriptor, data)
