"""Runs an experiment and writes its table and plot: ``python -m bench.experiments shares``."""

import argparse
from pathlib import Path

from bench.experiments import shares
from bench.experiments.model import CANOPY, PBDTC, Workload

OUTPUT_DIR = Path("docs/experiments")
EXPERIMENTS = {"shares": shares}


def table(results: dict[str, list[float]]) -> list[str]:
    """Return the results as lines of a Markdown table, one row per policy."""
    headers = [f"{utilization:.1f}" for utilization in shares.UTILIZATIONS]
    lines = ["| policy | " + " | ".join(headers) + " |", "| --- " * (len(headers) + 1) + "|"]
    for policy, values in results.items():
        lines.append(f"| {policy} | " + " | ".join(f"{value:.3f}" for value in values) + " |")
    return lines


def plot(results: dict[Workload, dict[str, list[float]]], path: Path) -> None:
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


def main() -> None:
    """Run the experiment that the command line names."""
    parser = argparse.ArgumentParser(prog="python -m bench.experiments", description=__doc__)
    parser.add_argument("name", choices=sorted(EXPERIMENTS))
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    experiment = EXPERIMENTS[options.name]
    seeds = range(options.seeds)
    results = {workload: experiment.run(workload, seeds) for workload in (CANOPY, PBDTC)}
    lines = [
        f"# {experiment.__doc__}",
        "",
        f"`make experiment NAME={options.name}`, {options.seeds} seeds.",
        "",
    ]
    for workload, by_policy in results.items():
        lines += [f"## {workload.name}: mean credit by work / capacity", "", *table(by_policy), ""]
    lines.append(f"![plot]({options.name}.png)")
    OUTPUT_DIR.mkdir(parents=True, exist_ok=True)
    plot(results, OUTPUT_DIR / f"{options.name}.png")
    (OUTPUT_DIR / f"{options.name}.md").write_text("\n".join(lines) + "\n")
    print("\n".join(lines))


if __name__ == "__main__":
    main()
