"""The planner of key ranges: a pure function from owners and work to edits.

It answers two load patterns: busy keys that lie close together, so that equal ranges carry unequal work, and
hot keys that appear within seconds. Narrow ranges move where the work is, wide idle ones stay.
"""

from collections.abc import Sequence

import attrs

from cranberrylever.keyspace._loads import KEYS_PER_PART, PART_COUNT
from cranberrylever.keyspace._ranges import FREE, HELD, KEY_SPACE_SIZE, RELEASING, KeyRange, RangeEdit

IDLE_WORK = 0.02
"""Work in seconds per second that all parts together count for without any request."""

MOVE_ABOVE = 1.4
"""A busy target gives work away when its share is this much above its fair one."""

BUSY_FROM = 0.55
"""Share of its capacity from which a target is busy, so that callers wait there."""

FAR_ABOVE = 3.0
"""A target that is not busy gives work away from here on: callers of moving keys wait for 0.3 s."""

IDLE_BELOW = 0.15
"""Share of its capacity below which a target gives nothing away for balance."""

HOT_SHARE = 0.6
"""Share of a target's capacity from which one part alone decides where it should be."""

HOT_GAIN = 0.75
"""A hot part moves to a faster target when its own has less than this share of that one's capacity."""

FULL_UTILIZATION = 0.75
"""Share of all capacity from which work is divided by capacity alone."""

FAST_PREFERENCE = 6.0
"""Exponent of a target's speed in its share while nothing is used."""

FILL_LIMIT = 0.7
"""Share of its capacity that a target's fair share fills at most while others have room."""

WIDTH_COST = 12.0
"""What a piece of all keys would lose against a narrow one that carries as much work."""

MAX_MOVES = 12
"""Moves that may be under way at once, since callers of moving keys wait."""


@attrs.frozen
class PlanOwner:
    """A target that may own keys.

    ``capacity`` is in seconds of work per second; ``weight`` is its fair share of the work relative to the
    others.
    """

    incarnation: tuple[str, int]
    capacity: float
    weight: float


@attrs.frozen
class KeyPlan:
    """Edits to propose: free ranges to assign, and held ones to release for a better balance."""

    assignments: tuple[RangeEdit, ...]
    releases: tuple[RangeEdit, ...]


class _Share:
    """A target with its work while a plan is made."""

    def __init__(self, owner: PlanOwner, fair: float) -> None:
        self.incarnation = owner.incarnation
        self.capacity = owner.capacity
        self.fair = fair
        self.work = 0.0
        self.ranges = 0

    @property
    def ratio(self) -> float:
        return self.work / self.fair

    @property
    def room(self) -> float:
        return self.fair - self.work


def plan_keys(
    ranges: Sequence[KeyRange],
    owners: Sequence[PlanOwner],
    work: Sequence[float],
    pending_moves: int,
    may_balance: bool,
) -> KeyPlan:
    """Assign free ranges and choose parts to move from busy targets to idle ones.

    Args:
        ranges: The table of one service in key order.
        owners: Targets that may receive keys; others give theirs away elsewhere.
        work: Recent work of each part.
        pending_moves: Moves that have not ended.
        may_balance: Whether ranges may be released for balance.
    """
    if not owners:
        return KeyPlan((), ())
    sums = cumulative_work(work)
    shares = _make_shares(ranges, owners, sums)
    assignments = _assign(ranges, shares, sums)
    releases: list[RangeEdit] = []
    if may_balance:
        releases = _balance(ranges, shares, sums, MAX_MOVES - pending_moves)
    return KeyPlan(tuple(assignments), tuple(releases))


def fair_weight(capacity: float, speed: float, utilization: float) -> float:
    """Return a target's share of the work.

    With room to spare fast targets get more than their capacity asks for, because each request is answered
    sooner there; the more is used, the closer shares come to capacities.
    """
    spare = max(0.0, 1.0 - utilization / FULL_UTILIZATION)
    return capacity * speed ** (FAST_PREFERENCE * spare)


def plan_merges(ranges: Sequence[KeyRange], limit: int) -> list[RangeEdit]:
    """Return assignments that join neighbouring ranges of one owner, so that one grant serves both."""
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


def cumulative_work(work: Sequence[float]) -> list[float]:
    """Return the work before each part; each counts a little so that idle keys are divided too."""
    base = IDLE_WORK / PART_COUNT
    sums = [0.0]
    total = 0.0
    for value in work:
        total += value + base
        sums.append(total)
    return sums


def work_in_range(first: int, last: int, sums: Sequence[float]) -> float:
    """Return the work of a range of keys, with a share of the parts that it holds only a part of."""
    return _work_before(last + 1, sums) - _work_before(first, sums)


def _work_before(key: int, sums: Sequence[float]) -> float:
    part, rest = divmod(key, KEYS_PER_PART)
    if rest == 0:
        return sums[part]
    return sums[part] + (sums[part + 1] - sums[part]) * rest / KEYS_PER_PART


def _make_shares(
    ranges: Sequence[KeyRange], owners: Sequence[PlanOwner], sums: Sequence[float]
) -> dict[tuple[str, int], _Share]:
    fair = _fair_work(owners, sums[-1])
    shares = {
        owner.incarnation: _Share(owner, fair[owner.incarnation])
        for owner in sorted(owners, key=lambda owner: owner.incarnation)
    }
    for item in ranges:
        share = shares.get(item.incarnation)
        if item.phase == HELD and share is not None:
            share.work += work_in_range(item.first, item.last, sums)
            share.ranges += 1
    return shares


def _fair_work(owners: Sequence[PlanOwner], work: float) -> dict[tuple[str, int], float]:
    """Divide work by weight, but fill no target beyond the limit while others stay below it."""
    capacity = sum(owner.capacity for owner in owners)
    limit = max(FILL_LIMIT, work / capacity)
    fair: dict[tuple[str, int], float] = {}
    rest = sorted(owners, key=lambda owner: (owner.capacity / owner.weight, owner.incarnation))
    weight = sum(owner.weight for owner in owners)
    for owner in rest:
        share = min(work * owner.weight / weight, limit * owner.capacity)
        fair[owner.incarnation] = share
        work -= share
        weight -= owner.weight
    return fair


def _assign(
    ranges: Sequence[KeyRange], shares: dict[tuple[str, int], _Share], sums: Sequence[float]
) -> list[RangeEdit]:
    """Divide the free ranges among the targets with most room, in pieces that fit."""
    edits: list[RangeEdit] = []
    for item in ranges:
        first = item.first
        while item.phase == FREE and first <= item.last:
            share = max(shares.values(), key=lambda share: (share.room / share.fair, share.incarnation))
            last = _fitting_end(first, item.last, share.room, sums)
            if work_in_range(first, last, sums) > share.capacity * HOT_SHARE:
                share = max(shares.values(), key=_worth_for_hot_part)
            share.work += work_in_range(first, last, sums)
            share.ranges += 1
            edits.append(RangeEdit(first, last, HELD, *share.incarnation))
            first = last + 1
    return edits


def _worth_for_hot_part(share: _Share) -> tuple[float, tuple[str, int]]:
    """Rank a target for a part that fills one alone: by capacity, less what it holds above its share.

    Its other ranges are given away afterwards, since it is then the busiest.
    """
    return share.capacity - max(0.0, share.work - share.fair), share.incarnation


def _misplaced_hot_part(
    available: Sequence[KeyRange], shares: dict[tuple[str, int], _Share], sums: Sequence[float]
) -> RangeEdit | None:
    """Return a part that fills its target while a much faster one is free of such parts."""
    best = max(shares.values(), key=_worth_for_hot_part)
    for share in shares.values():
        is_overloaded = share.work > share.capacity and share.capacity < HOT_GAIN * best.capacity
        if not is_overloaded or best.work > best.capacity:
            continue
        parts = [
            part
            for item in available
            if item.incarnation == share.incarnation
            for part in range(item.first // KEYS_PER_PART, item.last // KEYS_PER_PART + 1)
        ]
        hottest = max(parts, key=lambda part: sums[part + 1] - sums[part])
        if sums[hottest + 1] - sums[hottest] > HOT_SHARE * share.capacity:
            first = hottest * KEYS_PER_PART
            return RangeEdit(first, first + KEYS_PER_PART - 1, RELEASING)
    return None


def _fitting_end(first: int, last: int, room: float, sums: Sequence[float]) -> int:
    """Return the last key of the longest piece from ``first`` whose work fits, at least one part long."""
    if work_in_range(first, last, sums) <= room:
        return last
    low = min(last, (first // KEYS_PER_PART + 1) * KEYS_PER_PART - 1)
    high = last
    while low < high:
        middle = (low + high + 1) // 2
        middle = middle // KEYS_PER_PART * KEYS_PER_PART + KEYS_PER_PART - 1
        middle = min(middle, high)
        if work_in_range(first, middle, sums) <= room:
            low = middle
            if middle == high:
                break
        else:
            high = min(middle - KEYS_PER_PART, high - 1)
    return max(low, min(last, (first // KEYS_PER_PART + 1) * KEYS_PER_PART - 1))


def _balance(
    ranges: Sequence[KeyRange], shares: dict[tuple[str, int], _Share], sums: Sequence[float], limit: int
) -> list[RangeEdit]:
    """Release parts of the busiest targets; the next plan assigns them to those with most room."""
    releases: list[RangeEdit] = []
    available = [item for item in ranges if item.phase == HELD and item.incarnation in shares]
    hot = _misplaced_hot_part(available, shares, sums) if limit > 0 else None
    if hot is not None:
        return [hot]
    while len(releases) < limit:
        receiver = min(shares.values(), key=lambda share: share.ratio)
        donors = [share for share in shares.values() if _gives(share, receiver)]
        donors.sort(key=lambda share: -share.ratio)
        found = next(filter(None, (_move(donor, receiver, available, sums) for donor in donors)), None)
        if found is None:
            break
        releases.append(found)
        available = _without(available, found)
    return releases


def _gives(donor: _Share, receiver: _Share) -> bool:
    """Tell whether a target has more than its share and callers gain when it gives some away."""
    utilization = donor.work / donor.capacity
    is_busy = utilization > BUSY_FROM and donor.ratio > MOVE_ABOVE
    is_far_off = utilization > IDLE_BELOW and donor.ratio > FAR_ABOVE
    is_donor = donor is not receiver and donor.work > donor.fair
    return is_donor and (is_busy or is_far_off or receiver.ranges == 0)


def _move(
    donor: _Share, receiver: _Share, available: Sequence[KeyRange], sums: Sequence[float]
) -> RangeEdit | None:
    """Return the piece that moves from one target to another, with the work of both brought up to date."""
    wanted = min(donor.work - donor.fair, receiver.room)
    piece = _edge_piece([item for item in available if item.incarnation == donor.incarnation], wanted, sums)
    if piece is None:
        return None
    moved = work_in_range(piece.first, piece.last, sums)
    if receiver.ratio + moved / receiver.fair > donor.ratio:
        return None
    donor.work -= moved
    receiver.work += moved
    receiver.ranges += 1
    return piece


def _edge_piece(items: Sequence[KeyRange], wanted: float, sums: Sequence[float]) -> RangeEdit | None:
    """Return the piece at the end of a range whose work comes closest to ``wanted`` from below.

    Without one it is the piece with least work. Narrow pieces are preferred, because idle keys gain nothing
    by moving.
    """
    candidates = []
    for item in items:
        whole = RangeEdit(item.first, item.last, RELEASING) if len(items) > 1 else None
        if whole is not None and work_in_range(whole.first, whole.last, sums) > wanted:
            whole = None
        for piece in (whole, _head(item, wanted, sums), _tail(item, wanted, sums)):
            if piece is not None:
                moved = work_in_range(piece.first, piece.last, sums)
                closeness = moved / wanted if moved <= wanted else -moved / wanted
                width = (piece.last - piece.first + 1) / KEY_SPACE_SIZE
                candidates.append((closeness - WIDTH_COST * width, piece))
    if not candidates:
        return None
    return max(candidates, key=lambda candidate: candidate[0])[1]


def _head(item: KeyRange, wanted: float, sums: Sequence[float]) -> RangeEdit | None:
    last = _fitting_end(item.first, item.last, wanted, sums)
    if last >= item.last:
        return None
    return RangeEdit(item.first, last, RELEASING)


def _tail(item: KeyRange, wanted: float, sums: Sequence[float]) -> RangeEdit | None:
    """Return the longest piece at the end whose work fits, at least one part long."""
    low = item.first // KEYS_PER_PART + 1
    high = item.last // KEYS_PER_PART
    while low < high:
        middle = (low + high) // 2
        if work_in_range(middle * KEYS_PER_PART, item.last, sums) <= wanted:
            high = middle
        else:
            low = middle + 1
    if high * KEYS_PER_PART <= item.first:
        return None
    return RangeEdit(high * KEYS_PER_PART, item.last, RELEASING)


def _without(items: Sequence[KeyRange], piece: RangeEdit) -> list[KeyRange]:
    """Return the ranges less a piece at the end of one of them."""
    rest: list[KeyRange] = []
    for item in items:
        if not item.overlaps(piece.first, piece.last):
            rest.append(item)
        elif item.first < piece.first:
            rest.append(attrs.evolve(item, last=piece.first - 1))
        elif piece.last < item.last:
            rest.append(attrs.evolve(item, first=piece.last + 1))
    return rest
