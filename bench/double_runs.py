"""Non-idempotent requests that run twice, with resends, under kills, partitions and freezes."""

import asyncio
import random

from bench.caller import Caller
from bench.checker import find_double_runs, find_false_outcomes, find_old_fences, find_overlaps
from bench.cluster import open_cluster
from bench.faults import FaultInjector
from bench.figure import Figure, at_most
from bench.scenario import Layout, start_layout

BOUND = 0
RATE = 120.0
# The baseline sends this part of the orders at the same time, so that it meets the same faults.
BASELINE_PART = 4
LAYOUT = Layout(entries=3, keyed=4, pooled=2, target={"service_time_ms": 30})


async def run(requests: int = 10_000, seed: int = 1) -> list[Figure]:
    """Send ``requests`` non-idempotent requests and resend those without an answer, under random faults.

    The baseline sends a quarter as many, resent too but without an idempotency key; its count is scaled up.
    """
    async with open_cluster(relayed=True) as cluster:
        await start_layout(cluster, LAYOUT)
        injector = FaultInjector(cluster, LAYOUT, random.Random(seed))
        faults = asyncio.create_task(injector.run())
        caller = Caller(cluster.entry_list(), LAYOUT, with_keys=True)
        plain = Caller(cluster.entry_list(), LAYOUT, with_keys=False, prefix="plain")
        await asyncio.gather(
            caller.run(RATE, requests),
            plain.run(RATE / BASELINE_PART, requests // BASELINE_PART),
        )
        injector.stopped = True
        await faults
        runs = injector.read_runs()
    keyed = [run for run in runs if run.idempotency_key]
    doubles = find_double_runs(keyed)
    baseline = count_repeated_orders([run for run in runs if not run.idempotency_key])
    problems = [
        *doubles,
        *find_overlaps(runs),
        *find_old_fences(runs),
        *find_false_outcomes(runs, caller.attempts),
    ]
    for problem in problems[:20]:
        print(f"  {problem}")
    note = (
        f"{requests} requests, {len(caller.attempts)} attempts, {caller.served} served, "
        f"{injector.count} faults, seed {seed}, {len(problems) - len(doubles)} other problems; "
        "baseline: resends without a key"
    )
    return [at_most("double_runs", len(doubles), "", BOUND, baseline * BASELINE_PART, note)]


def count_repeated_orders(runs: list) -> int:
    """Return how many orders without an idempotency key ran more than once; the path names the order."""
    counts: dict[str, int] = {}
    for run in runs:
        counts[run.path] = counts.get(run.path, 0) + 1
    return sum(1 for path, count in counts.items() if "order=plain" in path and count > 1)
