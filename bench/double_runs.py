"""Resent non-idempotent requests that run twice under kills, partitions and freezes."""

import asyncio
import random

from bench.caller import Caller
from bench.checker import find_double_runs, find_false_outcomes, find_overlaps, find_stale_fences
from bench.cluster import open_cluster
from bench.faults import FaultInjector
from bench.figure import Figure, at_most
from bench.scenario import Layout, start_layout

BOUND = 0
RATE = 120.0
# The baseline sends one order per four orders of the run, concurrently, so that both see the same faults.
BASELINE_DIVISOR = 4
LAYOUT = Layout(entries=3, keyed=4, pooled=2, target={"service_time_ms": 30})


async def run(requests: int = 10_000, seed: int = 1) -> list[Figure]:
    """Send ``requests`` non-idempotent requests and resend those without an answer, under random faults.

    The baseline sends a quarter as many, also resent but without an idempotency key; its count is scaled up.
    """
    async with open_cluster(relayed=True) as cluster:
        await start_layout(cluster, LAYOUT)
        injector = FaultInjector(cluster, LAYOUT, random.Random(seed))
        faults = asyncio.create_task(injector.run())
        caller = Caller(cluster.started_entry_addresses(), LAYOUT, with_keys=True)
        baseline_caller = Caller(cluster.started_entry_addresses(), LAYOUT, with_keys=False, prefix="plain")
        await asyncio.gather(
            caller.run(RATE, requests),
            baseline_caller.run(RATE / BASELINE_DIVISOR, requests // BASELINE_DIVISOR),
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
        *find_stale_fences(runs),
        *find_false_outcomes(runs, caller.attempts),
    ]
    for problem in problems[:20]:
        print(f"  {problem}")
    note = (
        f"{requests} requests, {len(caller.attempts)} attempts, {caller.served} served, "
        f"{injector.count} faults, seed {seed}, {len(problems) - len(doubles)} other problems; "
        "baseline: resends without a key"
    )
    return [at_most("double_runs", len(doubles), "", BOUND, baseline * BASELINE_DIVISOR, note)]


def count_repeated_orders(runs: list) -> int:
    """Return the number of orders without an idempotency key that ran more than once, by request path."""
    counts: dict[str, int] = {}
    for run in runs:
        counts[run.path] = counts.get(run.path, 0) + 1
    return sum(1 for path, count in counts.items() if "order=plain" in path and count > 1)
