"""Simulation of one target with slots, a relative speed and random slow periods of its machine."""

import math
import random

import attrs

NOISE_STEP_S = 0.4
"""Length of one period in which a shared machine is either slow or at its normal speed."""

MAX_WAIT_SHARE = 0.6
"""Share of its objective that a request may wait; a longer wait refuses it."""


@attrs.frozen
class Workload:
    """Requests of one site; times are in seconds.

    Attributes:
        name: Name of the site.
        slots: Requests that a target runs at once.
        work: Mean service time at speed 1.0, without slow periods.
        spread: Standard deviation of the logarithm of the service time.
        objective: Latency up to which an answer has a credit of 1.
        deadline: Latency from which an answer has no credit.
        late_credit: Credit of an answer between objective and deadline.
        noise_share: Share of periods in which the machine is slow.
        noise_factor: Factor on service times in a slow period.
    """

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
    def mean_service_time(self) -> float:
        """Mean service time of a request at speed 1.0, slow periods included."""
        return self.work * (1.0 + self.noise_share * (self.noise_factor - 1.0))


CANOPY = Workload("canopy-gate", 3, 0.098, 0.7, 0.3, 0.8, 0.1)
PBDTC = Workload("pbdtc-gate", 6, 0.175, 0.7, 0.5, 1.2, 0.3)


class TargetModel:
    """Simulated target that serves requests in order of arrival.

    Args:
        workload: Slots, service times and slow periods.
        speed: Relative speed; 1.0 is the average of the service.
        seconds: Simulated time.
        rng: Random source of arrivals, service times and slow periods.
    """

    def __init__(self, workload: Workload, speed: float, seconds: float, rng: random.Random) -> None:
        self.workload = workload
        self.speed = speed
        self.seconds = seconds
        self.rng = rng
        steps = int(2 * seconds / NOISE_STEP_S) + 2
        self.slowdowns = [
            workload.noise_factor if rng.random() < workload.noise_share else 1.0 for _ in range(steps)
        ]

    def credit(self, rate: float) -> float:
        """Return the mean credit of a request at ``rate`` requests per second."""
        if rate <= 0:
            return 0.0
        workload = self.workload
        free_at = [0.0] * workload.slots
        mu = math.log(workload.work) - workload.spread**2 / 2
        now, total, request_count = 0.0, 0.0, 0
        while now < self.seconds:
            now += self.rng.expovariate(rate)
            request_count += 1
            slot = min(range(workload.slots), key=free_at.__getitem__)
            start = max(now, free_at[slot])
            if start - now > MAX_WAIT_SHARE * workload.objective:
                continue
            end = self._end(start, self.rng.lognormvariate(mu, workload.spread) / self.speed)
            free_at[slot] = min(end, now + workload.deadline)
            if end - now <= workload.objective:
                total += 1.0
            elif end - now < workload.deadline:
                total += workload.late_credit
        return total / request_count

    def _end(self, start: float, work: float) -> float:
        """Return the end of ``work`` seconds of service that start at ``start``, slow periods included."""
        step = int(start / NOISE_STEP_S)
        now = start
        while step < len(self.slowdowns) - 1:
            possible = ((step + 1) * NOISE_STEP_S - now) / self.slowdowns[step]
            if possible >= work:
                return now + work * self.slowdowns[step]
            work -= possible
            step += 1
            now = step * NOISE_STEP_S
        return now + work
