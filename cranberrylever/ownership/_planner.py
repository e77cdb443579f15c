"""Placement and balancing of shards as a pure function of owners, loads and capacities."""

import math
from collections.abc import Mapping, Sequence

import attrs

# Number of shards of a service that are releasing, free or moving at which balancing releases no more.
MAX_MOVES_IN_FLIGHT = 32
# Ratios of a target's load to its fair share at which balancing starts and stops.
START_MAX_RATIO = 1.06
START_MIN_RATIO = 0.85
STOP_MAX_RATIO = 1.03
STOP_MIN_RATIO = 0.95
# Ratio of load to fair share up to which a shard without an owner is placed on its last owner.
LAST_OWNER_MAX_RATIO = 1.06
# Requests added to the count of each shard; see ``shard_shares``.
PRIOR_REQUESTS = 2.0
# Maximum number of moves in one plan, including those beyond the limit of releases.
MAX_PLANNED_MOVES = 512


@attrs.frozen
class PlanTarget:
    """A target that may own shards; ``capacity`` is relative to that of the other targets."""

    target_id: str
    capacity: float


@attrs.frozen
class PlanShard:
    """A shard; ``load`` is relative to that of the other shards.

    ``owner`` is the target that keeps the shard unless the plan moves it, ``None`` for a shard to place.
    ``last_owner`` is preferred for placement. ``is_free`` tells whether the shard can be assigned now.
    """

    shard: int
    load: float
    owner: str | None
    last_owner: str = ""
    is_free: bool = False


@attrs.frozen
class Placement:
    """A free shard and the target to assign it to."""

    shard: int
    target_id: str


@attrs.frozen
class Plan:
    """Result of the planner.

    ``releases`` are owned shards to move for balance, largest benefit first. ``is_balanced`` is true if no
    further move is needed, including moves beyond the limit of releases.
    """

    placements: tuple[Placement, ...]
    releases: tuple[int, ...]
    is_balanced: bool


class _Bin:
    """A target with its planned load; ``share`` is its fair share of the total load."""

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

    ``PRIOR_REQUESTS`` is added to the count of each shard, because the counts of a short or idle period are
    not exact.
    """
    total = sum(counts.get(shard, 0.0) for shard in shards) + PRIOR_REQUESTS * len(shards)
    return {shard: (counts.get(shard, 0.0) + PRIOR_REQUESTS) / total for shard in shards}


def load_noise(counts: Mapping[int, float], shards: int, targets: int) -> float:
    """Return the relative standard deviation of one target's load, as a Poisson count of requests."""
    per_target = (sum(counts.values()) + PRIOR_REQUESTS * shards) / max(1, targets)
    return 1.0 / math.sqrt(per_target) if per_target > 0 else 1.0


def plan(
    shards: Sequence[PlanShard],
    targets: Sequence[PlanTarget],
    max_releases: int = MAX_MOVES_IN_FLIGHT,
    noise: float = 0.0,
    is_rebalancing: bool = False,
) -> Plan:
    """Place shards without an owner and balance the load with few moves.

    Args:
        shards: All shards of one service.
        targets: The targets that may own shards; the shards of a target without capacity are released.
        max_releases: Maximum number of releases; with 0 shards are only placed.
        noise: Relative uncertainty of a target's load; widens the thresholds at which moves start.
        is_rebalancing: Moves of an earlier plan remain, so the stop thresholds apply.

    Returns:
        The plan, which depends only on the arguments.
    """
    bins = _make_bins(shards, targets)
    if not bins:
        return Plan((), (), True)
    displaced = [shard.shard for shard in shards if shard.owner is not None and shard.owner not in bins]
    placements = _place(shards, bins)
    if max_releases <= 0:
        return Plan(placements, (), False)
    if displaced:
        return Plan(placements, tuple(displaced[:max_releases]), False)
    max_ratio = STOP_MAX_RATIO if is_rebalancing else START_MAX_RATIO + noise
    min_ratio = STOP_MIN_RATIO if is_rebalancing else START_MIN_RATIO - noise
    if _is_within_thresholds(bins, max_ratio, min_ratio):
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
    """Choose a target for each shard without an owner, highest load first.

    Shards that are not free yet, or whose owner has no capacity, are placed as well, so that their load
    counts.
    """
    placements = []
    unowned = [shard for shard in shards if shard.owner not in bins]
    for shard in sorted(unowned, key=lambda shard: (-shard.load, shard.shard)):
        chosen = _choose_target(shard, bins)
        chosen.load += shard.load
        if shard.is_free:
            placements.append(Placement(shard.shard, chosen.target_id))
    return tuple(placements)


def _choose_target(shard: PlanShard, bins: dict[str, _Bin]) -> _Bin:
    last = bins.get(shard.last_owner)
    if last is not None and last.ratio_with(shard.load) <= LAST_OWNER_MAX_RATIO:
        return last
    return min(bins.values(), key=lambda candidate: candidate.ratio_with(shard.load))


def _is_within_thresholds(bins: dict[str, _Bin], max_ratio: float, min_ratio: float) -> bool:
    return all(min_ratio <= item.ratio <= max_ratio for item in bins.values())


def _balance(bins: dict[str, _Bin]) -> list[int]:
    """Return the shards to move until every target is within the stop thresholds."""
    moves: list[int] = []
    while len(moves) < MAX_PLANNED_MOVES and not _is_within_thresholds(bins, STOP_MAX_RATIO, STOP_MIN_RATIO):
        shard = _move_shard(bins)
        if shard is None:
            break
        moves.append(shard)
    return moves


def _move_shard(bins: dict[str, _Bin]) -> int | None:
    """Move a shard from the most loaded target that has a suitable one to the least loaded target."""
    by_ratio = sorted(bins.values(), key=lambda item: item.ratio)
    for donor in reversed(by_ratio):
        if donor.ratio <= 1.0:
            return None
        receiver = by_ratio[0]
        shard = _choose_shard(donor, receiver)
        if shard is not None:
            load = donor.movable.pop(shard)
            donor.load -= load
            receiver.load += load
            return shard
    return None


def _choose_shard(donor: _Bin, receiver: _Bin) -> int | None:
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
    # If the move only swaps which of the two targets is overloaded, the next plan reverts it.
    is_improvement = receiver.ratio_with(load) < donor.ratio - (START_MAX_RATIO - STOP_MAX_RATIO)
    return shard if is_improvement else None
