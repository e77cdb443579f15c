"""The planner of keyed services: a pure function from owners and loads to assignments and releases."""

import math
from collections.abc import Mapping, Sequence

import attrs

MAX_MOVES_IN_FLIGHT = 32
START_OVERLOAD = 1.06
START_UNDERLOAD = 0.85
STOP_OVERLOAD = 1.03
STOP_UNDERLOAD = 0.95
PREFER_LAST_OWNER_BELOW = 1.06
PRIOR_REQUESTS = 2.0
MAX_PLANNED_MOVES = 512


@attrs.frozen
class PlanTarget:
    """A target that may own shards; ``capacity`` is relative to that of the other targets."""

    target_id: str
    capacity: float


@attrs.frozen
class PlanShard:
    """One shard.

    ``owner`` is the target that keeps it unless the plan moves it, or ``None`` when it has to be placed.
    ``last_owner`` is preferred then. ``is_free`` tells whether it can be assigned now.
    """

    shard: int
    load: float
    owner: str | None
    last_owner: str = ""
    is_free: bool = False


@attrs.frozen
class Placement:
    """A free shard and the target that shall own it."""

    shard: int
    target_id: str


@attrs.frozen
class Plan:
    """Result of the planner.

    ``releases`` are owned shards to move for balance, in order of benefit. ``is_balanced`` tells that nothing
    is left to move, also beyond the limit of moves in flight.
    """

    placements: tuple[Placement, ...]
    releases: tuple[int, ...]
    is_balanced: bool


class _Bin:
    """A target with its shards while a plan is made; ``excess`` is its load over its fair share."""

    def __init__(self, target_id: str, share: float) -> None:
        self.target_id = target_id
        self.share = share
        self.load = 0.0
        self.movable: dict[int, float] = {}

    @property
    def ratio(self) -> float:
        return self.load / self.share

    @property
    def excess(self) -> float:
        return self.load - self.share

    def ratio_with(self, load: float) -> float:
        return (self.load + load) / self.share


def shard_shares(counts: Mapping[int, float], shards: Sequence[int]) -> dict[int, float]:
    """Return each shard's share of the load, from its recent requests.

    A few requests are added to every shard, so that a short or idle time is not taken for exact knowledge.
    """
    total = sum(counts.get(shard, 0.0) for shard in shards) + PRIOR_REQUESTS * len(shards)
    return {shard: (counts.get(shard, 0.0) + PRIOR_REQUESTS) / total for shard in shards}


def load_noise(counts: Mapping[int, float], shards: int, targets: int) -> float:
    """Return the relative uncertainty of one target's load, one standard deviation of a Poisson count."""
    per_target = (sum(counts.values()) + PRIOR_REQUESTS * shards) / max(1, targets)
    return 1.0 / math.sqrt(per_target) if per_target > 0 else 1.0


def plan(
    shards: Sequence[PlanShard],
    targets: Sequence[PlanTarget],
    max_releases: int = MAX_MOVES_IN_FLIGHT,
    noise: float = 0.0,
    is_settling: bool = False,
) -> Plan:
    """Place shards without an owner and balance the others with few moves.

    Args:
        shards: All shards of one service.
        targets: The targets that may receive shards; one without capacity gives its shards away.
        max_releases: Most releases to return; with 0 shards are only placed.
        noise: Relative uncertainty of a target's load; it widens the thresholds at which moves start.
        is_settling: An earlier plan has not been carried out completely, so the inner thresholds apply.

    Returns:
        The plan; the same arguments give the same plan.
    """
    bins = _make_bins(shards, targets)
    if not bins:
        return Plan((), (), True)
    stranded = [shard.shard for shard in shards if shard.owner is not None and shard.owner not in bins]
    placements = _place(shards, bins)
    if max_releases <= 0:
        return Plan(placements, (), False)
    if stranded:
        return Plan(placements, tuple(stranded[:max_releases]), False)
    over = STOP_OVERLOAD if is_settling else START_OVERLOAD + noise
    under = STOP_UNDERLOAD if is_settling else START_UNDERLOAD - noise
    if _is_within(bins, over, under):
        return Plan(placements, (), True)
    moves = _balance(bins)
    return Plan(placements, tuple(moves[:max_releases]), not moves)


def _make_bins(shards: Sequence[PlanShard], targets: Sequence[PlanTarget]) -> dict[str, _Bin]:
    total_load = sum(shard.load for shard in shards)
    total_capacity = sum(target.capacity for target in targets)
    if total_capacity <= 0 or total_load <= 0:
        return {}
    bins = {
        target.target_id: _Bin(target.target_id, total_load * target.capacity / total_capacity)
        for target in sorted(targets, key=lambda target: target.target_id)
        if target.capacity > 0
    }
    for shard in shards:
        if shard.owner in bins:
            bins[shard.owner].load += shard.load
            bins[shard.owner].movable[shard.shard] = shard.load
    return bins


def _place(shards: Sequence[PlanShard], bins: dict[str, _Bin]) -> tuple[Placement, ...]:
    """Give each shard without an owner to a target, heaviest first.

    Shards that are not free yet, or whose owner has no capacity, are placed too, so that their load is taken
    into account.
    """
    placements = []
    unowned = [shard for shard in shards if shard.owner not in bins]
    for shard in sorted(unowned, key=lambda shard: (-shard.load, shard.shard)):
        chosen = _choose(shard, bins)
        chosen.load += shard.load
        if shard.is_free:
            placements.append(Placement(shard.shard, chosen.target_id))
    return tuple(placements)


def _choose(shard: PlanShard, bins: dict[str, _Bin]) -> _Bin:
    last = bins.get(shard.last_owner)
    if last is not None and last.ratio_with(shard.load) <= PREFER_LAST_OWNER_BELOW:
        return last
    return min(bins.values(), key=lambda candidate: candidate.ratio_with(shard.load))


def _is_within(bins: dict[str, _Bin], over: float, under: float) -> bool:
    return all(under <= item.ratio <= over for item in bins.values())


def _balance(bins: dict[str, _Bin]) -> list[int]:
    """Return the shards to move until every target is within the inner thresholds."""
    moves: list[int] = []
    while len(moves) < MAX_PLANNED_MOVES and not _is_within(bins, STOP_OVERLOAD, STOP_UNDERLOAD):
        shard = _move_one(bins)
        if shard is None:
            break
        moves.append(shard)
    return moves


def _move_one(bins: dict[str, _Bin]) -> int | None:
    """Move the largest shard that fits from the most loaded to the least loaded target that allow it."""
    by_ratio = sorted(bins.values(), key=lambda item: item.ratio)
    for donor in reversed(by_ratio):
        if donor.ratio <= 1.0:
            return None
        receiver = by_ratio[0]
        shard = _pick(donor, receiver)
        if shard is not None:
            load = donor.movable.pop(shard)
            donor.load -= load
            receiver.load += load
            return shard
    return None


def _pick(donor: _Bin, receiver: _Bin) -> int | None:
    if donor is receiver:
        return None
    wanted = min(donor.excess, -receiver.excess)
    fitting = [(load, -shard) for shard, load in donor.movable.items() if 0 < load <= wanted]
    if fitting:
        return -max(fitting)[1]
    larger = [(load, shard) for shard, load in donor.movable.items() if load > wanted]
    if not larger:
        return None
    load, shard = min(larger)
    # A move that only exchanges the roles of the two targets would be undone by the next plan.
    is_improvement = receiver.ratio_with(load) < donor.ratio - (START_OVERLOAD - STOP_OVERLOAD)
    return shard if is_improvement else None
