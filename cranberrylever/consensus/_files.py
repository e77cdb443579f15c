"""File operations of the disk storage, in one place so that tests can fail each of them."""

import os
from pathlib import Path

_FOLDER_FLAGS = os.O_RDONLY | os.O_DIRECTORY


class FileOperations:
    """The operating system calls that change files; each raises ``OSError``."""

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of ``data`` at the file's position."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync_data(self, descriptor: int) -> None:
        """Wait until the file's data are on the disk."""
        os.fdatasync(descriptor)

    def sync(self, descriptor: int) -> None:
        """Wait until the file's data and metadata are on the disk."""
        os.fsync(descriptor)

    def truncate(self, descriptor: int, size: int) -> None:
        """Cut the file to ``size`` bytes."""
        os.ftruncate(descriptor, size)

    def rename(self, source: Path, target: Path) -> None:
        """Replace ``target`` by ``source``."""
        os.replace(source, target)

    def remove(self, path: Path) -> None:
        """Remove a file."""
        path.unlink(missing_ok=True)

    def sync_folder(self, path: Path) -> None:
        """Wait until the folder's entries are on the disk."""
        descriptor = os.open(path, _FOLDER_FLAGS)
        try:
            self.sync(descriptor)
        finally:
            os.close(descriptor)

    def replace_file(self, path: Path, data: bytes) -> None:
        """Replace ``path`` by a file with ``data``: write, sync, rename, sync of the folder."""
        temporary = path.with_name(path.name + ".tmp")
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self.write(descriptor, data)
            self.sync(descriptor)
        finally:
            os.close(descriptor)
        self.rename(temporary, path)
        self.sync_folder(path.parent)
