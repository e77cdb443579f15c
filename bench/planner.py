"""Imbalance and churn of the planner, next to the mapping by hash modulo the number of targets."""

import random
from collections.abc import Mapping, Sequence

import attrs
import xxhash

from cranberrylever.ownership import PlanShard, PlanTarget, load_noise, plan, shard_shares

KEYS = 1_000_000
ZIPF_EXPONENT = 0.9
TARGETS = 20
SHARDS = 1024
OBSERVED_REQUESTS = 60_000
MAX_ROUNDS = 500
SEED = 1


@attrs.frozen
class Comparison:
    """One figure with the baseline of the same run; ``bound`` is that of the design."""

    name: str
    value: float
    unit: str
    baseline: float
    bound: float

    def line(self) -> str:
        """Return the figure as a line of text."""
        ratio = self.value / self.baseline if self.baseline else float("nan")
        return (
            f"{self.name} {self.value:.4f} {self.unit} baseline {self.baseline:.4f} "
            f"ratio {ratio:.4f} bound {self.bound}"
        )


@attrs.frozen
class Workload:
    """Exact share of the load per shard and, for the baseline, per target."""

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
        """Carry out plans until nothing is left to move."""
        for shard, owner in self.owners.items():
            if owner is not None and owner not in targets:
                self.owners[shard] = None
        is_settling = False
        for _ in range(MAX_ROUNDS):
            result = self._plan(targets, is_settling)
            for placement in result.placements:
                self._assign(placement.shard, placement.target_id)
            for shard in result.releases:
                self.owners[shard] = None
                self.last_owners.pop(shard, None)
            is_settling = not result.is_balanced
            if result.is_balanced and not result.placements:
                return

    def _plan(self, targets: Sequence[str], is_settling: bool):
        shares = shard_shares(self.counts, list(self.owners))
        shards = [
            PlanShard(shard, shares[shard], owner, self.last_owners.get(shard, ""), owner is None)
            for shard, owner in self.owners.items()
        ]
        noise = load_noise(self.counts, len(self.owners), len(targets))
        return plan(shards, [PlanTarget(name, 1.0) for name in targets], noise=noise, is_settling=is_settling)

    def _assign(self, shard: int, target: str) -> None:
        self.owners[shard] = target
        self.last_owners[shard] = target
        self.moved += 1


def make_workload(keys: int = KEYS) -> Workload:
    """Return the load of keys drawn from a Zipf distribution."""
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
    """Return request counts per shard as a window of ``OBSERVED_REQUESTS`` would show them."""
    chooser = random.Random(seed)
    counts = dict.fromkeys(workload.shards, 0.0)
    shards, weights = list(workload.shards), list(workload.shards.values())
    for shard in chooser.choices(shards, weights, k=OBSERVED_REQUESTS):
        counts[shard] += 1
    return counts


def imbalance(loads: Mapping[str, float]) -> float:
    """Return the greatest load over the mean."""
    return max(loads.values()) * len(loads) / sum(loads.values())


def settled_placement(workload: Workload, targets: Sequence[str], seed: int = SEED) -> Placement:
    """Place all shards without knowledge of their load, then settle under observed load."""
    placement = Placement({}, dict.fromkeys(workload.shards))
    placement.settle(targets)
    placement.counts = observe(workload, seed)
    placement.settle(targets)
    return placement


def measure_imbalance(workload: Workload, seed: int = SEED) -> Comparison:
    """Return the load of the busiest target over the mean after settling."""
    targets = target_names()
    placement = settled_placement(workload, targets, seed)
    loads = dict.fromkeys(targets, 0.0)
    for shard, owner in placement.owners.items():
        loads[owner] += workload.shards[shard]
    baseline = imbalance({str(position): load for position, load in enumerate(workload.modulo)})
    return Comparison("imbalance", imbalance(loads), "max/mean", baseline, 1.15)


def measure_churn(workload: Workload, seed: int = SEED) -> Comparison:
    """Return the moves when each target in turn leaves and returns, over the least possible number.

    The least number is the shards of the leaving target plus an equal share of all shards on its return.
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
    return Comparison("churn", moved / least, "moves/minimum", baseline, 1.05)


def target_names() -> list[str]:
    """Return the ids of the targets."""
    return [f"t{number:02}" for number in range(TARGETS)]


def main() -> None:
    """Print both figures."""
    workload = make_workload()
    print(measure_imbalance(workload).line())
    print(measure_churn(workload).line())


if __name__ == "__main__":
    main()
