"""Simulated kills of a process that writes a data directory."""

import asyncio
import math
import os
from pathlib import Path

from cranberrylever.consensus import DiskStorage, FileOperations
from cranberrylever.errors import StorageError

SEGMENT_BYTES = 2000
MAX_STEPS_BEFORE_KILL = 12


class KilledError(Exception):
    """Raised to simulate the kill of the process."""


class KillingFiles(FileOperations):
    """File operations that raise ``KilledError`` before operation ``kill_at``.

    ``lose_unsynced`` then cuts files with unsynced bytes at a random position.
    """

    def __init__(self, kill_at, rng, syncs=True):
        self.count = 0
        self.kill_at = kill_at
        self.rng = rng
        self.syncs = syncs
        self.unsynced = {}

    def _step(self):
        self.count += 1
        if self.count >= self.kill_at:
            raise KilledError

    def write(self, descriptor, data):
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        self.unsynced.setdefault(path, os.fstat(descriptor).st_size)
        if self.count + 1 == self.kill_at:
            super().write(descriptor, data[: self.rng.randint(0, len(data))])
        self._step()
        super().write(descriptor, data)

    def sync_data(self, descriptor):
        self._step()
        if self.syncs:
            super().sync_data(descriptor)
        self.unsynced.pop(Path(os.readlink(f"/proc/self/fd/{descriptor}")), None)

    def sync(self, descriptor):
        self._step()
        if self.syncs:
            super().sync(descriptor)
        self.unsynced.pop(Path(os.readlink(f"/proc/self/fd/{descriptor}")), None)

    def truncate(self, descriptor, size):
        self._step()
        super().truncate(descriptor, size)

    def rename(self, source, target):
        self._step()
        super().rename(source, target)

    def remove(self, path):
        self._step()
        super().remove(path)

    def lose_unsynced(self):
        for path, synced in self.unsynced.items():
            if path.exists() and path.stat().st_size > synced:
                os.truncate(path, self.rng.randint(synced, path.stat().st_size))


class SimulatedDiskStorage(DiskStorage):
    """Disk storage on simulated time that can be killed between two operations of an outstanding write."""

    def __init__(self, path, cluster_id, bootstrap, sync_time, rng):
        self.sync_time = sync_time
        self.outstanding = []
        self.is_killed = False
        files = KillingFiles(math.inf, rng, syncs=False)
        super().__init__(path, cluster_id, bootstrap, files, SEGMENT_BYTES)

    async def _run(self, thread, action):
        self.outstanding.append(action)
        await asyncio.sleep(self.sync_time)
        if self.is_killed:
            raise StorageError("the storage was closed by a simulated crash", "open the storage again")
        self.outstanding.remove(action)
        self._guard(action)

    async def close(self):
        self._release()

    def kill(self, rng):
        self.is_killed = True
        self.files.kill_at = self.files.count + rng.randint(1, MAX_STEPS_BEFORE_KILL)
        try:
            for action in self.outstanding:
                action()
        except KilledError:
            self.files.lose_unsynced()
        self._release()
