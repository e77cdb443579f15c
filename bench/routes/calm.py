"""Calm stretch of a soak: equal targets, no faults, callers that each wait for their answer."""

import asyncio
import collections
import random
import shutil

import attrs

from bench.routes.cluster import SoakCluster, SoakOptions, create_soak_cluster
from bench.routes.plans import HOST
from bench.routes.work import Work
from cranberrylever.target_http import AnswerLostError, NotSentError, TargetPool

CALM_OPTIONS = SoakOptions(entries=6, targets=36, callers=120, slots=60)
"""Twelve pooled targets, so that callers keep a sixth of the slots busy."""

WORK_S = (0.47, 4.7)
ROUTE_TIMEOUT_S = 5.0
OBJECTIVE_S = 4.5
START_TIMEOUT_S = 20.0
SETTLE_TIME_S = 3.0
MAX_BUSIEST_OVER_MEAN = 2.0
ANSWER_TIMEOUT_S = 6.0
NO_ANSWER = 0


@attrs.define(eq=False)
class CalmCallers:
    """Callers in a closed loop, who send unkeyed requests that may run once to random entries.

    Attributes:
        statuses: Status of each request that was sent since the last reset, ``NO_ANSWER`` without one.
    """

    cluster: SoakCluster
    random: random.Random
    sent: int = 0
    statuses: dict[str, int] = attrs.field(factory=dict)
    pool: TargetPool = attrs.field(factory=TargetPool)

    async def run(self) -> None:
        """Let all callers send one request after the other until cancelled."""
        await asyncio.gather(*(self._call_repeatedly() for _ in range(self.cluster.options.callers)))

    async def _call_repeatedly(self) -> None:
        while True:
            await self.call()

    async def call(self) -> int:
        """Send one request and return its status."""
        self.sent += 1
        request_id = f"calm-{self.sent}"
        path = f"/order/{Work(self.random.uniform(*WORK_S)).path}"
        head = f"POST {path} HTTP/1.1\r\nhost: {HOST}\r\ncranberrylever-request-id: {request_id}\r\n"
        request = f"{head}content-length: 0\r\n\r\n".encode()
        _, address = self.random.choice(self.cluster.entries)
        status = NO_ANSWER
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status = (await self.pool.exchange(address, b"POST", request)).status
        except (NotSentError, AnswerLostError, TimeoutError):
            await asyncio.sleep(0.1)
        self.statuses[request_id] = status
        return status


async def run_calm(seed: int, seconds: float) -> list[str]:
    """Run one seed; returns refused or failed requests and targets with too many, empty without any."""
    cluster = create_soak_cluster(options=CALM_OPTIONS)
    callers = CalmCallers(cluster, random.Random(seed))
    task: asyncio.Task[None] | None = None
    try:
        await cluster.start()
        await cluster.put_next_plan(_calm_plan(cluster), cluster.plan_number)
        async with asyncio.timeout(START_TIMEOUT_S):
            while await callers.call() != 200:
                await asyncio.sleep(0.1)
        task = asyncio.get_running_loop().create_task(callers.run())
        await asyncio.sleep(SETTLE_TIME_S)
        callers.statuses.clear()
        await asyncio.sleep(seconds)
    finally:
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        callers.pool.close()
        await cluster.close()
    problems = find_uneven(callers.statuses, cluster.observations.runs, _pooled_names(cluster))
    if problems:
        return [*problems, f"logs are in {cluster.root}"]
    shutil.rmtree(cluster.root, ignore_errors=True)
    return []


def _calm_plan(cluster: SoakCluster) -> dict:
    """Return the next plan, with a timeout and an objective that all work meets."""
    plan = cluster.plan(cluster.plan_number + 1, ROUTE_TIMEOUT_S)
    for route in plan["routes"]:
        route["objective"] = OBJECTIVE_S
    return plan


def _pooled_names(cluster: SoakCluster) -> list[str]:
    return [target.name for target in cluster.targets if not target.keyed]


def find_uneven(statuses: dict[str, int], runs: dict[str, list[str]], names: list[str]) -> list[str]:
    """Return requests that were not answered by 200, and a target that got too many of them.

    Args:
        statuses: Status by request id.
        runs: Names of the targets that ran each request.
        names: Names of the equal targets.
    """
    problems = [f"{request_id} got {status}" for request_id, status in statuses.items() if status != 200]
    counts = collections.Counter(name for request_id in statuses for name in runs.get(request_id, []))
    mean = sum(counts.values()) / len(names)
    if mean == 0:
        return [*problems, "no request ran"]
    name, most = counts.most_common(1)[0]
    print(f"{len(statuses)} requests, busiest target {name} with {most / mean:.2f} times the mean")
    if most > MAX_BUSIEST_OVER_MEAN * mean:
        problems.append(f"{name} got {most} requests, the mean is {mean:.1f}")
    return problems
