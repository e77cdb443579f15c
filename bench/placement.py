"""Figures of the planner: imbalance and churn beside the mapping by hash modulo."""

from bench.figure import Figure
from bench.planner import SEED, Comparison, make_workload, measure_churn, measure_imbalance

# The excess of the busiest target may be at most this part of the baseline's.
EXCESS_PART = 0.5


async def run_imbalance(seed: int = SEED) -> list[Figure]:
    """Measure the load of the busiest target over the mean after settling."""
    result = measure_imbalance(make_workload(), seed)
    holds = result.value <= result.bound and result.value - 1 <= EXCESS_PART * (result.baseline - 1)
    return [to_figure(result, f"<= {result.bound:g}, half excess", holds, seed)]


async def run_churn(seed: int = SEED) -> list[Figure]:
    """Measure the moves when a target leaves and returns over the least possible number."""
    result = measure_churn(make_workload(), seed)
    return [to_figure(result, f"<= {result.bound:g}", result.value <= result.bound, seed)]


def to_figure(result: Comparison, bound: str, holds: bool, seed: int) -> Figure:
    """Return a comparison as a figure."""
    note = f"{result.unit}, seed {seed}; baseline: hash modulo"
    return Figure(result.name, result.value, "", result.baseline, bound, holds, note)
