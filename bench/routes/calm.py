"""Calm stretch of a soak: equal targets, no faults, callers that each wait for their answer."""

import asyncio
import collections
import contextlib
import random
import shutil
from collections.abc import AsyncIterator

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
MIN_LEAST_BUSY_OVER_MEAN = 0.5
MAX_BUSIEST_OVER_MEAN = 2.0

ABSENCE_TIME_S = 5.0
"""Time for which a target is gone before it joins again, in which control notices it."""

JOIN_TIME_S = 3.0
"""Time after which a target that joins gets its share."""

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
    """Run one seed; returns refused or failed requests and uneven targets, empty without any."""
    cluster = create_soak_cluster(options=CALM_OPTIONS)
    async with _calm_load(cluster, seed) as callers:
        callers.statuses.clear()
        await asyncio.sleep(seconds)
        statuses = dict(callers.statuses)
    return _report(cluster, find_uneven(statuses, cluster.observations.runs, _pooled_names(cluster)))


async def run_join(seed: int, seconds: float) -> list[str]:
    """Run one seed in which a target joins; returns a problem if it does not get its share in time.

    Args:
        seed: Seed of all random choices.
        seconds: Time after ``JOIN_TIME_S`` for which the shares count.
    """
    cluster = create_soak_cluster(options=CALM_OPTIONS)
    loop = asyncio.get_running_loop()
    async with _calm_load(cluster, seed):
        joining = next(target for target in cluster.targets if not target.keyed)
        await joining.crash()
        await asyncio.sleep(ABSENCE_TIME_S)
        await joining.start()
        await asyncio.sleep(JOIN_TIME_S)
        counted_from = loop.time()
        await asyncio.sleep(seconds)
    counts = cluster.observations.count_starts(counted_from)
    return _report(cluster, find_uneven_shares(counts, [joining.name], len(_pooled_names(cluster))))


@contextlib.asynccontextmanager
async def _calm_load(cluster: SoakCluster, seed: int) -> AsyncIterator[CalmCallers]:
    """Start a cluster and its callers, and wait until the load is steady."""
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
        yield callers
    finally:
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        callers.pool.close()
        await cluster.close()


def _report(cluster: SoakCluster, problems: list[str]) -> list[str]:
    """Return the problems and where the logs are; remove the logs without any."""
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
    """Return requests that were not answered by 200, and targets that got too many or too few of them.

    Args:
        statuses: Status by request id.
        runs: Names of the targets that ran each request.
        names: Names of the equal targets.
    """
    problems = [f"{request_id} got {status}" for request_id, status in statuses.items() if status != 200]
    counts = collections.Counter(name for request_id in statuses for name in runs.get(request_id, []))
    return [*problems, *find_uneven_shares(counts, names, len(names))]


def find_uneven_shares(counts: collections.Counter[str], names: list[str], targets: int) -> list[str]:
    """Return those of the named targets that got too many or too few requests.

    Args:
        counts: Number of requests by name of the target.
        names: Names of the targets to check.
        targets: Number of equal targets, of which each should get a like share.
    """
    mean = counts.total() / targets
    if mean == 0:
        return ["no request ran"]
    shares = sorted(((counts[name] / mean, name) for name in names), reverse=True)
    print(
        f"{counts.total()} requests; relative to the mean: {', '.join(f'{share:.2f}' for share, _ in shares)}"
    )
    return [
        f"{name} got {counts[name]} requests, the mean is {mean:.1f}"
        for share, name in shares
        if not MIN_LEAST_BUSY_OVER_MEAN <= share <= MAX_BUSIEST_OVER_MEAN
    ]
