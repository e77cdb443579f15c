"""Soak of the programs of routes under random faults from a seed, checked from callers and targets."""

import asyncio
import json
import random
import shutil

import attrs

from bench.routes.callers import SoakCallers
from bench.routes.cluster import SoakCluster, create_soak_cluster
from bench.routes.faults import RouteFaults

EVACUATION_LIMIT_S = 5.0
TOUCH_S = 4.0
"""Time after the last fault from which bounds on time hold again."""

RECOVERY_LIMIT_S = 15.0
WATCH_INTERVAL_S = 0.3
RECOVERED_SHARE = 0.9


@attrs.define(eq=False)
class _PlanWatch:
    """Reads the plan in force while faults happen; an acknowledged one is never shown in an older state."""

    cluster: SoakCluster
    problems: list[str] = attrs.field(factory=list)

    async def run(self) -> None:
        turn = 0
        while True:
            turn += 1
            await self.read(turn)
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def read(self, turn: int) -> int | None:
        """Read at one member; returns the number shown."""
        acknowledged = self.cluster.plan
        member = self.cluster.members[turn % len(self.cluster.members)]
        answer = await self.cluster.call(member.http, "GET", "/v1/plan")
        if answer is None or answer.status != 200:
            return None
        number = json.loads(answer.body)["number"]
        if number < acknowledged:
            self.problems.append(f"{member.process.name} shows plan {number} after {acknowledged}")
        return number


async def run_soak(seed: int, seconds: float) -> list[str]:
    """Run one seed; returns what broke a promise, with the faults that led to it."""
    rng = random.Random(seed)
    cluster = create_soak_cluster()
    callers = SoakCallers(cluster, random.Random(rng.random()))
    faults = RouteFaults(cluster, random.Random(rng.random()))
    watch = _PlanWatch(cluster)
    tasks: list[asyncio.Task] = []
    try:
        await cluster.start()
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(callers.run()), loop.create_task(watch.run())]
        guard = loop.create_task(_watch_domains(cluster, faults))
        tasks.append(guard)
        await faults.run(seconds)
        problems = await _check_recovery(cluster, callers, watch)
        if guard.done():
            problems += guard.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await callers.close()
        await cluster.close()
    problems += [*cluster.ledger.problems, *callers.problems, *watch.problems]
    problems += _wrong_runs(cluster, callers)
    print(
        f"seed {seed}: {callers.done} of {callers.asked} requests done, {len(faults.history)} faults, "
        f"plan {cluster.plan}, {len(problems)} problems"
    )
    if not problems:
        shutil.rmtree(cluster.root, ignore_errors=True)
        return []
    return [*problems, *(f"fault {line}" for line in faults.history), f"logs are in {cluster.root}"]


def _wrong_runs(cluster: SoakCluster, callers: SoakCallers) -> list[str]:
    problems = []
    for request_id, names in cluster.ledger.runs.items():
        if request_id in callers.once and len(names) > 1:
            problems.append(f"{request_id} may run once and ran on {names}")
        if request_id in callers.refused and request_id in callers.once:
            problems.append(f"{request_id} was refused and ran on {names}")
    return problems


async def _watch_domains(cluster: SoakCluster, faults: RouteFaults) -> list[str]:
    """Look for work that begins in a withdrawn failure domain while nothing is out of touch."""
    loop = asyncio.get_running_loop()
    seen = 0
    while True:
        await asyncio.sleep(WATCH_INTERVAL_S)
        began, seen = cluster.ledger.began[seen:], len(cluster.ledger.began)
        if loop.time() < faults.harmed_until + TOUCH_S:
            continue
        for moment, domain, request_id in began:
            since = faults.withdrawn.get(domain, float("inf"))
            if moment > since + EVACUATION_LIMIT_S:
                return [f"{request_id} began in {domain} {moment - since:.2f} s after its withdrawal"]


async def _check_recovery(cluster: SoakCluster, callers: SoakCallers, watch: _PlanWatch) -> list[str]:
    """Wait until everything is served again and the acknowledged plan is shown."""
    loop = asyncio.get_running_loop()
    end = loop.time() + RECOVERY_LIMIT_S
    share = 0.0
    shown = None
    while loop.time() < end:
        asked, done = callers.asked, callers.done
        await asyncio.sleep(2.0)
        share = (callers.done - done) / max(1, callers.asked - asked)
        shown = await watch.read(0)
        if share >= RECOVERED_SHARE and shown is not None:
            return []
    return [f"{RECOVERY_LIMIT_S} s after the last fault {share:.2f} is served, plan {shown}"]
