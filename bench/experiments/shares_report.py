"""Tables and plot of the experiment on shares of work."""

from pathlib import Path

from bench.experiments import shares
from bench.experiments.model import CANOPY, PBDTC, Workload


def write(seeds: range, plot_path: Path) -> list[str]:
    """Run the experiment and write its plot; return the lines of its report."""
    results = {workload: shares.run(workload, seeds) for workload in (CANOPY, PBDTC)}
    lines = [f"# {shares.__doc__}"]
    for workload, by_policy in results.items():
        lines += [f"## {workload.name}: mean credit by work / capacity", "", *_table(by_policy), ""]
    _plot(results, plot_path)
    return lines


def _table(results: dict[str, list[float]]) -> list[str]:
    """Return the results as lines of a Markdown table, one row per policy."""
    headers = [f"{utilization:.1f}" for utilization in shares.UTILIZATIONS]
    lines = ["| policy | " + " | ".join(headers) + " |", "| --- " * (len(headers) + 1) + "|"]
    for policy, values in results.items():
        lines.append(f"| {policy} | " + " | ".join(f"{value:.3f}" for value in values) + " |")
    return lines


def _plot(results: dict[Workload, dict[str, list[float]]], path: Path) -> None:
    """Write a plot with one panel per workload to ``path``."""
    import matplotlib.pyplot as plt

    figure, panels = plt.subplots(1, len(results), figsize=(10, 4), sharey=True)
    for panel, (workload, by_policy) in zip(panels, results.items(), strict=True):
        for policy, values in by_policy.items():
            panel.plot(shares.UTILIZATIONS, values, marker="o", label=policy)
        panel.set_title(workload.name)
        panel.set_xlabel("work / capacity")
    panels[0].set_ylabel("mean credit of a request")
    panels[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)
