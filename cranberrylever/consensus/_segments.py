"""Segmented log on disk; each log entry is a record with its length and CRC."""

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
_RECORD_HEADER = struct.Struct("<IQQBQ")
_RECORD_PREFIX = struct.Struct("<4sI")
_RECORD_HEADER_BYTES = _RECORD_PREFIX.size + _RECORD_HEADER.size
_SEGMENT_MAGIC = b"CLSEG001"
_SEGMENT_HEADER = struct.Struct("<QQI")
_SEGMENT_PREFIX = struct.Struct("<8sI")
_SEGMENT_HEADER_BYTES = _SEGMENT_PREFIX.size + _SEGMENT_HEADER.size


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
    """A segment file with the offsets and terms of its records; sizes and offsets are in bytes."""

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

    def remove_from(self, index: int) -> None:
        position = index - self.first_index
        if position < len(self.offsets):
            self.size = self.offsets[position]
            del self.offsets[position:]
            del self.terms[position:]


def log_damaged_error(path: Path, reason: str) -> LogDamagedError:
    """Return the error for a damaged or missing file."""
    return LogDamagedError(
        f"{path} is damaged: {reason}",
        "empty the data directory of this member and start it without --bootstrap; it rejoins as a learner",
    )


def _encode_record(entry: LogEntry, salt: int, synced_size: int) -> bytes:
    body = (
        _RECORD_HEADER.pack(len(entry.payload), entry.index, entry.term, entry.kind, synced_size)
        + entry.payload
    )
    return _RECORD_PREFIX.pack(_RECORD_MAGIC, zlib.crc32(body, salt)) + body


def _decode_record(data: bytes, offset: int, salt: int) -> tuple[LogEntry, int, int] | None:
    """Decode the record at ``offset``.

    Returns:
        The entry, the offset after the record and its synced size in bytes; ``None`` for an invalid record.
    """
    if offset + _RECORD_HEADER_BYTES > len(data):
        return None
    magic, crc = _RECORD_PREFIX.unpack_from(data, offset)
    start = offset + _RECORD_PREFIX.size
    length, index, term, kind, synced_size = _RECORD_HEADER.unpack_from(data, start)
    end = start + _RECORD_HEADER.size + length
    if magic != _RECORD_MAGIC or end > len(data) or zlib.crc32(data[start:end], salt) != crc:
        return None
    return LogEntry(index, term, kind, data[start + _RECORD_HEADER.size : end]), end, synced_size


class SegmentedLog:
    """Log entries in append-only segment files of one directory.

    Each record contains the size up to which its segment was synced when the record was written. An invalid
    record is damage to acknowledged data if a valid record after it was written once the invalid one had been
    synced. Otherwise it belongs to the last, unsynced write and is cut off as a torn write. The CRC starts
    from a random salt per segment, so that bytes in a payload cannot be read as a record.

    Args:
        path: Directory of the segments.
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
        """Index before the first record."""
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
        """Read all entries, cut off a torn write at the end and open the newest segment for appending.

        Raises:
            LogDamagedError: A synced record is damaged or a file is missing.
        """
        manifest = self._read_manifest()
        self._remove_unlisted_segments(manifest)
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
        """Write ``entries`` after the last record without a sync."""
        if self.segments[-1].size >= self.segment_bytes:
            self._start_segment()
        segment = self.segments[-1]
        records = []
        for entry in entries:
            record = _encode_record(entry, segment.salt, self.synced_size)
            segment.add(entry, len(record))
            records.append(record)
        self.files.write(self.descriptor, b"".join(records))

    def sync(self) -> None:
        """Sync all written records to disk."""
        self.files.sync_data(self.descriptor)
        self.synced_size = self.segments[-1].size

    def truncate(self, index: int) -> None:
        """Remove the records from ``index`` on.

        The truncation is synced before records are appended. Otherwise removed records could follow the new
        ones after a crash.
        """
        removed = []
        while len(self.segments) > 1 and self.segments[-1].first_index >= index:
            removed.append(self.segments.pop())
        if removed:
            self._write_manifest()
            os.close(self.descriptor)
            self.descriptor = os.open(self._segment_path(self.segments[-1].number), os.O_RDWR)
        segment = self.segments[-1]
        segment.remove_from(index)
        self.files.truncate(self.descriptor, segment.size)
        self.files.sync(self.descriptor)
        os.lseek(self.descriptor, segment.size, os.SEEK_SET)
        self.synced_size = segment.size
        self._remove(removed)

    def reset(self, index: int, term: int) -> None:
        """Replace all segments with an empty one that continues after ``index``."""
        removed = self.segments
        self.segments = []
        self._add_segment(removed[-1].number + 1, index + 1, term)
        self._write_manifest()
        self._remove(removed)

    def compact(self, index: int) -> None:
        """Remove the segments without records after ``index``, except for the newest one."""
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

    def _start_segment(self) -> None:
        last = self.segments[-1]
        self.sync()
        self._add_segment(last.number + 1, last.last_index + 1, last.last_term)
        self._write_manifest()

    def _add_segment(self, number: int, first_index: int, previous_term: int) -> None:
        """Create and sync an empty segment; it is not part of the log until the manifest lists it."""
        salt = secrets.randbits(SALT_BITS)
        body = _SEGMENT_HEADER.pack(first_index, previous_term, salt)
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
            raise log_damaged_error(path, "the file is missing")
        data = path.read_bytes()
        segment = self._read_header(path, number, data)
        if self.segments and not segment.follows(self.segments[-1]):
            raise log_damaged_error(
                path, f"its first index {segment.first_index} does not continue the previous segment"
            )
        while segment.size < len(data):
            offset = segment.size
            record = _decode_record(data, offset, segment.salt)
            if record is None or record[0].index != segment.last_index + 1:
                if not is_newest or _has_record_synced_after(data, offset, segment.salt):
                    raise log_damaged_error(path, f"the record at byte {offset} is invalid")
                break
            entries.append(record[0])
            segment.add(record[0], record[1] - offset)
        self.segments.append(segment)

    def _read_header(self, path: Path, number: int, data: bytes) -> _Segment:
        if len(data) >= _SEGMENT_HEADER_BYTES:
            magic, crc = _SEGMENT_PREFIX.unpack_from(data, 0)
            body = data[_SEGMENT_PREFIX.size : _SEGMENT_HEADER_BYTES]
            if magic == _SEGMENT_MAGIC and zlib.crc32(body) == crc:
                return _Segment(number, *_SEGMENT_HEADER.unpack(body), _SEGMENT_HEADER_BYTES)
        raise log_damaged_error(path, "the segment header is invalid")

    def _read_manifest(self) -> _Manifest:
        path = self.path / _MANIFEST
        if not path.exists():
            raise log_damaged_error(path, "the file is missing")
        try:
            manifest = decode(path.read_bytes(), _Manifest)
        except CodecError as error:
            raise log_damaged_error(path, error.message) from error
        if manifest.crc != manifest.checksum():
            raise log_damaged_error(path, "the CRC of the manifest does not match")
        return manifest

    def _write_manifest(self) -> None:
        manifest = _Manifest(self.segments[0].number, self.segments[-1].number)
        self.files.replace_file(
            self.path / _MANIFEST, encode(attrs.evolve(manifest, crc=manifest.checksum()))
        )

    def _remove_unlisted_segments(self, manifest: _Manifest) -> None:
        """Remove segments that are not in the manifest, left behind by a crash."""
        for path in self.path.glob("*.log"):
            if not manifest.oldest <= int(path.stem) <= manifest.newest:
                self.files.remove(path)

    def _remove(self, segments: list[_Segment]) -> None:
        for segment in segments:
            self.files.remove(self._segment_path(segment.number))

    def _segment_path(self, number: int) -> Path:
        return self.path / f"{number:016d}.log"


def _has_record_synced_after(data: bytes, offset: int, salt: int) -> bool:
    """Return whether a valid record after ``offset`` was written after the byte at ``offset`` was synced."""
    position = data.find(_RECORD_MAGIC, offset + 1)
    while position >= 0:
        record = _decode_record(data, position, salt)
        if record is not None and record[2] > offset:
            return True
        position = data.find(_RECORD_MAGIC, position + 1)
    return False
