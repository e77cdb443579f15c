"""The log on disk: segment files of records with length and CRC.

Every record carries the file offset up to which the segment was synced before the record was written. A
damaged record followed by a valid record that was written after its sync is damage to acknowledged data;
otherwise it belongs to the last, unsynced write and is a torn tail. The CRC starts from a random salt of
the segment, so that bytes inside a payload cannot pass for a record.
"""

import os
import secrets
import struct
import zlib
from pathlib import Path

import attrs

from cranberrylever.consensus._files import FileOperations
from cranberrylever.consensus._messages import LogEntry
from cranberrylever.errors import CodecError, LogDamagedError
from cranberrylever.wire import decode, encode

SEGMENT_BYTES = 8 * 1024 * 1024
SALT_BITS = 32

_MANIFEST = "manifest"
_RECORD_MAGIC = b"CLR1"
_RECORD = struct.Struct("<IQQBQ")
_RECORD_PREFIX = struct.Struct("<4sI")
_RECORD_BYTES = _RECORD_PREFIX.size + _RECORD.size
_SEGMENT_MAGIC = b"CLSEG001"
_SEGMENT = struct.Struct("<QQI")
_SEGMENT_PREFIX = struct.Struct("<8sI")
_SEGMENT_BYTES = _SEGMENT_PREFIX.size + _SEGMENT.size


@attrs.frozen
class _Manifest:
    """Numbers of the oldest and the newest segment file."""

    oldest: int
    newest: int
    crc: int = 0

    def checksum(self) -> int:
        return zlib.crc32(f"{self.oldest},{self.newest}".encode())


@attrs.define
class _Segment:
    """One segment file and the offsets and terms of its records."""

    number: int
    first_index: int
    previous_term: int
    salt: int
    size: int
    offsets: list[int] = attrs.field(factory=list)
    terms: list[int] = attrs.field(factory=list)

    @property
    def last_index(self) -> int:
        return self.first_index + len(self.offsets) - 1

    @property
    def last_term(self) -> int:
        return self.terms[-1] if self.terms else self.previous_term

    def follows(self, other: "_Segment") -> bool:
        return self.first_index == other.last_index + 1 and self.previous_term == other.last_term

    def add(self, entry: LogEntry, size: int) -> None:
        self.offsets.append(self.size)
        self.terms.append(entry.term)
        self.size += size

    def cut(self, index: int) -> None:
        position = index - self.first_index
        if position < len(self.offsets):
            self.size = self.offsets[position]
            del self.offsets[position:]
            del self.terms[position:]


def damaged(path: Path, reason: str) -> LogDamagedError:
    """Return the error for a damaged file."""
    return LogDamagedError(
        f"{path} is damaged: {reason}",
        "empty this member's data folder and start it without --bootstrap; it rejoins as a learner",
    )


def _encode_record(entry: LogEntry, salt: int, synced_size: int) -> bytes:
    body = _RECORD.pack(len(entry.payload), entry.index, entry.term, entry.kind, synced_size) + entry.payload
    return _RECORD_PREFIX.pack(_RECORD_MAGIC, zlib.crc32(body, salt)) + body


def _decode_record(data: bytes, offset: int, salt: int) -> tuple[LogEntry, int, int] | None:
    """Return the entry at ``offset``, the offset after it and its synced size, or ``None``."""
    if offset + _RECORD_BYTES > len(data):
        return None
    magic, crc = _RECORD_PREFIX.unpack_from(data, offset)
    start = offset + _RECORD_PREFIX.size
    length, index, term, kind, synced_size = _RECORD.unpack_from(data, start)
    end = start + _RECORD.size + length
    if magic != _RECORD_MAGIC or end > len(data) or zlib.crc32(data[start:end], salt) != crc:
        return None
    return LogEntry(index, term, kind, data[start + _RECORD.size : end]), end, synced_size


class SegmentedLog:
    """Append-only files of log entries in one folder.

    Args:
        path: Folder of the segments.
        files: File operations.
        segment_bytes: Size in bytes at which a new segment is started.
    """

    def __init__(self, path: Path, files: FileOperations, segment_bytes: int = SEGMENT_BYTES) -> None:
        self.path = path
        self.files = files
        self.segment_bytes = segment_bytes
        self.segments: list[_Segment] = []
        self.descriptor = -1
        self.synced_size = 0

    @property
    def last_index(self) -> int:
        """Index of the last record."""
        return self.segments[-1].last_index

    @property
    def base_index(self) -> int:
        """Index before the first record held."""
        return self.segments[0].first_index - 1

    @property
    def base_term(self) -> int:
        """Term of the entry at ``base_index``."""
        return self.segments[0].previous_term

    def create(self) -> None:
        """Create an empty log."""
        self._add_segment(1, 1, 0)
        self._write_manifest()

    def open(self) -> list[LogEntry]:
        """Read all records, cut a torn tail, and prepare for appending.

        Raises:
            LogDamagedError: A record that was synced is damaged or a file is missing.
        """
        manifest = self._read_manifest()
        self._remove_strays(manifest)
        entries: list[LogEntry] = []
        for number in range(manifest.oldest, manifest.newest + 1):
            self._open_segment(number, entries, is_newest=number == manifest.newest)
        newest = self.segments[-1]
        self.descriptor = os.open(self._segment_path(newest.number), os.O_RDWR)
        if os.fstat(self.descriptor).st_size > newest.size:
            self.files.truncate(self.descriptor, newest.size)
        self.files.sync(self.descriptor)
        os.lseek(self.descriptor, newest.size, os.SEEK_SET)
        self.synced_size = newest.size
        return entries

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Write ``entries`` after the last record; they are durable after ``sync``."""
        if self.segments[-1].size >= self.segment_bytes:
            self._roll()
        segment = self.segments[-1]
        parts = []
        for entry in entries:
            record = _encode_record(entry, segment.salt, self.synced_size)
            segment.add(entry, len(record))
            parts.append(record)
        self.files.write(self.descriptor, b"".join(parts))

    def sync(self) -> None:
        """Make all written records durable."""
        self.files.sync_data(self.descriptor)
        self.synced_size = self.segments[-1].size

    def truncate(self, index: int) -> None:
        """Remove the records from ``index`` on.

        The new end is synced before anything is appended. Otherwise records of the old end could
        follow the new ones after a kill.
        """
        removed = []
        while len(self.segments) > 1 and self.segments[-1].first_index >= index:
            removed.append(self.segments.pop())
        if removed:
            self._write_manifest()
            os.close(self.descriptor)
            self.descriptor = os.open(self._segment_path(self.segments[-1].number), os.O_RDWR)
        segment = self.segments[-1]
        segment.cut(index)
        self.files.truncate(self.descriptor, segment.size)
        self.files.sync(self.descriptor)
        os.lseek(self.descriptor, segment.size, os.SEEK_SET)
        self.synced_size = segment.size
        self._remove(removed)

    def reset(self, index: int, term: int) -> None:
        """Replace all records by an empty log that continues after ``index``."""
        removed = self.segments
        self.segments = []
        self._add_segment(removed[-1].number + 1, index + 1, term)
        self._write_manifest()
        self._remove(removed)

    def compact(self, index: int) -> None:
        """Remove segments that hold no record after ``index``."""
        removed = []
        while len(self.segments) > 1 and self.segments[0].last_index <= index:
            removed.append(self.segments.pop(0))
        if removed:
            self._write_manifest()
            self._remove(removed)

    def close(self) -> None:
        """Close the newest segment."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1

    def _roll(self) -> None:
        last = self.segments[-1]
        self.sync()
        self._add_segment(last.number + 1, last.last_index + 1, last.last_term)
        self._write_manifest()

    def _add_segment(self, number: int, first_index: int, previous_term: int) -> None:
        """Create a synced, empty segment; it counts once the manifest names it."""
        salt = secrets.randbits(SALT_BITS)
        body = _SEGMENT.pack(first_index, previous_term, salt)
        header = _SEGMENT_PREFIX.pack(_SEGMENT_MAGIC, zlib.crc32(body)) + body
        self.close()
        path = self._segment_path(number)
        self.descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        self.files.write(self.descriptor, header)
        self.files.sync(self.descriptor)
        self.files.sync_folder(self.path)
        self.segments.append(_Segment(number, first_index, previous_term, salt, len(header)))
        self.synced_size = len(header)

    def _open_segment(self, number: int, entries: list[LogEntry], is_newest: bool) -> None:
        path = self._segment_path(number)
        if not path.exists():
            raise damaged(path, "the file is missing")
        data = path.read_bytes()
        segment = self._read_header(path, number, data)
        if self.segments and not segment.follows(self.segments[-1]):
            raise damaged(
                path, f"it starts at index {segment.first_index} and does not continue the file before"
            )
        while segment.size < len(data):
            offset = segment.size
            record = _decode_record(data, offset, segment.salt)
            if record is None or record[0].index != segment.last_index + 1:
                if not is_newest or _has_record_synced_after(data, offset, segment.salt):
                    raise damaged(path, f"the record at byte {offset} fails its check")
                break
            entries.append(record[0])
            segment.add(record[0], record[1] - offset)
        self.segments.append(segment)

    def _read_header(self, path: Path, number: int, data: bytes) -> _Segment:
        if len(data) >= _SEGMENT_BYTES:
            magic, crc = _SEGMENT_PREFIX.unpack_from(data, 0)
            body = data[_SEGMENT_PREFIX.size : _SEGMENT_BYTES]
            if magic == _SEGMENT_MAGIC and zlib.crc32(body) == crc:
                return _Segment(number, *_SEGMENT.unpack(body), _SEGMENT_BYTES)
        raise damaged(path, "its header fails its check")

    def _read_manifest(self) -> _Manifest:
        path = self.path / _MANIFEST
        if not path.exists():
            raise damaged(path, "the file is missing")
        try:
            manifest = decode(path.read_bytes(), _Manifest)
        except CodecError as error:
            raise damaged(path, error.message) from error
        if manifest.crc != manifest.checksum():
            raise damaged(path, "it fails its check")
        return manifest

    def _write_manifest(self) -> None:
        manifest = _Manifest(self.segments[0].number, self.segments[-1].number)
        self.files.replace_file(
            self.path / _MANIFEST, encode(attrs.evolve(manifest, crc=manifest.checksum()))
        )

    def _remove_strays(self, manifest: _Manifest) -> None:
        """Remove segments that a kill left behind outside the manifest."""
        for path in self.path.glob("*.log"):
            if not manifest.oldest <= int(path.stem) <= manifest.newest:
                self.files.remove(path)

    def _remove(self, segments: list[_Segment]) -> None:
        for segment in segments:
            self.files.remove(self._segment_path(segment.number))

    def _segment_path(self, number: int) -> Path:
        return self.path / f"{number:016d}.log"


def _has_record_synced_after(data: bytes, offset: int, salt: int) -> bool:
    """Return whether a valid record after ``offset`` was written when ``offset`` had been synced."""
    position = data.find(_RECORD_MAGIC, offset + 1)
    while position >= 0:
        record = _decode_record(data, position, salt)
        if record is not None and record[2] > offset:
            return True
        position = data.find(_RECORD_MAGIC, position + 1)
    return False
