"""Runs the benchmarks and prints one line per figure, with a baseline from the same run."""

import argparse
import asyncio
import importlib
import sys

from bench.figure import Figure

# Figures of docs/design.md, section 1.6, in execution order: module and coroutine function, which takes the
# size of the run and returns a list of figures.
FIGURES = {
    "forward_cpu": ("forward_cpu", "run"),
    "straggler_p99": ("straggler", "run"),
    "imbalance": ("planner", "run_imbalance"),
    "churn": ("planner", "run_churn"),
    "placement": ("placement", "run"),
    "owner_loss": ("owner_loss", "run"),
    "double_loss": ("double_loss", "run"),
    "leader_loss": ("leader_loss", "run"),
    "domain_out": ("domain_out", "run"),
    "in_force": ("in_force", "run"),
    "cold_peak": ("cold_peak", "run"),
    "double_runs": ("double_runs", "run"),
}


def main() -> int:
    """Run the benchmarks; the exit status is 1 when a figure misses its bound."""
    parser = argparse.ArgumentParser(prog="python -m bench", description=__doc__)
    parser.add_argument("--only", choices=FIGURES, help="run a single figure")
    parser.add_argument(
        "--size",
        type=int,
        help="requests, seconds, seed, kills, rounds or tickets, depending on the figure (default: its own)",
    )
    options = parser.parse_args()
    names = (options.only,) if options.only else tuple(FIGURES)
    figures = [figure for name in names for figure in measure(name, options.size)]
    return 1 if any(figure.holds is False for figure in figures) else 0


def measure(name: str, size: int | None) -> list[Figure]:
    """Measure one figure and print it."""
    module, function = FIGURES[name]
    run = getattr(importlib.import_module(f"bench.{module}"), function)
    figures = asyncio.run(run() if size is None else run(size))
    for figure in figures:
        print(figure.line(), flush=True)
    return figures


if __name__ == "__main__":
    sys.exit(main())
