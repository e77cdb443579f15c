"""Simulation of a pooled service: the dispatchers of many entries against targets of different speeds.

The entries run the decisions of ``cranberrylever.route_entry`` in simulated time. They report service times
and loads to the trackers of control and receive the measured speeds and loads.
"""

import asyncio
import collections
import math
import random
from collections.abc import Callable

import attrs
import looptime

from bench.experiments.pool_target import PoolLoad, PoolTarget, failure_domain
from cranberrylever.logs import Log
from cranberrylever.route_control._busy import BusyTracker
from cranberrylever.route_control._speeds import SpeedTracker
from cranberrylever.route_entry._default_format import DefaultHeaderFormat
from cranberrylever.route_entry._dispatcher import Dispatcher
from cranberrylever.route_entry._permit_gate import create_permit_gate
from cranberrylever.route_entry._reports import ReportCollector
from cranberrylever.route_entry._request import OutcomeUnknownError, RefusedError, RoutedRequest
from cranberrylever.route_entry._view import EntryView
from cranberrylever.route_plan import Route, RoutedService, RouteShare
from cranberrylever.settings import LimitSettings
from cranberrylever.target_http import TargetAnswer
from cranberrylever.target_registry import RegisteredTarget
from cranberrylever.wire import UNKNOWN, FeedReply, FleetView, RoutedTarget

REPORT_INTERVAL_S = 0.45
NETWORK_DELAY_S = 0.0014
CALLER_DELAY_S = 0.016
"""Time that a request and its answer spend between caller and entry."""

MAX_RETRY_AFTER_SHARE = 1 / 3
"""Share of its remaining time that a caller waits at most before it retries."""

SERVICE = RoutedService("office", False, "/healthz", 130, 3.0, 4.3, 0.0)


@attrs.define
class PoolResult:
    """Outcome of one second of arrivals: numbers of requests, and their credit.

    ``rejections`` counts those that are retried too, and ``needless_rejections`` those among them while a
    target had a free slot.
    """

    asked: int = 0
    credit: float = 0.0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    timed_out: int = 0
    rejections: int = 0
    needless_rejections: int = 0

    def __add__(self, other: "PoolResult") -> "PoolResult":
        return PoolResult(*(a + b for a, b in zip(attrs.astuple(self), attrs.astuple(other), strict=True)))

    @property
    def credit_share(self) -> float:
        """Credit earned per request."""
        return self.credit / max(1, self.asked)


class PoolTransport:
    """Stands in for the connections of an entry; the body of a request states its work in microseconds."""

    def __init__(self, targets: dict[str, PoolTarget]) -> None:
        self.targets = targets

    async def exchange(
        self,
        address: str,
        method: bytes,
        request: bytes,
        request_id: bytes = b"",
        is_idempotent: bool = False,
        before_send: Callable[[], None] | None = None,
    ) -> TargetAnswer:
        """Run a request at the target with an address."""
        await asyncio.sleep(NETWORK_DELAY_S)
        target = self.targets[address]
        work = int(request.rpartition(b"\r\n")[2]) / 1e6
        is_done = await target.run(work)
        answer = target.answer(is_done)
        await asyncio.sleep(NETWORK_DELAY_S)
        return answer

    def close_idle(self, address: str) -> None:
        """Do nothing."""


class PoolSimulation:
    """Replays a load against the decisions of all entries."""

    def __init__(self, load: PoolLoad, seed: int) -> None:
        self.load = load
        self.rng = random.Random(seed)
        self.targets = {f"t{number}:80": PoolTarget(load, number, seed) for number in range(load.targets)}
        self.route = Route(
            "r", "h", "/", (RouteShare("office", 1.0),), False, load.timeout, load.objective, 0, 2
        )
        self.speed_tracker = SpeedTracker()
        self.busy_tracker = BusyTracker()
        self.fleet_version = 0
        self.entries = [self._create_entry(failure_domain(number, load)) for number in range(load.entries)]
        self.expected_service_time = 0.0
        self.results: collections.defaultdict[int, PoolResult] = collections.defaultdict(PoolResult)

    def _create_entry(self, domain: str) -> Dispatcher:
        limits = LimitSettings()
        dispatcher = Dispatcher(
            EntryView(limits),
            PoolTransport(self.targets),
            DefaultHeaderFormat(),
            ReportCollector(),
            create_permit_gate(limits, lambda: None),
            domain,
            Log("entry", "e", "error"),
        )
        dispatcher.selector.chooser.rng = random.Random(self.rng.random())
        return dispatcher

    async def run(self) -> dict[int, PoolResult]:
        """Return the results by the second of arrival."""
        loop = asyncio.get_running_loop()
        self._publish(0.0)
        control = loop.create_task(self._run_control())
        loop.call_at(len(self.load.rates), self._record_service_time)
        if self.load.callers:
            await asyncio.gather(*(self._run_closed_loop() for _ in range(self.load.callers)))
        else:
            await self._run_open_loop()
        control.cancel()
        return dict(self.results)

    def _record_service_time(self) -> None:
        """Record the mean of what the entries expect; only long requests end after the load."""
        expected = [entry.service_times.expected(self.route.name) for entry in self.entries]
        self.expected_service_time = sum(expected) / len(expected)

    async def _run_open_loop(self) -> None:
        """Send requests at the rates of the load, whatever the answers."""
        loop = asyncio.get_running_loop()
        requests = []
        now = 0.0
        for second, rate in enumerate(self.load.rates):
            while now < second + 1:
                await asyncio.sleep(max(0.0, now - loop.time()))
                requests.append(loop.create_task(self._run_caller(int(now))))
                now += self.rng.expovariate(rate)
        await asyncio.gather(*requests)

    async def _run_closed_loop(self) -> None:
        """Send one request after the other, the next one when the last has ended."""
        loop = asyncio.get_running_loop()
        while loop.time() < len(self.load.rates):
            await self._run_caller(int(loop.time()))

    async def _run_control(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            for entry in self.entries:
                for service_time in entry.reports.take_service_times():
                    self.speed_tracker.record(service_time, now)
                for load in entry.reports.take_loads():
                    self.busy_tracker.record(load, now)
            self._publish(now)

    def _publish(self, now: float) -> None:
        self.fleet_version += 1
        incarnations = [(address, 1) for address in self.targets]
        speeds = self.speed_tracker.speeds(incarnations)
        targets = tuple(
            RoutedTarget(
                address,
                1,
                SERVICE.name,
                address,
                target.failure_domain,
                target.slots,
                True,
                0.0,
                round(speeds[address, 1], 2),
                self._busy(address, now),
            )
            for address, target in self.targets.items()
        )
        fleet = FleetView(targets, self.load.entries, ())
        for entry in self.entries:
            reply = FeedReply("c", 0, True, "m", (), -1, None, self.fleet_version, fleet, -1, None, ())
            entry.view.apply(reply, now)

    def _busy(self, address: str, now: float) -> float:
        target = self.targets[address]
        registered = RegisteredTarget(address, 1, SERVICE.name, address, target.failure_domain, target.slots)
        busy = self.busy_tracker.busy(registered, 1.0, now)
        return UNKNOWN if busy is None else round(busy, 1)

    def _draw_work(self) -> float:
        load = self.load
        if load.work_range is not None:
            return self.rng.uniform(*load.work_range)
        mean_log = math.log(load.work) - load.spread**2 / 2
        return min(self.rng.lognormvariate(mean_log, load.spread), 7.5 * load.work)

    async def _run_caller(self, second: int) -> None:
        """Send a request, and once more after a refusal, as callers do."""
        loop = asyncio.get_running_loop()
        load = self.load
        started_at = loop.time()
        deadline = started_at + load.deadline
        result = self.results[second]
        result.asked += 1
        work = b"%d" % (self._draw_work() * 1e6)
        for is_retry in (False, True):
            await asyncio.sleep(CALLER_DELAY_S / 2)
            now = loop.time()
            time_limit = min(load.timeout, deadline - now)
            request = RoutedRequest(
                b"q", b"PUT", b"/", [], work, self.route, SERVICE, None, now, now + time_limit
            )
            request.is_caller_retry = time_limit < load.timeout
            try:
                async with asyncio.timeout(time_limit):
                    await self.rng.choice(self.entries).run(request)
            except RefusedError as error:
                result.rejections += 1
                result.needless_rejections += any(target.has_free_slot for target in self.targets.values())
                delay = min(error.retry_after, MAX_RETRY_AFTER_SHARE * (deadline - loop.time()))
                if is_retry:
                    result.refused += 1
                    return
                await asyncio.sleep(CALLER_DELAY_S / 2 + delay)
                continue
            except (OutcomeUnknownError, TimeoutError):
                result.timed_out += 1
                return
            elapsed = loop.time() + CALLER_DELAY_S / 2 - started_at
            is_on_time = elapsed <= load.objective
            result.on_time += is_on_time
            result.late += not is_on_time
            result.credit += 1.0 if is_on_time else load.late_credit
            return


def replay(simulation: PoolSimulation) -> dict[int, PoolResult]:
    """Run a simulation in simulated time; return its results by the second of arrival."""
    loop = looptime.new_event_loop(start=0, noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(simulation.run())
    finally:
        loop.close()
        asyncio.set_event_loop(None)


def simulate(
    load: PoolLoad, seed: int, simulation: type[PoolSimulation] = PoolSimulation
) -> dict[int, PoolResult]:
    """Return the results of a load by the second of arrival."""
    return replay(simulation(load, seed))
