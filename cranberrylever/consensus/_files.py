"""File operations of the disk storage, kept in one class so that tests can make each of them fail."""

import os
from pathlib import Path

_FOLDER_FLAGS = os.O_RDONLY | os.O_DIRECTORY


class FileOperations:
    """Operations that change files; all of them raise ``OSError`` on failure."""

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of ``data`` at the current file position."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync_data(self, descriptor: int) -> None:
        """Sync the data of the file to disk."""
        os.fdatasync(descriptor)

    def sync(self, descriptor: int) -> None:
        """Sync the data and metadata of the file to disk."""
        os.fsync(descriptor)

    def truncate(self, descriptor: int, size: int) -> None:
        """Truncate the file to ``size`` bytes."""
        os.ftruncate(descriptor, size)

    def rename(self, source: Path, target: Path) -> None:
        """Rename ``source`` to ``target``, replacing an existing file."""
        os.replace(source, target)

    def remove(self, path: Path) -> None:
        """Remove the file if it exists."""
        path.unlink(missing_ok=True)

    def sync_folder(self, path: Path) -> None:
        """Sync the entries of the directory to disk."""
        descriptor = os.open(path, _FOLDER_FLAGS)
        try:
            self.sync(descriptor)
        finally:
            os.close(descriptor)

    def replace_file(self, path: Path, data: bytes) -> None:
        """Atomically and durably replace ``path`` with a file that contains ``data``."""
        temporary = path.with_name(path.name + ".tmp")
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self.write(descriptor, data)
            self.sync(descriptor)
        finally:
            os.close(descriptor)
        self.rename(temporary, path)
        self.sync_folder(path.parent)
