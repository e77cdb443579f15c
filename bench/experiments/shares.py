"""How much work fast and slow targets should get: the planner's fair shares against equal utilization."""

import random

from bench.experiments.model import TargetModel, Workload
from cranberrylever.keyspace import PlanOwner, fair_weight
from cranberrylever.keyspace import _fair_work as fair_work

SPEEDS = (0.5, 1.0, 1.0, 1.5)
UTILIZATIONS = (0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8)
SIMULATED_SECONDS = 120.0

POLICIES = ("equal utilization", "by speed, unlimited", "planner")


def divide_work(policy: str, workload: Workload, utilization: float) -> list[float]:
    """Return the work of each target in seconds of service per second, for targets of ``SPEEDS``."""
    capacities = [workload.slots * speed for speed in SPEEDS]
    work = utilization * sum(capacities)
    if policy == "equal utilization":
        return [utilization * capacity for capacity in capacities]
    weights = [
        fair_weight(capacity, speed, utilization) for capacity, speed in zip(capacities, SPEEDS, strict=True)
    ]
    if policy == "by speed, unlimited":
        return [work * weight / sum(weights) for weight in weights]
    owners = [
        PlanOwner((str(number), 1), capacity, weight)
        for number, (capacity, weight) in enumerate(zip(capacities, weights, strict=True))
    ]
    fair = fair_work.divide_work(owners, work)
    return [fair[owner.incarnation] for owner in owners]


def mean_credit(policy: str, workload: Workload, utilization: float, seed: int) -> float:
    """Return the mean credit of a request over all targets of a simulated service."""
    shares = divide_work(policy, workload, utilization)
    rates = [share / workload.mean_service_time for share in shares]
    total = 0.0
    for number, (speed, rate) in enumerate(zip(SPEEDS, rates, strict=True)):
        target = TargetModel(workload, speed, SIMULATED_SECONDS, random.Random(f"{seed} {number}"))
        total += rate * target.credit(rate)
    return total / sum(rates)


def run(workload: Workload, seeds: range) -> dict[str, list[float]]:
    """Return the mean credit of each policy, one value per utilization."""
    return {
        policy: [
            sum(mean_credit(policy, workload, utilization, seed) for seed in seeds) / len(seeds)
            for utilization in UTILIZATIONS
        ]
        for policy in POLICIES
    }
