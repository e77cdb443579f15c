"""Soak test of the route programs under seeded random faults, checked by callers and fake targets."""

import asyncio
import random
import shutil
from collections.abc import Coroutine

from bench.routes.callers import SoakCallers
from bench.routes.checks import PlanMonitor, check_domains, check_recovery, find_wrong_runs
from bench.routes.cluster import SoakCluster, SoakOptions, create_soak_cluster
from bench.routes.faults import RouteFaults


async def run_soak(seed: int, seconds: float, options: SoakOptions | None = None) -> list[str]:
    """Run one seed; returns the violated guarantees and the faults before them, empty without any."""
    rng = random.Random(seed)
    cluster = create_soak_cluster(seed % 2 == 1, options)
    callers = SoakCallers(cluster, random.Random(rng.random()))
    faults = RouteFaults(cluster, random.Random(rng.random()))
    problems = await _run_cluster(cluster, callers, faults, faults.run(seconds))
    return _report(seed, cluster, callers, faults, problems)


async def _run_cluster(
    cluster: SoakCluster,
    callers: SoakCallers,
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
    callers: SoakCallers,
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
