"""Tail latency of idempotent pooled requests while one of six targets is slow, relative to round robin.

Runs on an event loop with simulated time: the chooser, limits, retries and hedging of several entries run
against simulated targets, so the figure does not depend on the load of the machine.
"""

import argparse
import asyncio
import itertools
import random
from collections import deque
from collections.abc import Callable

import attrs
import looptime

from bench.figure import Figure, percentile
from cranberrylever.entry import EntryTuning
from cranberrylever.entry._admission import Admission
from cranberrylever.entry._client import TargetRefusedError
from cranberrylever.entry._crashes import CrashDetector
from cranberrylever.entry._dispatcher import Dispatcher
from cranberrylever.entry._exchange import Attempt, Exchange
from cranberrylever.entry._inflight import InFlightAttempts
from cranberrylever.entry._reports import RequestCounts
from cranberrylever.entry._targets import TargetStates
from cranberrylever.entry._views import ViewStore
from cranberrylever.errors import NotRunError, UnknownOutcomeError
from cranberrylever.logs import Log
from cranberrylever.metrics import NullMetrics
from cranberrylever.routing import (
    Chooser,
    LastReport,
    LeastWait,
    PowerOfTwoChoices,
    RoundRobin,
    ServiceView,
    TargetView,
    View,
)
from cranberrylever.wire import ViewAnswer

BOUND = 0.35
TARGETS = 6
SLOTS = 3
CONNECTIONS = 100
QUEUE_LIMIT = 64
ENTRIES = 8
SERVICE_SECONDS = 0.002
SLOW_FACTOR = 20.0
# Length of a window in which one target is slow.
SLOW_SECONDS = 0.2
# Interval and delay of load reports in seconds.
REPORT_INTERVAL = 0.2
REPORT_DELAY = 2.0
UTILISATION = 0.5
DEADLINE_SECONDS = 10.0
# Time from the start of the load whose requests are not counted.
WARM_UP_SECONDS = 1.0
POLICIES = ("least_wait", "two_choices", "last_report", "round_robin")


class SimulatedTarget:
    """Target with slots and a queue, which serves at a reduced rate in some time windows.

    Args:
        view: The target in the routing view.
        is_slow: Returns whether the target is slow in a window.
    """

    def __init__(self, view: TargetView, is_slow: Callable[[int], bool]) -> None:
        self.view = view
        self.is_slow = is_slow
        self.running = 0
        self.queue: deque[asyncio.Future[None]] = deque()

    @property
    def load(self) -> int:
        """Number of running and queued requests."""
        return self.running + len(self.queue)

    async def serve(self, work: float, queue_limit: float) -> None:
        """Run one request of ``work`` seconds; cancellation frees its slot or place in the queue.

        Raises:
            TargetRefusedError: The queue is full.
        """
        if self.running >= SLOTS:
            if len(self.queue) >= queue_limit:
                raise TargetRefusedError(503, False, "")
            await self._wait_for_slot()
        else:
            self.running += 1
        try:
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(self._end(now, work) - now)
        finally:
            self._free_slot()

    async def _wait_for_slot(self) -> None:
        slot_free = asyncio.get_running_loop().create_future()
        self.queue.append(slot_free)
        try:
            await slot_free
        except asyncio.CancelledError:
            if slot_free.done() and not slot_free.cancelled():
                self._free_slot()
            else:
                self.queue.remove(slot_free)
            raise

    def _free_slot(self) -> None:
        if self.queue:
            self.queue.popleft().set_result(None)
        else:
            self.running -= 1

    def _end(self, now: float, work: float) -> float:
        """Return the end of ``work`` seconds of service that start now."""
        window = int(now / SLOW_SECONDS)
        while True:
            rate = 1 / SLOW_FACTOR if self.is_slow(window) else 1.0
            window_end = (window + 1) * SLOW_SECONDS
            if now + work / rate <= window_end:
                return now + work / rate
            work -= max(0.0, window_end - now) * rate
            now = max(now, window_end)
            window += 1


@attrs.define
class SimulatedResponse:
    """Empty answer of a simulated target."""

    def close(self) -> None:
        """Do nothing."""


class SimulatedClient:
    """Replaces the HTTP client of an entry."""

    def __init__(self, targets: dict[str, SimulatedTarget], source: random.Random) -> None:
        self.targets = targets
        self.random = source

    async def send(self, attempt: Attempt, now: float) -> SimulatedResponse:
        """Run an attempt at its simulated target."""
        attempt.sent = True
        await self.targets[attempt.target_id].serve(self.random.expovariate(1 / SERVICE_SECONDS), QUEUE_LIMIT)
        return SimulatedResponse()


class SimulatedEntry:
    """The request path of one entry without its HTTP server and client."""

    def __init__(
        self, number: int, view: View, targets: dict[str, SimulatedTarget], policy: str, seed: int
    ) -> None:
        source = random.Random(f"{seed}/{number}")
        tuning = EntryTuning(view_lifetime=1e9)
        log = Log("entry", f"e{number}", "error")
        views = ViewStore(tuning.view_lifetime)
        views.offer(ViewAnswer(1, view.version, view), 0.0)
        states = TargetStates(tuning.cold_mark_lifetime)
        states.apply_view(views.table)
        in_flight = InFlightAttempts()
        self.admission = Admission(f"e{number}", views, states, in_flight, RequestCounts(), log)
        self.reports = {target_id: deque() for target_id in targets}
        self.chooser = self._chooser(policy, states, targets, source)
        self.admission.chooser = self.chooser
        crashes = CrashDetector(in_flight, lambda: None, 0.0, log)
        client = SimulatedClient(targets, source)
        self.dispatcher = Dispatcher(
            views, self.admission, states, crashes, client, tuning, NullMetrics(), lambda: None
        )

    def _chooser(
        self, policy: str, states: TargetStates, targets: dict[str, SimulatedTarget], source: random.Random
    ) -> Chooser:
        def estimate(target: TargetView, now: float) -> float:
            return states.states[target.target_id].estimated_wait(now)

        self.reported = dict.fromkeys(targets, 0.0)
        choosers = {
            "two_choices": lambda: PowerOfTwoChoices(estimate, source),
            "least_wait": lambda: LeastWait(estimate, source),
            "last_report": lambda: LastReport(lambda target: self.reported[target.target_id], 1.0, source),
            "round_robin": RoundRobin,
        }
        return choosers[policy]()

    def receive_report(self, target_id: str, load: float) -> None:
        """Record a delayed load report of a target."""
        self.reported[target_id] = load
        if isinstance(self.chooser, LastReport):
            self.chooser.record_report(target_id)


@attrs.define
class Run:
    """Latencies in seconds and failed requests of one policy."""

    latencies: list[float] = attrs.field(factory=list)
    failed: int = 0


def create_targets(view: View, seed: int) -> dict[str, SimulatedTarget]:
    """Return simulated targets of which one is slow in each window."""
    source = random.Random(seed)
    slow = [source.randrange(TARGETS) for _ in range(100_000)]
    return {
        target.target_id: SimulatedTarget(target, lambda window, number=number: slow[window] == number)
        for number, target in enumerate(view.targets)
    }


def create_view() -> View:
    """Return a view with one pooled service."""
    targets = tuple(
        TargetView(f"t{number}", "desk", f"t{number}:1", "d1", "i1", "warm", SLOTS, CONNECTIONS, 1)
        for number in range(TARGETS)
    )
    return View(1, 1, (ServiceView("desk", "pooled"),), targets)


async def send_reports(targets: dict[str, SimulatedTarget], entries: list[SimulatedEntry]) -> None:
    """Deliver the load of each target to all entries with the delay of reports."""
    loop = asyncio.get_running_loop()
    while True:
        for target_id, target in targets.items():
            for entry in entries:
                loop.call_later(REPORT_DELAY, entry.receive_report, target_id, target.load / ENTRIES)
        await asyncio.sleep(REPORT_INTERVAL)


async def drive(seconds: float, seed: int, serve: Callable[[int], asyncio.Future]) -> Run:
    """Send requests at exponentially distributed intervals; ``serve(number)`` runs one."""
    source = random.Random(seed + 1)
    loop = asyncio.get_running_loop()
    rate = TARGETS * SLOTS / SERVICE_SECONDS * UTILISATION
    result = Run()
    tasks: set[asyncio.Task[None]] = set()

    async def one(number: int) -> None:
        started = loop.time()
        try:
            await serve(number)
        except (NotRunError, UnknownOutcomeError, TimeoutError):
            result.failed += 1
            return
        if started >= WARM_UP_SECONDS:
            result.latencies.append(loop.time() - started)

    due = loop.time()
    for number in itertools.count():
        due += source.expovariate(rate)
        if due > seconds:
            break
        await asyncio.sleep(due - loop.time())
        task = asyncio.create_task(one(number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    return result


async def run_policy(policy: str, seconds: float, seed: int) -> Run:
    """Measure the request path of the entries with one policy for the choice of targets."""
    view = create_view()
    targets = create_targets(view, seed)
    entries = [SimulatedEntry(number, view, targets, policy, seed) for number in range(ENTRIES)]
    reports = asyncio.create_task(send_reports(targets, entries))
    service = view.services[0]

    async def serve(number: int) -> None:
        entry = entries[number % ENTRIES]
        deadline = asyncio.get_running_loop().time() + DEADLINE_SECONDS
        exchange = Exchange(service, "GET", f"/desk/{number}", [], b"", deadline, True, str(number))
        async with asyncio.timeout_at(deadline):
            attempt, _ = await entry.dispatcher.run(exchange)
        entry.dispatcher.finish(attempt)

    result = await drive(seconds, seed, serve)
    reports.cancel()
    return result


async def run_baseline(seconds: float, seed: int) -> Run:
    """Measure plain round robin: each entry sends to each target in turn, without limits or hedging."""
    view = create_view()
    targets = list(create_targets(view, seed).values())
    source = random.Random(seed + 2)
    positions = [source.randrange(TARGETS) for _ in range(ENTRIES)]

    async def serve(number: int) -> None:
        entry = number % ENTRIES
        positions[entry] = (positions[entry] + 1) % TARGETS
        await targets[positions[entry]].serve(source.expovariate(1 / SERVICE_SECONDS), float("inf"))

    return await drive(seconds, seed, serve)


def run_in_simulated_time(main: Callable[[], object]) -> Run:
    """Run a coroutine function on a new event loop with simulated time."""
    # No callbacks come from other threads, so the clock need not wait for any before it advances.
    loop = looptime.new_event_loop(start=0, noop_cycles=0)
    try:
        return loop.run_until_complete(main())
    finally:
        loop.close()


def measure(seconds: int, seed: int, policies: tuple[str, ...] = POLICIES) -> list[Figure]:
    """Return the p99 of each policy, with that of plain round robin as the baseline."""
    base = percentile(run_in_simulated_time(lambda: run_baseline(seconds, seed)).latencies, 0.99) * 1000
    result = []
    for policy in policies:
        outcome = run_in_simulated_time(lambda policy=policy: run_policy(policy, seconds, seed))
        value = percentile(outcome.latencies, 0.99) * 1000
        median = percentile(outcome.latencies, 0.5) * 1000
        note = (
            f"{len(outcome.latencies)} requests, {outcome.failed} failed, median {median:.2f} ms, seed {seed}"
        )
        if policy == policies[0]:
            figure = Figure(
                "straggler_p99",
                value,
                "ms",
                base,
                f"ratio <= {BOUND}",
                value / base <= BOUND,
                f"{policy}, {note}",
            )
        else:
            figure = Figure(f"straggler_p99_{policy}", value, "ms", base, note=note)
        result.append(figure)
    return result


async def run(seconds: int = 4) -> list[Figure]:
    """Measure ``seconds`` seconds of simulated load for each policy."""
    return await asyncio.to_thread(measure, seconds, 1)


def main() -> None:
    """Print the figures of one seed."""
    parser = argparse.ArgumentParser(prog="python -m bench.straggler", description=__doc__)
    parser.add_argument("--seconds", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rules", nargs="+", choices=POLICIES, default=POLICIES)
    options = parser.parse_args()
    for figure in measure(options.seconds, options.seed, tuple(options.rules)):
        print(figure.line())


if __name__ == "__main__":
    main()
