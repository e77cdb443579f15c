"""Replicated table of the key ranges of one service and the targets that hold them."""

import bisect

import attrs

from cranberrylever.invariants import check

KEY_SPACE_SIZE = 65_536
"""Number of keys in a key space; keys are 0 to ``KEY_SPACE_SIZE - 1``."""

FIRST_FENCE = 1
"""Fence of the first assignment; 0 stands for keys that were never assigned."""

HELD = "held"
RELEASING = "releasing"
FREE = "free"


@attrs.frozen
class KeyRange:
    """Keys ``first`` to ``last``, both included, and the incarnation of the target that holds them.

    ``fence`` is the fencing token of the assignment; both ranges keep it when one is split. A ``free`` range
    keeps the incarnation and fence of its last holder.
    """

    first: int
    last: int
    phase: str = FREE
    target_id: str = ""
    started_ms: int = 0
    fence: int = 0

    @property
    def incarnation(self) -> tuple[str, int]:
        """Id and start time of the holder, or of the last holder of a free range."""
        return self.target_id, self.started_ms

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether the range shares a key with ``first`` to ``last``."""
        return self.first <= last and first <= self.last


@attrs.frozen
class RangeEdit:
    """Request to set the keys ``first`` to ``last``, both included, to ``phase``.

    ``held`` assigns them to an incarnation under a new fence; they must all be free, or all be held by that
    incarnation. ``releasing`` requires that all are held, ``free`` that none is free.
    """

    first: int
    last: int
    phase: str
    target_id: str = ""
    started_ms: int = 0

    @property
    def incarnation(self) -> tuple[str, int]:
        """Id and start time of the target that the keys are assigned to."""
        return self.target_id, self.started_ms


@attrs.frozen
class RangeTableRecord:
    """Content of a ``RangeTable`` in a snapshot."""

    version: int
    ranges: tuple[KeyRange, ...]


class RangeTable:
    """The ranges of one service in key order, which cover each key exactly once.

    ``version`` increases with each change. Edits name the version that they are based on, so that those of a
    replaced leader have no effect.
    """

    def __init__(self, record: RangeTableRecord | None = None) -> None:
        self.version = record.version if record else 0
        self.ranges = list(record.ranges) if record else [KeyRange(0, KEY_SPACE_SIZE - 1)]
        self.starts = [item.first for item in self.ranges]

    def find(self, key: int) -> KeyRange:
        """Return the range that contains ``key``."""
        return self.ranges[bisect.bisect_right(self.starts, key) - 1]

    def overlapping(self, first: int, last: int) -> list[KeyRange]:
        """Return the ranges that share a key with ``first`` to ``last``."""
        start = bisect.bisect_right(self.starts, first) - 1
        stop = bisect.bisect_right(self.starts, last)
        return self.ranges[start:stop]

    def allows(self, edit: RangeEdit) -> bool:
        """Return whether the ranges that an edit changes are in a phase that permits it."""
        if not 0 <= edit.first <= edit.last < KEY_SPACE_SIZE:
            return False
        overlapped = self.overlapping(edit.first, edit.last)
        if edit.phase == HELD:
            is_free = all(key_range.phase == FREE for key_range in overlapped)
            return is_free or all(
                key_range.phase == HELD and key_range.incarnation == edit.incarnation
                for key_range in overlapped
            )
        if edit.phase == RELEASING:
            return all(key_range.phase == HELD for key_range in overlapped)
        return edit.phase == FREE and all(key_range.phase != FREE for key_range in overlapped)

    def apply(self, base_version: int, edits: tuple[RangeEdit, ...], next_fence: int) -> int:
        """Apply edits that are based on ``base_version``.

        Args:
            base_version: Version that the edits are based on; nothing changes unless it is the current one.
            edits: Changes in order; those that the table does not allow are skipped.
            next_fence: Lowest unused fence.

        Returns:
            The lowest unused fence after the edits.
        """
        if base_version != self.version:
            return next_fence
        for edit in edits:
            if self.allows(edit):
                self._apply_edit(edit, next_fence)
                next_fence += edit.phase == HELD
        self.version += 1
        self._check_coverage()
        return next_fence

    def _apply_edit(self, edit: RangeEdit, fence: int) -> None:
        overlapped = self.overlapping(edit.first, edit.last)
        start = bisect.bisect_right(self.starts, edit.first) - 1
        replaced: list[KeyRange] = []
        if overlapped[0].first < edit.first:
            replaced.append(attrs.evolve(overlapped[0], last=edit.first - 1))
        if edit.phase == HELD:
            check(
                all(key_range.fence < fence for key_range in overlapped),
                f"fence {fence} is not greater than the earlier fences of its keys",
            )
            replaced.append(KeyRange(edit.first, edit.last, HELD, edit.target_id, edit.started_ms, fence))
        else:
            replaced.extend(
                attrs.evolve(
                    key_range,
                    first=max(key_range.first, edit.first),
                    last=min(key_range.last, edit.last),
                    phase=edit.phase,
                )
                for key_range in overlapped
            )
        if overlapped[-1].last > edit.last:
            replaced.append(attrs.evolve(overlapped[-1], first=edit.last + 1))
        self.ranges[start : start + len(overlapped)] = replaced
        self.starts = [item.first for item in self.ranges]

    def _check_coverage(self) -> None:
        ends = [key_range.last + 1 for key_range in self.ranges]
        check(
            self.starts == [0, *ends[:-1]] and ends[-1] == KEY_SPACE_SIZE,
            "ranges do not cover each key exactly once",
        )

    def to_record(self) -> RangeTableRecord:
        """Return the content for a snapshot."""
        return RangeTableRecord(self.version, tuple(self.ranges))
