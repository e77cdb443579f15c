"""Runs the benchmarks: one line a figure, with the baseline of the same run."""

import argparse
import asyncio
import importlib
import sys

from bench.figure import Figure

# Modules in the order in which they run; each has ``async def run() -> list[Figure]``.
MODULES = (
    "planner",
    "owner_loss",
    "leader_loss",
    "domain_out",
    "in_force",
    "cold_peak",
    "double_runs",
    "forward_cpu",
    "straggler",
)


def main() -> int:
    """Run the benchmarks; the exit status is 1 when a bound is missed."""
    parser = argparse.ArgumentParser(prog="python -m bench", description=__doc__)
    parser.add_argument("--only", choices=MODULES, help="run a single figure")
    parser.add_argument("--size", type=int, help="rounds, kills, tickets or requests (default: as designed)")
    options = parser.parse_args()
    names = (options.only,) if options.only else MODULES
    figures = []
    for name in names:
        module = importlib.import_module(f"bench.{name}")
        size = () if options.size is None else (options.size,)
        for figure in asyncio.run(module.run(*size)):
            print(figure.line(), flush=True)
            figures.append(figure)
    return 1 if missed(figures) else 0


def missed(figures: list[Figure]) -> bool:
    """Return whether a figure misses its bound."""
    return any(figure.holds is False for figure in figures)


if __name__ == "__main__":
    sys.exit(main())
