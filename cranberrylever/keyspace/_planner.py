"""Planner of key ranges: pure functions that derive edits from owners and work."""

from collections.abc import Sequence

import attrs

from cranberrylever.keyspace._fair_work import PlanOwner, divide_work
from cranberrylever.keyspace._loads import KEYS_PER_PART, cumulative_work, work_in_range
from cranberrylever.keyspace._ranges import FREE, HELD, KEY_SPACE_SIZE, RELEASING, KeyRange, RangeEdit

BUSY_RELEASE_RATIO = 1.4
"""Ratio of work to fair work above which a busy target releases keys."""

BUSY_UTILIZATION = 0.55
"""Utilization above which a target is busy, so that callers wait there."""

RELEASE_RATIO = 3.0
"""Ratio of work to fair work above which a target that is not busy releases keys.

Moves of such targets are mostly caused by noise in the measured work, and callers of moving keys wait 0.3 s.
"""

MIN_RELEASE_UTILIZATION = 0.15
"""Utilization up to which a target releases no keys for balance, except to a target without any."""

HOT_PART_UTILIZATION = 0.6
"""Share of a target's capacity above which one part is hot: it is placed by capacity, not by headroom."""

HOT_PART_CAPACITY_RATIO = 0.75
"""A hot part moves when its target has less than this share of the capacity of the new target."""

WIDTH_PENALTY = 12.0
"""Deduction from the rank of a piece, proportional to its width; the value is that for the whole key space.

A piece that carries exactly the wanted work ranks 1.0 before the deduction. Moving idle keys gains nothing.
"""

MIN_PENDING_MOVES = 12
"""Moves that may be pending at once in a small service; callers of moving keys wait."""

PENDING_MOVES_PER_OWNER = 1 / 6
"""The same per owner of a large one, so that hot keys reach many targets within seconds."""


@attrs.frozen
class KeyPlan:
    """Edits to propose: free ranges to assign, and held ranges to release for balance."""

    assignments: tuple[RangeEdit, ...]
    releases: tuple[RangeEdit, ...]


class _TargetLoad:
    """Work of one target, updated with each choice while a plan is made; work is in seconds per second."""

    def __init__(self, owner: PlanOwner, fair_work: float) -> None:
        self.incarnation = owner.incarnation
        self.capacity = owner.capacity
        self.fair_work = fair_work
        self.work = 0.0
        self.range_count = 0

    @property
    def load_ratio(self) -> float:
        return self.work / self.fair_work

    @property
    def headroom(self) -> float:
        return self.fair_work - self.work


def plan_keys(
    ranges: Sequence[KeyRange],
    owners: Sequence[PlanOwner],
    work: Sequence[float],
    pending_moves: int,
    may_balance: bool,
) -> KeyPlan:
    """Assign free ranges, and choose keys to move from targets above their fair work to those below it.

    The plan handles two load patterns: busy keys that lie close together, so that equal ranges carry unequal
    work, and hot keys that appear within seconds. Narrow ranges move, wide idle ones stay.

    Args:
        ranges: The table of one service in key order.
        owners: Targets that may receive keys; the keys of all other targets are released elsewhere.
        work: Recent work of each part in seconds per second.
        pending_moves: Moves that are in progress.
        may_balance: Whether ranges may be released for balance.
    """
    if not owners:
        return KeyPlan((), ())
    prefix_sums = cumulative_work(work)
    loads = _target_loads(ranges, owners, prefix_sums)
    assignments = _assign_free_ranges(ranges, loads, prefix_sums)
    releases: list[RangeEdit] = []
    if may_balance:
        releases = _choose_releases(
            ranges, loads, prefix_sums, max_pending_moves(len(owners)) - pending_moves
        )
    return KeyPlan(tuple(assignments), tuple(releases))


def max_pending_moves(owner_count: int) -> int:
    """Return how many moves may be pending at once in a service of ``owner_count`` owners."""
    return max(MIN_PENDING_MOVES, int(owner_count * PENDING_MOVES_PER_OWNER))


def plan_merges(ranges: Sequence[KeyRange], limit: int) -> list[RangeEdit]:
    """Return at most ``limit`` assignments that join adjacent ranges of one owner under one grant."""
    edits: list[RangeEdit] = []
    index = 0
    while index < len(ranges) and len(edits) < limit:
        end = index
        while end + 1 < len(ranges) and _are_joinable(ranges[index], ranges[end + 1]):
            end += 1
        if end > index:
            first = ranges[index]
            edits.append(RangeEdit(first.first, ranges[end].last, HELD, first.target_id, first.started_ms))
        index = end + 1
    return edits


def _are_joinable(left: KeyRange, right: KeyRange) -> bool:
    return left.phase == HELD and right.phase == HELD and left.incarnation == right.incarnation


def _target_loads(
    ranges: Sequence[KeyRange], owners: Sequence[PlanOwner], prefix_sums: Sequence[float]
) -> dict[tuple[str, int], _TargetLoad]:
    fair_work = divide_work(owners, prefix_sums[-1])
    loads = {
        owner.incarnation: _TargetLoad(owner, fair_work[owner.incarnation])
        for owner in sorted(owners, key=lambda owner: owner.incarnation)
    }
    for key_range in ranges:
        load = loads.get(key_range.incarnation)
        if key_range.phase == HELD and load is not None:
            load.work += work_in_range(key_range.first, key_range.last, prefix_sums)
            load.range_count += 1
    return loads


def _assign_free_ranges(
    ranges: Sequence[KeyRange], loads: dict[tuple[str, int], _TargetLoad], prefix_sums: Sequence[float]
) -> list[RangeEdit]:
    """Divide the free ranges among the targets with the most relative headroom, in pieces that fit it."""
    edits: list[RangeEdit] = []
    for key_range in ranges:
        first = key_range.first
        while key_range.phase == FREE and first <= key_range.last:
            load = max(loads.values(), key=lambda load: (load.headroom / load.fair_work, load.incarnation))
            last = _last_fitting_key(first, key_range.last, load.headroom, prefix_sums)
            if work_in_range(first, last, prefix_sums) > load.capacity * HOT_PART_UTILIZATION:
                load = max(loads.values(), key=_hot_part_rank)
            load.work += work_in_range(first, last, prefix_sums)
            load.range_count += 1
            edits.append(RangeEdit(first, last, HELD, *load.incarnation))
            first = last + 1
    return edits


def _hot_part_rank(load: _TargetLoad) -> tuple[float, tuple[str, int]]:
    """Rank a target for a hot part by capacity less its work above the fair work.

    The target releases its other ranges afterwards, since it is then the busiest.
    """
    return load.capacity - max(0.0, load.work - load.fair_work), load.incarnation


def _misplaced_hot_part(
    available: Sequence[KeyRange], loads: dict[tuple[str, int], _TargetLoad], prefix_sums: Sequence[float]
) -> RangeEdit | None:
    """Return the hot part that overloads a target when one with much more capacity is not overloaded."""
    receiver = max(loads.values(), key=_hot_part_rank)
    for load in loads.values():
        is_donor = load.work > load.capacity and load.capacity < HOT_PART_CAPACITY_RATIO * receiver.capacity
        if not is_donor or receiver.work > receiver.capacity:
            continue
        parts = [
            part
            for key_range in available
            if key_range.incarnation == load.incarnation
            for part in range(key_range.first // KEYS_PER_PART, key_range.last // KEYS_PER_PART + 1)
        ]
        hottest = max(parts, key=lambda part: prefix_sums[part + 1] - prefix_sums[part])
        work = prefix_sums[hottest + 1] - prefix_sums[hottest]
        # A target with several busy parts moves them all at once, like any other that is overloaded.
        if work > HOT_PART_UTILIZATION * load.capacity and load.work - work <= load.capacity:
            first = hottest * KEYS_PER_PART
            return RangeEdit(first, first + KEYS_PER_PART - 1, RELEASING)
    return None


def _last_fitting_key(first: int, last: int, max_work: float, prefix_sums: Sequence[float]) -> int:
    """Return the last key of the longest piece from ``first`` that carries at most ``max_work``.

    The piece ends with a part or with ``last`` and reaches at least the end of its first part.
    """
    if work_in_range(first, last, prefix_sums) <= max_work:
        return last
    lowest = min(last, (first // KEYS_PER_PART + 1) * KEYS_PER_PART - 1)
    highest = last
    while lowest < highest:
        candidate = (lowest + highest + 1) // 2
        candidate = candidate // KEYS_PER_PART * KEYS_PER_PART + KEYS_PER_PART - 1
        candidate = min(candidate, highest)
        if work_in_range(first, candidate, prefix_sums) <= max_work:
            lowest = candidate
            if candidate == highest:
                break
        else:
            highest = min(candidate - KEYS_PER_PART, highest - 1)
    return max(lowest, min(last, (first // KEYS_PER_PART + 1) * KEYS_PER_PART - 1))


def _choose_releases(
    ranges: Sequence[KeyRange],
    loads: dict[tuple[str, int], _TargetLoad],
    prefix_sums: Sequence[float],
    max_releases: int,
) -> list[RangeEdit]:
    """Return keys to release from the targets furthest above their fair work.

    A later plan assigns them to the targets with the most headroom. A misplaced hot part is released alone.
    """
    releases: list[RangeEdit] = []
    available = [
        key_range for key_range in ranges if key_range.phase == HELD and key_range.incarnation in loads
    ]
    hot_part = _misplaced_hot_part(available, loads, prefix_sums) if max_releases > 0 else None
    if hot_part is not None:
        return [hot_part]
    while len(releases) < max_releases:
        receiver = min(loads.values(), key=lambda load: load.load_ratio)
        donors = [load for load in loads.values() if _should_release(load, receiver)]
        donors.sort(key=lambda load: -load.load_ratio)
        release = next(
            filter(None, (_choose_move(donor, receiver, available, prefix_sums) for donor in donors)), None
        )
        if release is None:
            break
        releases.append(release)
        available = _subtract(available, release)
    return releases


def _should_release(donor: _TargetLoad, receiver: _TargetLoad) -> bool:
    """Return whether a target is above its fair work and callers gain when it releases keys.

    A receiver without keys gets some from any target above its fair work.
    """
    utilization = donor.work / donor.capacity
    is_busy_above_share = utilization > BUSY_UTILIZATION and donor.load_ratio > BUSY_RELEASE_RATIO
    is_far_above_share = utilization > MIN_RELEASE_UTILIZATION and donor.load_ratio > RELEASE_RATIO
    is_donor = donor is not receiver and donor.work > donor.fair_work
    return is_donor and (is_busy_above_share or is_far_above_share or receiver.range_count == 0)


def _choose_move(
    donor: _TargetLoad, receiver: _TargetLoad, available: Sequence[KeyRange], prefix_sums: Sequence[float]
) -> RangeEdit | None:
    """Return the piece to move from ``donor`` to ``receiver``, and update the work of both.

    Returns ``None`` if there is no piece, or if the receiver's ratio would exceed the donor's present one.
    """
    wanted_work = min(donor.work - donor.fair_work, receiver.headroom)
    piece = _choose_piece(
        [key_range for key_range in available if key_range.incarnation == donor.incarnation],
        wanted_work,
        prefix_sums,
    )
    if piece is None:
        return None
    moved = work_in_range(piece.first, piece.last, prefix_sums)
    if receiver.load_ratio + moved / receiver.fair_work > donor.load_ratio:
        return None
    donor.work -= moved
    receiver.work += moved
    receiver.range_count += 1
    return piece


def _choose_piece(
    key_ranges: Sequence[KeyRange], wanted_work: float, prefix_sums: Sequence[float]
) -> RangeEdit | None:
    """Return the range, or piece at an end of one, whose work is closest to ``wanted_work`` from below.

    When each piece carries more, the one with the least work is returned. Narrow pieces are preferred,
    because moving idle keys gains nothing. A target's only range is never moved whole.
    """
    candidates = []
    for key_range in key_ranges:
        whole = RangeEdit(key_range.first, key_range.last, RELEASING) if len(key_ranges) > 1 else None
        if whole is not None and work_in_range(whole.first, whole.last, prefix_sums) > wanted_work:
            whole = None
        for piece in (
            whole,
            _head_piece(key_range, wanted_work, prefix_sums),
            _tail_piece(key_range, wanted_work, prefix_sums),
        ):
            if piece is not None:
                moved = work_in_range(piece.first, piece.last, prefix_sums)
                fit = moved / wanted_work if moved <= wanted_work else -moved / wanted_work
                width = (piece.last - piece.first + 1) / KEY_SPACE_SIZE
                candidates.append((fit - WIDTH_PENALTY * width, piece))
    if not candidates:
        return None
    return max(candidates, key=lambda candidate: candidate[0])[1]


def _head_piece(key_range: KeyRange, wanted_work: float, prefix_sums: Sequence[float]) -> RangeEdit | None:
    last = _last_fitting_key(key_range.first, key_range.last, wanted_work, prefix_sums)
    if last >= key_range.last:
        return None
    return RangeEdit(key_range.first, last, RELEASING)


def _tail_piece(key_range: KeyRange, wanted_work: float, prefix_sums: Sequence[float]) -> RangeEdit | None:
    """Return the longest piece at the end of a range that carries at most ``wanted_work``.

    The piece starts with a part and is at least one part long.
    """
    lowest = key_range.first // KEYS_PER_PART + 1
    highest = key_range.last // KEYS_PER_PART
    while lowest < highest:
        candidate = (lowest + highest) // 2
        if work_in_range(candidate * KEYS_PER_PART, key_range.last, prefix_sums) <= wanted_work:
            highest = candidate
        else:
            lowest = candidate + 1
    if highest * KEYS_PER_PART <= key_range.first:
        return None
    return RangeEdit(highest * KEYS_PER_PART, key_range.last, RELEASING)


def _subtract(key_ranges: Sequence[KeyRange], piece: RangeEdit) -> list[KeyRange]:
    """Return the ranges without a piece, which is one of them or lies at an end of one."""
    remaining: list[KeyRange] = []
    for key_range in key_ranges:
        if not key_range.overlaps(piece.first, piece.last):
            remaining.append(key_range)
        elif key_range.first < piece.first:
            remaining.append(attrs.evolve(key_range, last=piece.first - 1))
        elif piece.last < key_range.last:
            remaining.append(attrs.evolve(key_range, first=piece.last + 1))
    return remaining
