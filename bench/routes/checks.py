"""Checks of a soak test that run beside it or after its last fault."""

import asyncio
import json
from typing import Protocol

import attrs

from bench.routes.cluster import SoakCluster
from bench.routes.faults import RouteFaults
from bench.routes.plans import newest_route

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


class Callers(Protocol):
    """Counts and ids that the checks read, and a single request."""

    sent: int
    served: int
    non_idempotent: set[str]
    refused: set[str]

    async def send_to(self, address: str, route: str) -> int | None:
        """Send a request to one entry; returns the status, ``None`` without an answer."""


@attrs.define(eq=False)
class PlanMonitor:
    """Reads the plan during faults; no member may return an older plan than the last acknowledged one."""

    cluster: SoakCluster
    problems: list[str] = attrs.field(factory=list)

    async def run(self) -> None:
        """Read the plan until cancelled."""
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


def find_wrong_runs(cluster: SoakCluster, callers: Callers) -> list[str]:
    """Return the second runs of requests that may run once, and the runs of those that were refused."""
    problems = []
    for request_id, names in cluster.observations.runs.items():
        if request_id in callers.non_idempotent and len(names) > 1:
            problems.append(f"{request_id} may run at most once and ran on {names}")
        if request_id in callers.refused and request_id in callers.non_idempotent:
            problems.append(f"{request_id} was answered as refused and ran on {names}")
    return problems


async def check_domains(cluster: SoakCluster, faults: RouteFaults) -> list[str]:
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


async def check_recovery(cluster: SoakCluster, callers: Callers, monitor: PlanMonitor) -> list[str]:
    """Wait until requests are served again, a member returns a plan and all entries know its new route."""
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
            return await _check_newest_route(cluster, callers)
    return [
        f"{RECOVERY_LIMIT_S} s after the last fault a share of {share:.2f} is served, plan {visible_plan}",
        *await _check_newest_route(cluster, callers),
    ]


async def _check_newest_route(cluster: SoakCluster, callers: Callers) -> list[str]:
    """Ask each entry for a route that only the last acknowledged plan has."""
    route = newest_route(cluster.plan_number)
    problems = []
    for process, address in cluster.entries:
        status = await callers.send_to(address, route)
        if status == NOT_FOUND:
            problems.append(f"{process.name} does not know {route} after it served again")
    return problems
