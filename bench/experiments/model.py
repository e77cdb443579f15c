"""A model of one target: slots, speed, and a machine that is slow for moments."""

import math
import random

import attrs

NOISE_STEP_S = 0.4
"""Time for which a shared machine stays slow or usual."""

TOO_LATE = 0.6
"""Share of its objective that a request may wait before it is refused."""


@attrs.frozen
class Workload:
    """Requests of one site: times in seconds, credits relative to an answer in time."""

    name: str
    slots: int
    work: float
    spread: float
    objective: float
    deadline: float
    late_credit: float
    noise_share: float = 0.2
    noise_factor: float = 3.0

    @property
    def usual_work(self) -> float:
        """Mean time of a request at a usual target, moments of slowness included."""
        return self.work * (1.0 + self.noise_share * (self.noise_factor - 1.0))


CANOPY = Workload("canopy-gate", 3, 0.098, 0.7, 0.3, 0.8, 0.1)
PBDTC = Workload("pbdtc-gate", 6, 0.175, 0.7, 0.5, 1.2, 0.3)


class TargetModel:
    """One target that serves requests in order of arrival.

    Args:
        workload: Slots, work and moments of slowness.
        speed: Speed relative to a usual target.
        seconds: Time to model.
        rng: Source of all randomness.
    """

    def __init__(self, workload: Workload, speed: float, seconds: float, rng: random.Random) -> None:
        self.workload = workload
        self.speed = speed
        self.seconds = seconds
        self.rng = rng
        steps = int(2 * seconds / NOISE_STEP_S) + 2
        self.paces = [
            workload.noise_factor if rng.random() < workload.noise_share else 1.0 for _ in range(steps)
        ]

    def credit(self, rate: float) -> float:
        """Return the mean credit of a request at ``rate`` requests a second."""
        if rate <= 0:
            return 0.0
        load = self.workload
        free_at = [0.0] * load.slots
        mu = math.log(load.work) - load.spread**2 / 2
        now, total, number = 0.0, 0.0, 0
        while now < self.seconds:
            now += self.rng.expovariate(rate)
            number += 1
            slot = min(range(load.slots), key=free_at.__getitem__)
            begin = max(now, free_at[slot])
            if begin - now > TOO_LATE * load.objective:
                continue
            end = self._end(begin, self.rng.lognormvariate(mu, load.spread) / self.speed)
            free_at[slot] = min(end, now + load.deadline)
            if end - now <= load.objective:
                total += 1.0
            elif end - now < load.deadline:
                total += load.late_credit
        return total / number

    def _end(self, begin: float, work: float) -> float:
        """Return when work that begins then is done, through moments of slowness."""
        step = int(begin / NOISE_STEP_S)
        moment = begin
        while step < len(self.paces) - 1:
            possible = ((step + 1) * NOISE_STEP_S - moment) / self.paces[step]
            if possible >= work:
                return moment + work * self.paces[step]
            work -= possible
            step += 1
            moment = step * NOISE_STEP_S
        return moment + work
