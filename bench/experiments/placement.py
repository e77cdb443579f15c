"""How requests to a pooled service are divided among its targets, over time and under several loads."""

import functools
import operator

import attrs

from bench.experiments.pool import PoolResult, PoolSimulation, replay
from bench.experiments.pool_target import PoolLoad, SlowTarget

SECONDS = 20

WARM_UP_S = 2
"""Time whose requests do not count for the shares and the utilization of targets."""

CALM = PoolLoad(
    rates=(0.0,) * SECONDS,
    entries=2,
    speeds=(1.0,),
    targets=12,
    slots=60,
    queue=60,
    work=2.585,
    timeout=5.0,
    objective=4.5,
    deadline=5.1,
    noise_share=0.0,
    callers=120,
    work_range=(0.47, 4.7),
)
"""Closed loop of long requests at a sixth of the capacity of targets of the same speed."""

TIGHT = attrs.evolve(
    CALM, slots=40, queue=40, work=2.145, work_range=(0.39, 3.9), timeout=4.0, objective=3.6, deadline=4.1
)
"""The same with less time and fewer slots."""

SHORT_OBJECTIVE = attrs.evolve(CALM, objective=1.0)
"""The same with an objective that few requests could meet at any target."""


@attrs.frozen
class Placement:
    """Requests and utilization of each target in one replay, both also by second, and the outcome."""

    requests: tuple[int, ...]
    utilizations: tuple[float, ...]
    requests_by_second: tuple[tuple[int, ...], ...]
    result: PoolResult
    expected_service_time: float

    @property
    def busiest_over_mean(self) -> float:
        """Requests of the busiest target relative to the mean of all."""
        return max(self.requests) * len(self.requests) / max(1, sum(self.requests))

    @property
    def utilization_spread(self) -> float:
        """Largest difference of a target's utilization from the mean, relative to the mean."""
        mean = sum(self.utilizations) / len(self.utilizations)
        return max(abs(value - mean) for value in self.utilizations) / mean

    def share(self, number: int, start: int, end: int) -> float:
        """Return a target's share of the requests from the second ``start`` until ``end``."""
        own = sum(self.requests_by_second[number][start:end])
        return own / max(1, sum(sum(requests[start:end]) for requests in self.requests_by_second))


def place(
    load: PoolLoad,
    seed: int,
    warm_up: int = WARM_UP_S,
    simulation_class: type[PoolSimulation] = PoolSimulation,
) -> Placement:
    """Replay a load; the first ``warm_up`` seconds do not count for requests and utilization."""
    simulation = simulation_class(load, seed)
    results = replay(simulation)
    seconds = len(load.rates)
    targets = simulation.targets.values()
    by_second = tuple(tuple(target.requests[second] for second in range(seconds)) for target in targets)
    busy_times = [sum(target.busy_time[second] for second in range(warm_up, seconds)) for target in targets]
    return Placement(
        tuple(sum(requests[warm_up:]) for requests in by_second),
        tuple(
            time / target.slots / (seconds - warm_up)
            for time, target in zip(busy_times, targets, strict=True)
        ),
        by_second,
        functools.reduce(operator.add, results.values(), PoolResult()),
        simulation.expected_service_time,
    )


def open_load(
    utilization: float, targets: int, entries: int, work: float, seconds: int = 10, **changes
) -> PoolLoad:
    """Return arrivals at random at a share of the capacity, with a heavy tail of service times."""
    load = PoolLoad(
        (),
        entries,
        (1.0,),
        targets,
        6,
        work=work,
        timeout=12.0 * work,
        objective=8.0 * work,
        deadline=20.0 * work,
        noise_share=0.0,
    )
    load = attrs.evolve(load, **changes)
    slots = load.slots_by_target or (load.slots,)
    capacity = sum(
        slots[number % len(slots)] * load.speeds[number % len(load.speeds)] for number in range(targets)
    )
    return attrs.evolve(load, rates=(utilization * capacity / work,) * seconds)


UNEQUAL_SPEEDS = (0.5, 1.0, 1.5, 0.75, 1.25, 1.0)

HALF_LOAD = attrs.evolve(CALM, callers=360)
"""Closed loop of long requests at half of the capacity."""

SHORT_OBJECTIVE_FULL = attrs.evolve(SHORT_OBJECTIVE, callers=700, entries=3)
"""The objective that cannot be met, with nearly as many callers as slots."""

SHORT_WORK_FULL = PoolLoad(
    (245.0,) * 15,
    13,
    (1.0, 0.8, 1.2),
    6,
    slots=3,
    queue=12,
    work=0.063,
    spread=0.5,
    timeout=0.45,
    objective=0.2,
    deadline=0.5,
    late_credit=0.1,
    domains=3,
)
"""Short requests above the capacity of few targets that are slow by turns, at many entries."""

LOADS = {
    "calm, 60 slots": CALM,
    "calm, 40 slots": TIGHT,
    "objective of 1 s": SHORT_OBJECTIVE,
    "objective of 1 s, load 0.97": SHORT_OBJECTIVE_FULL,
    "calm, load 0.5": HALF_LOAD,
    "calm, load 0.5, 3 domains": attrs.evolve(HALF_LOAD, domains=3, entries=3),
    "equal, load 0.1": open_load(0.1, 12, 3, 0.3),
    "equal, load 0.5": open_load(0.5, 12, 3, 0.3, 30),
    "equal, load 0.9": open_load(0.9, 12, 3, 0.3),
    "equal, load 1.2": open_load(1.2, 12, 3, 0.3),
    "speeds of 0.5 to 1.5": open_load(0.5, 12, 3, 0.3, 20, speeds=UNEQUAL_SPEEDS),
    "2 to 12 slots": open_load(0.5, 12, 3, 0.3, slots_by_target=(2, 4, 6, 12)),
    "work of 5 ms": open_load(0.5, 6, 3, 0.005, 4),
    "work of 5 s": open_load(0.5, 12, 3, 5.0, 60),
    "2 entries, 2 targets": open_load(0.5, 2, 2, 0.3),
    "300 entries": open_load(0.5, 12, 300, 0.3),
    "80 entries, 21 targets": PoolLoad((163.0,) * 10),
    "80 entries, load 1.2": PoolLoad((372.0,) * 6),
    "13 entries, work of 63 ms, load 1.2": SHORT_WORK_FULL,
    "300 targets": open_load(0.5, 300, 12, 0.3, 4),
    "one slow for 6 s": open_load(0.5, 12, 3, 0.3, 16, slow_target=SlowTarget(0, 5.0, 11.0)),
    "one slow for 6 s, work of 1 s": open_load(0.5, 12, 3, 1.0, 20, slow_target=SlowTarget(0, 5.0, 11.0)),
}
