"""Withdrawal of a failure domain: time to the last request started in it, and requests interrupted."""

import asyncio
from collections.abc import Iterator
from itertools import count

from bench.checker import read_runs
from bench.cluster import Cluster, failure_domain_text, open_cluster, target_text
from bench.figure import Figure, at_most
from bench.load import LoadGenerator, LoadResult
from bench.scenario import Layout, failed_outcomes, find_owners, mixed_request, start_layout
from cranberrylever.target import Run

BOUND_SECONDS = 3.0
BOUND_INTERRUPTED = 0
RATE = 200.0
SERVICE_MS = 25.0
# Time under load after a withdrawal in which late starts and failed requests are counted.
SETTLE_SECONDS = 6.0
DOMAIN = "b"
LAYOUT = Layout(entries=4, keyed=6, pooled=6)


async def run(rounds: int = 5) -> list[Figure]:
    """Withdraw a failure domain and restore it, ``rounds`` times under load.

    The baseline drains the targets of the domain one after another, with one ticket each; the next ticket
    follows when the previous target is idle.
    """
    delays = []
    interrupted = 0
    numbers = count()
    async with open_cluster() as cluster:
        await start_layout(cluster, LAYOUT)
        for _ in range(rounds):
            load, task = start_load(cluster, numbers)
            await asyncio.sleep(1)
            ticket = await cluster.submit(failure_domain_text(DOMAIN, "withdrawn"))
            await asyncio.sleep(SETTLE_SECONDS)
            result = await stop_load(load, task)
            delays.append(last_start(domain_runs(cluster), ticket.accepted) - ticket.accepted)
            interrupted += failed_outcomes(result.outcomes)
            await cluster.submit(failure_domain_text(DOMAIN, "active"))
            await wait_for_domain(cluster)
        baseline_delay, baseline_interrupted = await measure_rolling_drain(cluster, numbers)
    note = f"{rounds} withdrawals at {RATE:g} requests/s; baseline: one drain ticket per target in turn"
    return [
        at_most("domain_out", max(delays), "s", BOUND_SECONDS, baseline_delay, note),
        at_most(
            "domain_out_interrupted", interrupted, "", BOUND_INTERRUPTED, baseline_interrupted, "requests"
        ),
    ]


def start_load(cluster: Cluster, numbers: Iterator[int]) -> tuple[LoadGenerator, "asyncio.Task[LoadResult]"]:
    """Start load that runs until it is stopped; ``numbers`` keeps request ids unique between rounds."""
    load = LoadGenerator(
        cluster.started_entry_addresses(),
        lambda number: mixed_request(LAYOUT, number, SERVICE_MS),
        numbers=numbers,
    )
    return load, asyncio.create_task(load.run_open(RATE, 3600))


async def stop_load(load: LoadGenerator, task: "asyncio.Task[LoadResult]") -> LoadResult:
    """Stop load and wait for its last answers."""
    load.stopped = True
    return await task


def domain_targets(cluster: Cluster) -> list[str]:
    """Return the targets of the failure domain."""
    return [name for name, settings in cluster.target_settings.items() if settings.failure_domain == DOMAIN]


def domain_runs(cluster: Cluster) -> list[Run]:
    """Return the runs that the targets of the failure domain have recorded."""
    return read_runs([cluster.record_path(name) for name in domain_targets(cluster)], {})


def last_start(runs: list[Run], since: float) -> float:
    """Return the start of the last run in loop seconds, at least ``since``."""
    return max([since, *(run.start_ms / 1000 for run in runs)])


async def wait_for_domain(cluster: Cluster) -> None:
    """Wait until a target of the failure domain serves keys again."""
    names = {name for name in domain_targets(cluster) if name.startswith("k")}
    async with asyncio.timeout(60):
        while not names & set((await find_owners(cluster, LAYOUT)).values()):
            await asyncio.sleep(0.2)


async def measure_rolling_drain(cluster: Cluster, numbers: Iterator[int]) -> tuple[float, int]:
    """Drain the targets of the failure domain one after another.

    Returns:
        Seconds from the acceptance of the first ticket to the last request started, and requests interrupted.
    """
    load, task = start_load(cluster, numbers)
    await asyncio.sleep(1)
    first_accepted = None
    for name in domain_targets(cluster):
        ticket = await cluster.submit(target_text(name, drain=True))
        first_accepted = first_accepted or ticket.accepted
        await wait_until_idle(cluster, name)
    result = await stop_load(load, task)
    last = last_start(domain_runs(cluster), first_accepted)
    return last - first_accepted, failed_outcomes(result.outcomes)


async def wait_until_idle(cluster: Cluster, target_id: str) -> None:
    """Wait until a target has recorded no run for a second."""
    now = asyncio.get_running_loop().time
    path = cluster.record_path(target_id)
    async with asyncio.timeout(30):
        size, since = path.stat().st_size, now()
        while now() - since < 1:
            await asyncio.sleep(0.05)
            if path.stat().st_size != size:
                size, since = path.stat().st_size, now()
