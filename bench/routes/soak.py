"""Soak test of the route programs under seeded random faults, checked by callers and fake targets."""

import asyncio
import random
import shutil
from collections.abc import Coroutine

from bench.routes.callers import SoakCallers
from bench.routes.checks import PlanMonitor, check_domains, check_recovery, find_wrong_runs
from bench.routes.cluster import SoakCluster, SoakOptions, create_soak_cluster
from bench.routes.faults import RouteFaults
from bench.routes.lost import find_lost
from bench.routes.request_logs import explain_lost
from bench.routes.stop_callers import StopCallers
from bench.routes.stops import GRACE_MARGIN_S, STOP_OPTIONS, PlannedStops


async def run_soak(seed: int, seconds: float, options: SoakOptions | None = None) -> list[str]:
    """Run one seed; returns the violated guarantees and the faults before them, empty without any."""
    rng = random.Random(seed)
    cluster = create_soak_cluster(seed % 2 == 1, options)
    callers = SoakCallers(cluster, random.Random(rng.random()))
    faults = RouteFaults(cluster, random.Random(rng.random()))
    problems = await _run_cluster(cluster, callers, faults, faults.run(seconds))
    return _report(seed, cluster, callers, faults, problems)


async def run_stop_soak(
    seed: int,
    seconds: float,
    options: SoakOptions | None = None,
    grace: float | None = None,
    sends_more_signals: bool = True,
) -> list[str]:
    """Run one seed of planned stops with no fault; returns the violated guarantees, empty without any.

    Args:
        seed: Seed of all random choices.
        seconds: Time during which stops begin.
        options: Size of the cluster and times of a stop.
        grace: Seconds between SIGTERM and SIGKILL; by default shortly after an entry has to end.
        sends_more_signals: Whether entries get further signals before and during a stop.
    """
    rng = random.Random(seed)
    options = options or STOP_OPTIONS
    grace = grace or options.drain_delay + options.finish_timeout + GRACE_MARGIN_S
    cluster = create_soak_cluster(seed % 2 == 1, options)
    callers = StopCallers(cluster, random.Random(rng.random()))
    source = random.Random(rng.random())
    faults = RouteFaults(cluster, source)
    stops = PlannedStops(cluster, source, faults, grace, sends_more_signals)

    async def run_stops() -> None:
        await stops.run(seconds)
        callers.is_calm = True

    problems = await _run_cluster(cluster, callers, faults, run_stops())
    lost = find_lost(stops.stops, callers.requests, cluster.observations.history, grace)
    problems += [*explain_lost(lost, cluster.root), *stops.problems]
    print(f"{len(stops.stops)} stops of entries, {stops.kills} by SIGKILL, {len(lost)} requests lost")
    return _report(seed, cluster, callers, faults, problems)


async def _run_cluster(
    cluster: SoakCluster,
    callers: SoakCallers | StopCallers,
    faults: RouteFaults,
    disruptions: Coroutine[None, None, None],
) -> list[str]:
    """Run disruptions while callers send requests; returns the problems that the checks find."""
    monitor = PlanMonitor(cluster)
    tasks: list[asyncio.Task] = []
    try:
        await cluster.start()
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(callers.run()), loop.create_task(monitor.run())]
        domain_check = loop.create_task(check_domains(cluster, faults))
        tasks.append(domain_check)
        await disruptions
        problems = await check_recovery(cluster, callers, monitor)
        if domain_check.done():
            problems += domain_check.result()
    finally:
        disruptions.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await callers.close()
        await cluster.close()
    return [
        *problems,
        *cluster.observations.problems,
        *callers.problems,
        *monitor.problems,
        *find_wrong_runs(cluster, callers),
    ]


def _report(
    seed: int,
    cluster: SoakCluster,
    callers: SoakCallers | StopCallers,
    faults: RouteFaults,
    problems: list[str],
) -> list[str]:
    """Print a summary; returns the problems with the faults before them, and removes the logs without any."""
    print(
        f"seed {seed}: {callers.served} of {callers.sent} requests done, {len(faults.history)} faults, "
        f"plan {cluster.plan_number}, {len(problems)} problems"
    )
    if not problems:
        shutil.rmtree(cluster.root, ignore_errors=True)
        return []
    return [*problems, *(f"fault {line}" for line in faults.history), f"logs are in {cluster.root}"]
