"""How evenly pooled requests are divided among targets, in simulated time."""

import asyncio
from collections.abc import Callable

from bench.experiments.choices import simulation_of
from bench.experiments.placement import LOADS, Placement, place
from bench.experiments.pool import PoolSimulation
from bench.figure import Figure, at_most

CALM_LOADS = ("calm, load 0.5", "calm, load 0.5, 3 domains", "equal, load 0.5")
UNEQUAL_LOADS = ("speeds of 0.5 to 1.5", "2 to 12 slots")
SLOW_LOAD = "one slow for 6 s"
FULL_LOADS = ("equal, load 1.2", "objective of 1 s, load 0.97")
MANY_ENTRIES_LOAD = "80 entries, load 1.2"

MAX_BUSIEST_OVER_MEAN = 1.25
MAX_UTILIZATION_SPREAD = 0.25
MAX_SLOW_SHARE = 0.5
"""Share of the mean that a target of a quarter of its speed may get from 1 s after it became slow."""

MAX_MISSING_SHARE = 0.25
"""Share of the mean that it may still miss 3 s after it has its speed again."""


async def run(seeds: int = 5) -> list[Figure]:
    """Replay the loads in a thread, since each replay has an event loop of its own."""
    return await asyncio.to_thread(_figures, range(seeds))


def _figures(seeds: range) -> list[Figure]:
    note = f"{len(seeds)} seeds, worst; baseline: at random by capacity"
    at_random = simulation_of("at random by capacity")
    loads = {*CALM_LOADS, *UNEQUAL_LOADS, SLOW_LOAD, *FULL_LOADS, MANY_ENTRIES_LOAD}
    chosen, baseline = (_place_all(loads, seeds, simulation) for simulation in (PoolSimulation, at_random))

    def worst(
        names: tuple[str, ...], figure: Callable[[Placement], float], results: dict[str, list[Placement]]
    ) -> float:
        return max(figure(result) for name in names for result in results[name])

    def compared(
        name: str, limit: float, names: tuple[str, ...], figure: Callable[[Placement], float]
    ) -> Figure:
        return at_most(name, worst(names, figure, chosen), "", limit, worst(names, figure, baseline), note)

    return [
        compared("calm_busiest", MAX_BUSIEST_OVER_MEAN, CALM_LOADS, busiest_over_mean),
        compared("unequal_utilization", MAX_UTILIZATION_SPREAD, UNEQUAL_LOADS, utilization_spread),
        compared("slow_share", MAX_SLOW_SHARE, (SLOW_LOAD,), slow_share),
        compared("share_missing_after", MAX_MISSING_SHARE, (SLOW_LOAD,), missing_share),
        compared("refused_needlessly", 0, FULL_LOADS, needless_rejections),
        compared("refused_by_80_entries", 0, (MANY_ENTRIES_LOAD,), needless_rejections),
    ]


def busiest_over_mean(result: Placement) -> float:
    """Return the requests of the busiest target over the mean."""
    return result.busiest_over_mean


def utilization_spread(result: Placement) -> float:
    """Return the largest difference of a target's utilization from the mean, relative to it."""
    return result.utilization_spread


def slow_share(result: Placement) -> float:
    """Return the slow target's share relative to the mean, from 1 s after it became slow."""
    return result.share(0, 6, 11) * len(result.requests)


def missing_share(result: Placement) -> float:
    """Return what the target misses of the mean, from 3 s after it has its speed again."""
    return 1.0 - result.share(0, 14, 16) * len(result.requests)


def needless_rejections(result: Placement) -> float:
    """Return the refusals while a target had a free slot."""
    return result.result.needless_rejections


def _place_all(loads: set[str], seeds: range, simulation: type[PoolSimulation]) -> dict[str, list[Placement]]:
    return {name: [place(LOADS[name], seed, simulation_class=simulation) for seed in seeds] for name in loads}
