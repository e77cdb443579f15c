"""The in-memory log and the memberships recorded in it."""

from collections.abc import Sequence

from cranberrylever.consensus._messages import EntryKind, LogEntry, Membership
from cranberrylever.invariants import check
from cranberrylever.wire import decode, encode


def membership_entry(index: int, term: int, membership: Membership) -> LogEntry:
    """Return the log entry for a change to ``membership``."""
    return LogEntry(index, term, EntryKind.MEMBERSHIP, encode(membership))


def _payload_bytes(entries: Sequence[LogEntry]) -> int:
    return sum(len(entry.payload) for entry in entries)


class RaftLog:
    """In-memory log entries after ``base_index``; a snapshot covers the entries up to it.

    Args:
        base_index: Index before the first entry, or 0.
        base_term: Term of the entry at ``base_index``.
        entries: Entries after ``base_index``, in order.

    Attributes:
        size: Bytes of the payloads of all entries.
    """

    def __init__(self, base_index: int, base_term: int, entries: list[LogEntry]) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.entries = list(entries)
        self.size = _payload_bytes(self.entries)
        check(
            not entries or entries[0].index == base_index + 1,
            f"the first log entry does not follow the base index {base_index}",
        )

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``, or ``None`` when the entry is not in the log."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def first_index_of_term(self, index: int) -> int:
        """Return the first index in the log with the same term as the entry at ``index``."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def get(self, index: int) -> LogEntry:
        """Return the entry at ``index``."""
        return self.entries[index - self.base_index - 1]

    def slice_from(self, index: int, max_entries: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from ``index`` on within both limits, but at least one if it exists."""
        start = index - self.base_index - 1
        stop = start
        size = 0
        while stop < len(self.entries) and stop - start < max_entries:
            size += len(self.entries[stop].payload)
            if size > max_bytes and stop > start:
                break
            stop += 1
        return tuple(self.entries[start:stop])

    def append(self, entry: LogEntry) -> None:
        """Append ``entry``, which must have the next index."""
        check(
            entry.index == self.last_index + 1, f"entry {entry.index} does not follow index {self.last_index}"
        )
        check(
            entry.term >= self.last_term,
            f"term {entry.term} of entry {entry.index} is below the last term {self.last_term}",
        )
        self.entries.append(entry)
        self.size += len(entry.payload)

    def truncate(self, index: int) -> None:
        """Remove the entries from ``index`` on."""
        check(index > self.base_index, f"index {index} is not after the base index {self.base_index}")
        first = index - self.base_index - 1
        self.size -= _payload_bytes(self.entries[first:])
        del self.entries[first:]

    def index_before_last(self, index: int, max_entries: int, max_bytes: int) -> int:
        """Return the index before the last entries up to ``index`` that are within both limits."""
        start = index
        size = 0
        while start > self.base_index and index - start < max_entries:
            size += len(self.get(start).payload)
            if size > max_bytes:
                break
            start -= 1
        return start

    def compact(self, index: int) -> None:
        """Remove the entries up to and including ``index``."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        check(term is not None, f"entry {index} is not in the log")
        count = index - self.base_index
        self.size -= _payload_bytes(self.entries[:count])
        del self.entries[:count]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Clear the log so that it continues after a snapshot at ``index``."""
        self.entries.clear()
        self.size = 0
        self.base_index = index
        self.base_term = term


class MembershipHistory:
    """Memberships by the index of their log entries.

    Args:
        index: Index of the snapshot that contains ``membership``, or 0.
        membership: Membership in the snapshot, or ``None`` when the group has none yet.
    """

    def __init__(self, index: int, membership: Membership | None) -> None:
        self.items: list[tuple[int, Membership | None]] = [(index, membership)]

    @property
    def latest(self) -> Membership | None:
        """Membership in the last membership entry, committed or not."""
        return self.items[-1][1]

    @property
    def latest_index(self) -> int:
        """Index of the last membership entry."""
        return self.items[-1][0]

    def at(self, index: int) -> tuple[int, Membership | None]:
        """Return the index of the last membership entry up to ``index`` and its membership."""
        for start, membership in reversed(self.items):
            if start <= index:
                return start, membership
        return self.items[0]

    def settled(self, commit_index: int) -> Membership | None:
        """Return the newest membership that is certainly committed, given the known commit index.

        A leader proposes a membership only after the commit of the one before, so all but the latest are
        committed, whatever this member knows.
        """
        if self.latest_index <= commit_index or len(self.items) == 1:
            return self.latest
        return self.items[-2][1]

    def record(self, entry: LogEntry) -> None:
        """Add the membership in ``entry`` if it is a membership entry."""
        if entry.kind == EntryKind.MEMBERSHIP:
            self.items.append((entry.index, decode(entry.payload, Membership)))

    def truncate(self, index: int) -> None:
        """Remove the memberships from ``index`` on."""
        while len(self.items) > 1 and self.items[-1][0] >= index:
            self.items.pop()

    def reset(self, index: int, membership: Membership | None) -> None:
        """Replace the history with the membership of a snapshot at ``index``."""
        self.items = [(index, membership)]


def adds_voters_only(before: Membership | None, after: Membership) -> bool:
    """Return whether ``after`` has all voters of ``before`` with the same data directories, and more."""
    return (
        before is not None
        and len(after.folders) > len(before.folders)
        and before.folders.items() <= after.folders.items()
    )


def is_voter(membership: Membership | None, member_id: str, folder_id: str, founder: bool) -> bool:
    """Return whether a member with this data directory is a voter under ``membership``.

    Before the first membership entry, and for an initial member whose directory is not recorded yet, a
    directory created with bootstrap is a voter.
    """
    if membership is None:
        return founder
    if folder_id in membership.retired or member_id not in membership.folders:
        return False
    voting_folder_id = membership.folders[member_id]
    return folder_id == voting_folder_id if voting_folder_id else founder
