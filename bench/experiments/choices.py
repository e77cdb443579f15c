"""How a target is chosen for a pooled request: the entries' choice against other ways."""

import math
import statistics
from collections.abc import Sequence

from bench.experiments.pool import PoolSimulation
from bench.experiments.pool_target import PoolLoad
from cranberrylever.route_control._speeds import PRIOR_WORK_S, SpeedTracker
from cranberrylever.route_entry._choice import PooledChooser, candidate_count
from cranberrylever.route_entry._dispatcher import Dispatcher
from cranberrylever.route_entry._view import TargetState

STALE_BONUS = 0.3
"""Share of its slots by which a target counts as less busy once its load report is old."""

STALE_AFTER_S = 1.0


class LeastCompletionTime(PooledChooser):
    """The least estimated completion time of a few candidates, whatever their utilization."""

    def _utilization(self, target: TargetState, load: float, delay: float, now: float) -> float:
        return 0.0


class TwoByCapacity(PooledChooser):
    """The least utilized of two candidates that are drawn by capacity."""

    def _draw_candidates(
        self, targets: Sequence[TargetState], count: int, now: float
    ) -> Sequence[TargetState]:
        return super()._draw_candidates(targets, 2, now)

    def _cost(self, target: TargetState, service_time: float, now: float) -> float:
        return load_per_capacity(target, now)


class LeastLoadWithBonus(PooledChooser):
    """The least utilized of a few candidates, with a bonus for those whose load report is old."""

    def _cost(self, target: TargetState, service_time: float, now: float) -> float:
        age = min(60.0, now - target.estimate.reported_at)
        bonus = STALE_BONUS * (1.0 - math.exp(-age / STALE_AFTER_S))
        return load_per_capacity(target, now) - bonus + 0.01 * self.rng.random()


class HotAndCold(LeastCompletionTime):
    """The least completion time among the less utilized half of a few candidates."""

    def choose(
        self, targets: Sequence[TargetState], entries: int, service_time: float, now: float
    ) -> TargetState:
        """Return the target for one request."""
        candidates = self._draw_candidates(targets, candidate_count(entries), now)
        loads = [(target.estimate.expected_load(now) + 1.0) / target.estimate.slots for target in candidates]
        if min(loads) >= 1.0:
            return min(zip(loads, candidates, strict=True), key=lambda item: item[0])[1]
        limit = statistics.median(loads)
        cold = [target for load, target in zip(loads, candidates, strict=True) if load <= limit]
        return min(cold, key=lambda target: self._cost(target, service_time, now))


class AtRandom(PooledChooser):
    """A target at random in proportion to capacity."""

    def choose(
        self, targets: Sequence[TargetState], entries: int, service_time: float, now: float
    ) -> TargetState:
        """Return the target for one request."""
        capacities = [target.info.slots * target.info.speed for target in targets]
        return self.rng.choices(targets, capacities)[0]


def load_per_capacity(target: TargetState, now: float) -> float:
    """Return the requests at the target, with one more, per slot of an average target."""
    estimate = target.estimate
    return (estimate.expected_load(now) + 1.0) / estimate.slots / max(0.1, target.info.speed)


class CommonScale(SpeedTracker):
    """Speeds relative to the mean service time of all requests, in place of the mean of all targets."""

    def _relative_service_time(self, incarnation: tuple[str, int]) -> float:
        elapsed = PRIOR_WORK_S + sum(item.elapsed for item in self.records.values())
        expected = PRIOR_WORK_S + sum(item.expected for item in self.records.values())
        item = self.records.get(incarnation)
        if item is None:
            return 1.0
        return (PRIOR_WORK_S + item.elapsed * expected / elapsed) / (PRIOR_WORK_S + item.expected)


class EqualSpeeds(SpeedTracker):
    """No measured speeds."""

    def _relative_service_time(self, incarnation: tuple[str, int]) -> float:
        return 1.0


WAYS: dict[str, tuple[type[PooledChooser], type[SpeedTracker]]] = {
    "completion time and utilization": (PooledChooser, SpeedTracker),
    "the same, common scale of speeds": (PooledChooser, CommonScale),
    "least completion time": (LeastCompletionTime, SpeedTracker),
    "the same, common scale of speeds ": (LeastCompletionTime, CommonScale),
    "the same, equal speeds": (LeastCompletionTime, EqualSpeeds),
    "hot and cold half": (HotAndCold, SpeedTracker),
    "two by capacity": (TwoByCapacity, SpeedTracker),
    "least load, bonus if stale": (LeastLoadWithBonus, SpeedTracker),
    "at random by capacity": (AtRandom, SpeedTracker),
}


def simulation_of(way: str) -> type[PoolSimulation]:
    """Return the simulation whose entries choose targets in a way of ``WAYS``."""
    chooser_class, tracker_class = WAYS[way]

    class WaySimulation(PoolSimulation):
        def __init__(self, load: PoolLoad, seed: int) -> None:
            super().__init__(load, seed)
            self.speed_tracker = tracker_class()

        def _create_entry(self, domain: str) -> Dispatcher:
            dispatcher = super()._create_entry(domain)
            chooser = dispatcher.selector.chooser
            dispatcher.selector.chooser = chooser_class(domain, chooser.permits, chooser.rng)
            return dispatcher

    return WaySimulation
