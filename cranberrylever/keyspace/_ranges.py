"""The replicated table of one keyed service: which target owns each range of keys."""

import bisect

import attrs

from cranberrylever.invariants import check

KEY_SPACE_SIZE = 65_536
"""Size of a key space; keys are 0 to ``KEY_SPACE_SIZE - 1``."""

HELD = "held"
RELEASING = "releasing"
FREE = "free"


@attrs.frozen
class KeyRange:
    """Keys ``first`` to ``last``, both included, and the life of the target that holds them.

    ``fence`` is the token of the assignment; it stays when a part is split off. A ``free`` range keeps the
    target and fence of its last holder.
    """

    first: int
    last: int
    phase: str = FREE
    target_id: str = ""
    started_ms: int = 0
    fence: int = 0

    @property
    def incarnation(self) -> tuple[str, int]:
        """The life of the holder."""
        return self.target_id, self.started_ms

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1

    def overlaps(self, first: int, last: int) -> bool:
        """Tell whether the range shares a key with ``first`` to ``last``."""
        return self.first <= last and first <= self.last


@attrs.frozen
class RangeEdit:
    """One change: the keys ``first`` to ``last`` get ``phase``.

    With ``held`` they are assigned to the named life under a new fence; they must be free, or held by that
    same life. With ``releasing`` they must be held, with ``free`` not be free already.
    """

    first: int
    last: int
    phase: str
    target_id: str = ""
    started_ms: int = 0

    @property
    def incarnation(self) -> tuple[str, int]:
        """The life that the keys are assigned to."""
        return self.target_id, self.started_ms


@attrs.frozen
class RangeTableRecord:
    """Snapshot form of ``RangeTable``."""

    version: int
    ranges: tuple[KeyRange, ...]


class RangeTable:
    """All ranges of one service in key order; together they cover each key once.

    ``version`` grows with each change. Edits name the version that they were made from, so those of a leader
    that has been replaced have no effect.
    """

    def __init__(self, record: RangeTableRecord | None = None) -> None:
        self.version = record.version if record else 0
        self.ranges = list(record.ranges) if record else [KeyRange(0, KEY_SPACE_SIZE - 1)]
        self.starts = [item.first for item in self.ranges]

    def find(self, key: int) -> KeyRange:
        """Return the range that ``key`` lies in."""
        return self.ranges[bisect.bisect_right(self.starts, key) - 1]

    def overlapping(self, first: int, last: int) -> list[KeyRange]:
        """Return the ranges that share a key with ``first`` to ``last``."""
        start = bisect.bisect_right(self.starts, first) - 1
        stop = bisect.bisect_right(self.starts, last)
        return self.ranges[start:stop]

    def allows(self, edit: RangeEdit) -> bool:
        """Tell whether an edit fits the table."""
        if not 0 <= edit.first <= edit.last < KEY_SPACE_SIZE:
            return False
        pieces = self.overlapping(edit.first, edit.last)
        if edit.phase == HELD:
            is_free = all(piece.phase == FREE for piece in pieces)
            return is_free or all(
                piece.phase == HELD and piece.incarnation == edit.incarnation for piece in pieces
            )
        if edit.phase == RELEASING:
            return all(piece.phase == HELD for piece in pieces)
        return edit.phase == FREE and all(piece.phase != FREE for piece in pieces)

    def apply(self, base_version: int, edits: tuple[RangeEdit, ...], next_fence: int) -> int:
        """Carry out edits that were made from ``base_version``.

        Args:
            base_version: Version that the edits were made from; with another one nothing is changed.
            edits: Changes; one that does not fit is left out.
            next_fence: First fence that may be taken.

        Returns:
            The next fence that may be taken.
        """
        if base_version != self.version:
            return next_fence
        for edit in edits:
            if self.allows(edit):
                self._apply_one(edit, next_fence)
                next_fence += edit.phase == HELD
        self.version += 1
        self._check()
        return next_fence

    def _apply_one(self, edit: RangeEdit, fence: int) -> None:
        pieces = self.overlapping(edit.first, edit.last)
        start = bisect.bisect_right(self.starts, edit.first) - 1
        replaced: list[KeyRange] = []
        if pieces[0].first < edit.first:
            replaced.append(attrs.evolve(pieces[0], last=edit.first - 1))
        if edit.phase == HELD:
            check(all(piece.fence < fence for piece in pieces), f"fence {fence} is above all before it")
            replaced.append(KeyRange(edit.first, edit.last, HELD, edit.target_id, edit.started_ms, fence))
        else:
            replaced.extend(
                attrs.evolve(
                    piece,
                    first=max(piece.first, edit.first),
                    last=min(piece.last, edit.last),
                    phase=edit.phase,
                )
                for piece in pieces
            )
        if pieces[-1].last > edit.last:
            replaced.append(attrs.evolve(pieces[-1], first=edit.last + 1))
        self.ranges[start : start + len(pieces)] = replaced
        self.starts = [item.first for item in self.ranges]

    def _check(self) -> None:
        ends = [item.last + 1 for item in self.ranges]
        check(
            self.starts == [0, *ends[:-1]] and ends[-1] == KEY_SPACE_SIZE,
            "ranges cover each key exactly once",
        )

    def to_record(self) -> RangeTableRecord:
        """Return the content for a snapshot."""
        return RangeTableRecord(self.version, tuple(self.ranges))
