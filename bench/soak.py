"""Soak test with seeded random faults; prints the seed when an invariant is violated."""

import argparse
import asyncio
import random
import sys

from bench.cluster import open_cluster
from bench.faults import FaultInjector
from bench.scenario import Layout, start_layout
from bench.trial import Trial

# Few keys, so that requests for one key often overlap and two owners at once are detected.
LAYOUT = Layout(entries=3, keyed=4, pooled=2, keys=20, target={"service_time_ms": 30})
RATE = 60.0


async def soak(seed: int, minutes: float) -> int:
    """Run one seed; returns the number of problems."""
    async with open_cluster(relayed=True) as cluster:
        await start_layout(cluster, LAYOUT)
        injector = FaultInjector(cluster, LAYOUT, random.Random(seed))
        trial = Trial(cluster, LAYOUT, injector)
        trial.start(RATE)
        faults = asyncio.create_task(injector.run())
        await asyncio.wait({faults}, timeout=minutes * 60)
        injector.stopped = True
        failure = None
        try:
            await faults
        except Exception as error:
            failure = f"fault injection failed: {type(error).__name__}: {error}"
        problems = await trial.stop()
        if failure:
            problems.append(failure)
        print(trial.summary())
        if problems:
            print_report(seed, minutes, injector, problems)
        return len(problems)


def print_report(seed: int, minutes: float, injector: FaultInjector, problems: list[str]) -> None:
    """Print the problems and the faults before them."""
    for line in injector.history:
        print(f"  fault {line}")
    for problem in problems[:50]:
        print(f"  {problem}")
    print(f"{len(problems)} problems; repeat with: python -m bench.soak --seed {seed} --minutes {minutes:g}")


def main() -> int:
    """Run one seed; the exit status is 1 when there are problems."""
    parser = argparse.ArgumentParser(prog="python -m bench.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=5)
    options = parser.parse_args()
    return 1 if asyncio.run(soak(options.seed, options.minutes)) else 0


if __name__ == "__main__":
    sys.exit(main())
