"""The log in memory and the history of memberships in it."""

from cranberrylever.consensus._messages import EntryKind, LogEntry, Membership
from cranberrylever.invariants import check
from cranberrylever.wire import decode, encode


def membership_entry(index: int, term: int, membership: Membership) -> LogEntry:
    """Return the log entry that puts ``membership`` in force."""
    return LogEntry(index, term, EntryKind.MEMBERSHIP, encode(membership))


class RaftLog:
    """Entries after ``base_index``; everything up to the base is covered by a snapshot.

    Args:
        base_index: Index before the first entry held.
        base_term: Term of the entry at ``base_index``.
        entries: Entries held, in order.
    """

    def __init__(self, base_index: int, base_term: int, entries: list[LogEntry]) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.entries = list(entries)
        check(
            not entries or entries[0].index == base_index + 1,
            f"the log starts after its base {base_index}",
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
        """Return the term of the entry at ``index``, or ``None`` when it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def first_index_of_term(self, index: int) -> int:
        """Return the first held index of the run of equal terms that ends at ``index``."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def get(self, index: int) -> LogEntry:
        """Return the entry at ``index``."""
        return self.entries[index - self.base_index - 1]

    def slice_from(self, index: int, max_entries: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from ``index`` on, at least one if there is one, within both limits."""
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
        """Add ``entry`` at the end."""
        check(entry.index == self.last_index + 1, f"entry {entry.index} follows index {self.last_index}")
        check(entry.term >= self.last_term, f"the term of entry {entry.index} is not below the one before")
        self.entries.append(entry)

    def truncate(self, index: int) -> None:
        """Remove the entry at ``index`` and all after it."""
        check(index > self.base_index, f"index {index} is after the log's base")
        del self.entries[index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Drop entries up to and including ``index``."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        check(term is not None, f"index {index} is in the log")
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Replace the whole log by a snapshot that ends at ``index``."""
        self.entries.clear()
        self.base_index = index
        self.base_term = term


class MembershipHistory:
    """Memberships by the log index that put them in force.

    Args:
        index: Index of the snapshot that carried ``membership``, or 0.
        membership: Membership in the snapshot, or ``None`` when the group has none yet.
        founder: Whether this member's own folder was created with bootstrap.
    """

    def __init__(self, index: int, membership: Membership | None) -> None:
        self.items: list[tuple[int, Membership | None]] = [(index, membership)]

    @property
    def latest(self) -> Membership | None:
        """Membership of the last membership entry, committed or not."""
        return self.items[-1][1]

    @property
    def latest_index(self) -> int:
        """Index of the last membership entry."""
        return self.items[-1][0]

    def at(self, index: int) -> tuple[int, Membership | None]:
        """Return the membership in force after ``index`` and the index of its entry."""
        for start, membership in reversed(self.items):
            if start <= index:
                return start, membership
        return self.items[0]

    def record(self, entry: LogEntry) -> None:
        """Take over ``entry`` when it is a membership entry."""
        if entry.kind == EntryKind.MEMBERSHIP:
            self.items.append((entry.index, decode(entry.payload, Membership)))

    def truncate(self, index: int) -> None:
        """Forget memberships at ``index`` and after it."""
        while len(self.items) > 1 and self.items[-1][0] >= index:
            self.items.pop()

    def reset(self, index: int, membership: Membership | None) -> None:
        """Start again from a snapshot."""
        self.items = [(index, membership)]


def is_voter(membership: Membership | None, member_id: str, folder_id: str, founder: bool) -> bool:
    """Return whether a member with this folder votes under ``membership``.

    Before the first membership entry, and for a founding member that no entry names yet, a folder
    created with bootstrap votes.
    """
    if membership is None:
        return founder
    if folder_id in membership.retired or member_id not in membership.folders:
        return False
    bound = membership.folders[member_id]
    return folder_id == bound if bound else founder
