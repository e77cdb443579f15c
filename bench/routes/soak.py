"""Soak test of the route programs under seeded random faults, checked by callers and fake targets."""

import asyncio
import json
import random
import shutil

import attrs

from bench.routes.callers import SoakCallers
from bench.routes.cluster import SoakCluster, create_soak_cluster, newest_route
from bench.routes.faults import RouteFaults

WITHDRAWAL_LIMIT_S = 5.0
"""Time after an acknowledged withdrawal during which requests may still start in the domain."""

SETTLE_TIME_S = 4.0
"""Time after the end of the last fault from which time limits are checked again."""

RECOVERY_LIMIT_S = 15.0
"""Time after the last fault within which requests must be served again."""

NOT_FOUND = 404
CHECK_INTERVAL_S = 0.3
RECOVERED_SERVED_SHARE = 0.9
"""Share of served requests from which the cluster counts as recovered."""


@attrs.define(eq=False)
class _PlanMonitor:
    """Reads the plan during faults; no member may return an older plan than the last acknowledged one."""

    cluster: SoakCluster
    problems: list[str] = attrs.field(factory=list)

    async def run(self) -> None:
        read_count = 0
        while True:
            read_count += 1
            await self.read(read_count)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def read(self, read_count: int) -> int | None:
        """Read the plan from one member; returns its number, ``None`` without an answer."""
        acknowledged = self.cluster.plan_number
        member = self.cluster.members[read_count % len(self.cluster.members)]
        answer = await self.cluster.call(member.http, "GET", "/v1/plan")
        if answer is None or answer.status != 200:
            return None
        number = json.loads(answer.body)["number"]
        if number < acknowledged:
            self.problems.append(
                f"{member.process.name} returns plan {number} after {acknowledged} was acknowledged"
            )
        return number


async def run_soak(seed: int, seconds: float) -> list[str]:
    """Run one seed; returns the violated guarantees and the faults before them, empty without any."""
    rng = random.Random(seed)
    cluster = create_soak_cluster(granted_in_answers=seed % 2 == 1)
    callers = SoakCallers(cluster, random.Random(rng.random()))
    faults = RouteFaults(cluster, random.Random(rng.random()))
    monitor = _PlanMonitor(cluster)
    tasks: list[asyncio.Task] = []
    try:
        await cluster.start()
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(callers.run()), loop.create_task(monitor.run())]
        domain_check = loop.create_task(_check_domains(cluster, faults))
        tasks.append(domain_check)
        await faults.run(seconds)
        problems = await _check_recovery(cluster, callers, monitor)
        problems += await _check_newest_route(cluster, callers)
        if domain_check.done():
            problems += domain_check.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await callers.close()
        await cluster.close()
    problems += [*cluster.observations.problems, *callers.problems, *monitor.problems]
    problems += _find_wrong_runs(cluster, callers)
    print(
        f"seed {seed}: {callers.served} of {callers.sent} requests done, {len(faults.history)} faults, "
        f"plan {cluster.plan_number}, {len(problems)} problems"
    )
    if not problems:
        shutil.rmtree(cluster.root, ignore_errors=True)
        return []
    return [*problems, *(f"fault {line}" for line in faults.history), f"logs are in {cluster.root}"]


def _find_wrong_runs(cluster: SoakCluster, callers: SoakCallers) -> list[str]:
    problems = []
    for request_id, names in cluster.observations.runs.items():
        if request_id in callers.non_idempotent and len(names) > 1:
            problems.append(f"{request_id} may run at most once and ran on {names}")
        if request_id in callers.refused and request_id in callers.non_idempotent:
            problems.append(f"{request_id} was answered as refused and ran on {names}")
    return problems


async def _check_domains(cluster: SoakCluster, faults: RouteFaults) -> list[str]:
    """Look for requests that start in a withdrawn failure domain while no fault is active."""
    loop = asyncio.get_running_loop()
    seen = 0
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        starts, seen = cluster.observations.starts[seen:], len(cluster.observations.starts)
        if loop.time() < faults.disrupted_until + SETTLE_TIME_S:
            continue
        for started_at, domain, request_id in starts:
            since = faults.withdrawn.get(domain, float("inf"))
            if started_at > since + WITHDRAWAL_LIMIT_S:
                return [f"{request_id} started in {domain} {started_at - since:.2f} s after its withdrawal"]


async def _check_recovery(cluster: SoakCluster, callers: SoakCallers, monitor: _PlanMonitor) -> list[str]:
    """Wait until requests are served again and a member returns a plan."""
    loop = asyncio.get_running_loop()
    end = loop.time() + RECOVERY_LIMIT_S
    share = 0.0
    visible_plan = None
    while loop.time() < end:
        sent, served = callers.sent, callers.served
        await asyncio.sleep(2.0)
        share = (callers.served - served) / max(1, callers.sent - sent)
        visible_plan = await monitor.read(0)
        if share >= RECOVERED_SERVED_SHARE and visible_plan is not None:
            return []
    return [
        f"{RECOVERY_LIMIT_S} s after the last fault a share of {share:.2f} is served, plan {visible_plan}"
    ]


async def _check_newest_route(cluster: SoakCluster, callers: SoakCallers) -> list[str]:
    """Ask each entry for a route that only the last acknowledged plan has."""
    route = newest_route(cluster.plan_number)
    problems = []
    for process, address in cluster.entries:
        status = await callers.send_to(address, route)
        if status == NOT_FOUND:
            problems.append(f"{process.name} does not know {route} after it served again")
    return problems
