"""Runs seeds of the soak test in turn: ``python -m bench.routes --seed 1 --seeds 50 --seconds 20``."""

import argparse
import asyncio
import sys

from bench.routes.soak import run_soak


def main() -> int:
    """Run the seeds and print the problems; the exit status is 1 when a seed fails."""
    parser = argparse.ArgumentParser(prog="python -m bench.routes", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    failed = []
    for seed in range(options.seed, options.seed + options.seeds):
        problems = asyncio.run(run_soak(seed, options.seconds))
        for problem in problems:
            print(f"  {problem}")
        if problems:
            failed.append(seed)
    print(f"{options.seeds} seeds from {options.seed}: failed {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
