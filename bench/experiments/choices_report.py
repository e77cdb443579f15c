"""Tables and plot of the experiment on the choice of a target."""

import concurrent.futures
import itertools
import statistics
from collections.abc import Callable
from pathlib import Path

from bench.experiments import choices
from bench.experiments.choices import WAYS, simulation_of
from bench.experiments.placement import LOADS, WARM_UP_S, Placement, place

PROCESSES = 3

Results = dict[tuple[str, str], list[Placement]]


def write(seeds: range, plot_path: Path) -> list[str]:
    """Run the experiment and write its plot; return the lines of its report."""
    pairs = list(itertools.product(LOADS, WAYS))
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as executor:
        results = dict(zip(pairs, executor.map(_run, pairs, itertools.repeat(seeds)), strict=True))
    _plot(results, plot_path)
    return [
        f"# {choices.__doc__}",
        "## Utilization: largest difference from the mean, relative to it, worst seed",
        "",
        *_table(results, lambda items: f"{max(item.utilization_spread for item in items):.2f}"),
        "",
        "## Requests: busiest target over mean, worst seed",
        "",
        *_table(results, lambda items: f"{max(item.busiest_over_mean for item in items):.2f}"),
        "",
        "## Mean credit of a request",
        "",
        *_table(results, lambda items: f"{statistics.mean(item.result.credit_share for item in items):.3f}"),
        "",
    ]


def _run(pair: tuple[str, str], seeds: range) -> list[Placement]:
    load, way = pair
    return [place(LOADS[load], seed, WARM_UP_S, simulation_of(way)) for seed in seeds]


def _table(results: Results, cell: Callable[[list[Placement]], str]) -> list[str]:
    lines = ["| load | " + " | ".join(WAYS) + " |", "| --- " * (len(WAYS) + 1) + "|"]
    for load in LOADS:
        lines.append(f"| {load} | " + " | ".join(cell(results[load, way]) for way in WAYS) + " |")
    return lines


def _plot(results: Results, path: Path) -> None:
    """Write a plot of the utilization of all loads by way to ``path``."""
    import matplotlib.pyplot as plt

    figure, panel = plt.subplots(figsize=(10, 5))
    for way in WAYS:
        spreads = [max(item.utilization_spread for item in results[load, way]) for load in LOADS]
        panel.plot(spreads, range(len(LOADS)), marker="o", label=way)
    panel.set_yticks(range(len(LOADS)), LOADS)
    panel.set_xlabel("largest difference of utilization from the mean, relative to it")
    panel.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)
