"""Load on a cluster with faults, and checks of the recorded runs, answers, tickets and views."""

import asyncio
import contextlib
from collections import defaultdict

import aiohttp
import attrs

from bench.caller import Caller, long_work_query
from bench.checker import (
    find_double_runs,
    find_false_outcomes,
    find_overlaps,
    find_stale_fences,
    longest_outage,
)
from bench.cluster import Cluster
from bench.faults import FaultInjector
from bench.load import MIXED_UP, LoadGenerator, LoadRequest
from bench.scenario import KEYED_SERVICE, Layout
from cranberrylever.target import Run

CHECK_INTERVAL_SECONDS = 0.2
# Upper bound that no trial reaches; the load runs until it is stopped.
MAX_ORDERS = 10_000_000


@attrs.define
class ConfigurationMonitor:
    """Reads the configuration during faults; an accepted one must never revert.

    ``versions`` holds the highest view version seen at each entry.
    """

    cluster: Cluster
    injector: FaultInjector
    versions: dict[str, int] = attrs.field(factory=dict)
    highest: int = 0
    problems: list[str] = attrs.field(factory=list)

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            await self.read_control()
            for entry_id, address in self.cluster.entry_addresses.items():
                await self.read_entry(entry_id, address)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def read_control(self) -> None:
        """Check that the accepted ticket number of control does not decrease."""
        self.highest = max([self.highest, *self.injector.accepted])
        before = self.highest
        number = (await self.cluster.status()).get("accepted_ticket")
        if number is None:
            return
        if number < before:
            self.problems.append(f"control reports ticket {number} after {before} was accepted")
        self.highest = max(self.highest, number)

    async def read_entry(self, entry_id: str, address: str) -> None:
        """Check that the view version of an entry does not decrease."""
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, ValueError):
            version = (await self.cluster.get_json(address, "/readyz", timeout=1)).get("version")
            if version is None:
                return
            before = self.versions.get(entry_id, 0)
            if version < before:
                self.problems.append(f"{entry_id} reverted from view {before} to {version}")
            self.versions[entry_id] = max(before, version)


@attrs.define
class Trial:
    """Orders with resends and reads, sent while an injector injects faults."""

    cluster: Cluster
    layout: Layout
    injector: FaultInjector
    caller: Caller | None = None
    reads: LoadGenerator | None = None
    monitor: ConfigurationMonitor | None = None
    tasks: list["asyncio.Task[object]"] = attrs.field(factory=list)
    monitor_task: "asyncio.Task[None] | None" = None
    moved_keys: int = 0

    def start(self, rate: float) -> None:
        """Start load: ``rate`` orders and as many reads per second."""
        entries = self.cluster.started_entry_addresses()
        self.caller = Caller(entries, self.layout, with_keys=True)
        self.reads = LoadGenerator(entries, self.read_request)
        self.monitor = ConfigurationMonitor(self.cluster, self.injector)
        self.tasks = [
            asyncio.create_task(self.caller.run(rate, MAX_ORDERS)),
            asyncio.create_task(self.reads.run_open(rate, MAX_ORDERS / rate)),
        ]
        self.monitor_task = asyncio.create_task(self.monitor.run())

    def read_request(self, number: int) -> LoadRequest:
        """Return a keyed read."""
        headers = {"Cranberrylever-Request-Id": f"read-{number}", "Cranberrylever-Deadline-Ms": "3000"}
        path = f"/{KEYED_SERVICE}/{self.layout.key(number)}?n={number}{long_work_query(number)}"
        return LoadRequest("GET", path, headers)

    async def stop(self) -> list[str]:
        """Stop the load and return descriptions of all violated invariants."""
        self.caller.stopped = True
        self.reads.stopped = True
        await asyncio.gather(*self.tasks)
        self.monitor_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.monitor_task
        runs = self.injector.read_runs()
        self.moved_keys = count_moved_keys(runs)
        mixed_up = [
            sample for sample in self.reads.result.samples + self.caller.samples if sample.outcome == MIXED_UP
        ]
        return [
            *find_overlaps(runs),
            *find_stale_fences(runs),
            *find_double_runs(runs),
            *find_false_outcomes(runs, self.caller.attempts),
            *self.monitor.problems,
            *(f"wrong or incomplete answer to {sample.path}" for sample in mixed_up),
            *await self.find_lost_tickets(),
        ]

    async def find_lost_tickets(self) -> list[str]:
        """Return accepted tickets that are missing from the list of control."""
        leader = await self.cluster.wait_for_leader()
        peer = next(peer for peer in self.cluster.peers if peer.member_id == leader)
        listed = {ticket["number"] for ticket in await self.cluster.get_json(peer.http, "/v1/tickets")}
        return [
            f"accepted ticket {number} is lost" for number in self.injector.accepted if number not in listed
        ]

    def summary(self) -> str:
        """Return the unavailable time and the shares of served requests in one line."""
        attempts = len(self.caller.samples)
        answered = self.caller.served / attempts if attempts else 0.0
        return (
            f"{self.injector.count} faults; reads served {self.reads.result.served_share():.4f} of "
            f"{len(self.reads.result.samples)}, longest time without a served read "
            f"{longest_outage(self.reads.result.samples):.2f} s, slowest served read "
            f"{self.reads.result.percentile_ms(100) / 1000:.2f} s; {self.caller.served} orders served in "
            f"{attempts} attempts ({answered:.4f}); {self.moved_keys} keys ran on more than one target"
        )


def count_moved_keys(runs: list[Run]) -> int:
    """Return the number of keys that ran on more than one target."""
    targets: dict[str, set[str]] = defaultdict(set)
    for run in runs:
        if run.shard is not None:
            targets[run.key].add(run.target_id)
    return sum(1 for names in targets.values() if len(names) > 1)
