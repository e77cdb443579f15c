"""Imbalance and churn of the planner, compared with a mapping by hash modulo the number of targets."""

import random
from collections.abc import Mapping, Sequence

import attrs
import xxhash

from bench.figure import Figure, at_most
from cranberrylever.ownership import PlanShard, PlanTarget, load_noise, plan, shard_shares

KEYS = 1_000_000
ZIPF_EXPONENT = 0.9
TARGETS = 20
SHARDS = 1024
OBSERVED_REQUESTS = 60_000
MAX_ROUNDS = 500
SEED = 1
IMBALANCE_BOUND = 1.15
CHURN_BOUND = 1.05


@attrs.frozen
class Workload:
    """Exact share of the load per shard, per target of the baseline (``modulo``) and of the hottest key."""

    shards: dict[int, float]
    modulo: list[float]
    hottest: float


@attrs.define
class Placement:
    """Owners of shards under the planner.

    ``moved`` counts changes of owner, intermediate ones included.
    """

    counts: Mapping[int, float]
    owners: dict[int, str | None]
    last_owners: dict[int, str] = attrs.field(factory=dict)
    moved: int = 0

    def settle(self, targets: Sequence[str]) -> None:
        """Execute plans until no shard is left to move, in at most ``MAX_ROUNDS`` rounds."""
        for shard, owner in self.owners.items():
            if owner is not None and owner not in targets:
                self.owners[shard] = None
        is_rebalancing = False
        for _ in range(MAX_ROUNDS):
            result = self._plan(targets, is_rebalancing)
            for placement in result.placements:
                self._assign(placement.shard, placement.target_id)
            for shard in result.releases:
                self.owners[shard] = None
                self.last_owners.pop(shard, None)
            is_rebalancing = not result.is_balanced
            if result.is_balanced and not result.placements:
                return

    def _plan(self, targets: Sequence[str], is_rebalancing: bool):
        shares = shard_shares(self.counts, list(self.owners))
        shards = [
            PlanShard(shard, shares[shard], owner, self.last_owners.get(shard, ""), owner is None)
            for shard, owner in self.owners.items()
        ]
        noise = load_noise(self.counts, len(self.owners), len(targets))
        return plan(
            shards, [PlanTarget(name, 1.0) for name in targets], noise=noise, is_rebalancing=is_rebalancing
        )

    def _assign(self, shard: int, target: str) -> None:
        self.owners[shard] = target
        self.last_owners[shard] = target
        self.moved += 1


def make_workload(keys: int = KEYS) -> Workload:
    """Return the load of ``keys`` keys with a Zipf distribution."""
    weights = [rank**-ZIPF_EXPONENT for rank in range(1, keys + 1)]
    total = sum(weights)
    shards = dict.fromkeys(range(SHARDS), 0.0)
    modulo = [0.0] * TARGETS
    for rank, weight in enumerate(weights):
        key_hash = xxhash.xxh3_64_intdigest(f"build-{rank}".encode())
        shards[key_hash % SHARDS] += weight / total
        modulo[key_hash % TARGETS] += weight / total
    return Workload(shards, modulo, weights[0] / total)


def observe(workload: Workload, seed: int) -> dict[int, float]:
    """Return request counts per shard of a sample of ``OBSERVED_REQUESTS`` requests."""
    chooser = random.Random(seed)
    counts = dict.fromkeys(workload.shards, 0.0)
    shards, weights = list(workload.shards), list(workload.shards.values())
    for shard in chooser.choices(shards, weights, k=OBSERVED_REQUESTS):
        counts[shard] += 1
    return counts


def imbalance(loads: Mapping[str, float]) -> float:
    """Return the ratio of the highest load to the mean."""
    return max(loads.values()) * len(loads) / sum(loads.values())


def settled_placement(workload: Workload, targets: Sequence[str], seed: int = SEED) -> Placement:
    """Place all shards without load data, then execute plans for the observed load."""
    placement = Placement({}, dict.fromkeys(workload.shards))
    placement.settle(targets)
    placement.counts = observe(workload, seed)
    placement.settle(targets)
    return placement


def measure_imbalance(workload: Workload, seed: int = SEED) -> Figure:
    """Return the ratio of the load of the busiest target to the mean once no moves are left."""
    targets = target_names()
    placement = settled_placement(workload, targets, seed)
    loads = dict.fromkeys(targets, 0.0)
    for shard, owner in placement.owners.items():
        loads[owner] += workload.shards[shard]
    baseline = imbalance({str(position): load for position, load in enumerate(workload.modulo)})
    note = f"planner alone, {OBSERVED_REQUESTS} requests observed; baseline: hash modulo targets"
    return at_most("imbalance", imbalance(loads), "", IMBALANCE_BOUND, baseline, note)


def measure_churn(workload: Workload, seed: int = SEED) -> Figure:
    """Return the ratio of moves to the minimum when each target in turn leaves and returns.

    The minimum is the number of shards of the leaving target plus an equal share on its return.
    """
    targets = target_names()
    moved = least = 0
    for leaving in targets:
        placement = settled_placement(workload, targets, seed)
        placement.moved = 0
        placement.counts = observe(workload, seed + 1)
        least += sum(1 for owner in placement.owners.values() if owner == leaving) + SHARDS // TARGETS
        placement.settle([name for name in targets if name != leaving])
        placement.counts = observe(workload, seed + 2)
        placement.settle(targets)
        moved += placement.moved
    leaves = sum(1 for shard in range(SHARDS) if shard % TARGETS != shard % (TARGETS - 1))
    owned = sum(1 for shard in range(SHARDS) if shard % TARGETS == 0)
    baseline = 2 * leaves / (owned + SHARDS // TARGETS)
    note = "planner alone, each of 20 targets in turn; minimum: its shards, then an equal share"
    return at_most("churn", moved / least, "", CHURN_BOUND, baseline, note)


def target_names() -> list[str]:
    """Return the ids of the targets."""
    return [f"t{number:02}" for number in range(TARGETS)]


def excess(imbalance_figure: Figure) -> Figure:
    """Return the load of the busiest target above the mean; the bound is half of the baseline's."""
    value, baseline = imbalance_figure.value - 1, imbalance_figure.baseline - 1
    return at_most("imbalance_excess", value, "", baseline / 2, baseline, imbalance_figure.note)


async def run_imbalance(keys: int = KEYS) -> list[Figure]:
    """Measure the imbalance of the planner with ``keys`` keys."""
    balance = measure_imbalance(make_workload(keys))
    return [balance, excess(balance)]


async def run_churn(keys: int = KEYS) -> list[Figure]:
    """Measure the churn of the planner with ``keys`` keys."""
    return [measure_churn(make_workload(keys))]
