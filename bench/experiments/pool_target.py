"""Load on a pooled service and its simulated targets."""

import asyncio
import collections
import random

import attrs

from bench.experiments.model import NOISE_STEP_S
from cranberrylever.route_entry._default_format import LOAD, NOT_RUN, OUTCOME
from cranberrylever.target_http import TargetAnswer


@attrs.frozen
class SlowTarget:
    """A target whose speed has ``factor`` from ``start`` to ``end``, in seconds of simulated time."""

    number: int
    start: float
    end: float
    factor: float = 0.25


@attrs.frozen
class PoolLoad:
    """Requests of one route, and the targets and entries that serve them; times are in seconds.

    Attributes:
        rates: Requests per second, each for one second of simulated time.
        entries: Number of entries.
        speeds: Relative speeds of the targets, in turn.
        targets: Number of targets.
        slots: Requests that a target runs at once.
        queue: Requests that a target queues; further ones are rejected.
        work: Mean service time at speed 1.0, without slow periods.
        spread: Standard deviation of the logarithm of the service time.
        timeout: Timeout of the route.
        objective: Latency up to which an answer has a credit of 1.
        deadline: Time that the caller waits.
        late_credit: Credit of an answer after the objective.
        noise_share: Share of periods in which a target's machine is slow.
        noise_factor: Factor on service times in a slow period.
        callers: Callers that each send their next request after the answer; 0 for requests at ``rates``.
        work_range: Limits of a uniform service time, in place of a distribution with a heavy tail.
        slots_by_target: Slots of the targets, in turn, in place of ``slots``.
        slow_target: A target that is slow for a time without reporting it.
        domains: Number of failure domains, which entries and targets are in by turns.
    """

    rates: tuple[float, ...]
    entries: int = 80
    speeds: tuple[float, ...] = (0.7, 0.7, 1.6)
    targets: int = 21
    slots: int = 6
    queue: int = 24
    work: float = 0.29
    spread: float = 0.8
    timeout: float = 1.2
    objective: float = 0.8
    deadline: float = 2.0
    late_credit: float = 0.3
    noise_share: float = 0.2
    noise_factor: float = 3.0
    callers: int = 0
    work_range: tuple[float, float] | None = None
    slots_by_target: tuple[int, ...] = ()
    slow_target: SlowTarget | None = None
    domains: int = 1


def failure_domain(number: int, load: PoolLoad) -> str:
    """Return the failure domain of the entry or target with a number."""
    return f"domain{number % load.domains}"


class PoolTarget:
    """Simulated target with slots, a queue and slow periods of its machine."""

    def __init__(self, load: PoolLoad, number: int, seed: int) -> None:
        self.load = load
        self.speed = load.speeds[number % len(load.speeds)]
        self.slots = (
            load.slots_by_target[number % len(load.slots_by_target)] if load.slots_by_target else load.slots
        )
        self.failure_domain = failure_domain(number, load)
        is_slow = load.slow_target is not None and load.slow_target.number == number
        self.slow_period = load.slow_target if is_slow else None
        self.rng = random.Random(f"{seed} {number}")
        self.slot_limit = asyncio.Semaphore(self.slots)
        self.running = 0
        self.waiting = 0
        self.requests: collections.Counter[int] = collections.Counter()
        self.busy_time: collections.defaultdict[int, float] = collections.defaultdict(float)
        self.step = -1
        self.slowdown = 1.0

    @property
    def has_free_slot(self) -> bool:
        """Whether one more request would run at once."""
        return self.running + self.waiting < self.slots

    async def run(self, work: float) -> bool:
        """Run a request of ``work`` seconds; return ``False`` when the queue is full."""
        if self.waiting >= self.load.queue:
            return False
        self.requests[int(asyncio.get_running_loop().time())] += 1
        self.waiting += 1
        try:
            await self.slot_limit.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            await self._work(work)
        finally:
            self.running -= 1
            self.slot_limit.release()
        return True

    async def _work(self, work: float) -> None:
        now = asyncio.get_running_loop().time()
        while work > 0:
            speed = self._current_speed(now)
            period_end = (self.step + 1) * NOISE_STEP_S
            elapsed = min(work / speed, period_end - now)
            self.busy_time[int(now)] += elapsed
            await asyncio.sleep(elapsed)
            work -= elapsed * speed
            now = max(period_end, asyncio.get_running_loop().time())

    def _current_speed(self, now: float) -> float:
        period = self.slow_period
        factor = period.factor if period is not None and period.start <= now < period.end else 1.0
        return factor * self.speed / self.current_slowdown(now)

    def current_slowdown(self, now: float) -> float:
        """Return the factor on service times in the present period."""
        while now >= (self.step + 1) * NOISE_STEP_S:
            self.step += 1
            is_slow = self.rng.random() < self.load.noise_share
            self.slowdown = self.load.noise_factor if is_slow else 1.0
        return self.slowdown

    def answer(self, is_done: bool) -> TargetAnswer:
        """Return an answer with the load that the target reports."""
        slowdown = self.current_slowdown(asyncio.get_running_loop().time())
        load = b"%d,%d,%d,%d" % (self.running, self.waiting, self.slots, slowdown * 100)
        if is_done:
            return TargetAnswer(200, [(OUTCOME, b"done"), (LOAD, load)])
        return TargetAnswer(503, [(OUTCOME, NOT_RUN), (LOAD, load)])
