"""Load balancing rules for the targets of a pooled service."""

import abc
import random
from collections.abc import Callable, Sequence

from cranberrylever.routing._view import TargetView


class Chooser(abc.ABC):
    """Load balancing rule that selects one of the targets with capacity."""

    @abc.abstractmethod
    def choose(self, candidates: Sequence[TargetView], now: float) -> TargetView:
        """Return one of ``candidates``, a non-empty sequence, at loop time ``now``."""


class EstimatingChooser(Chooser):
    """Rule that compares targets by estimated wait.

    Args:
        estimate: Returns the estimated wait of a target at a loop time, in seconds.
        rng: Random number generator.
    """

    def __init__(
        self, estimate: Callable[[TargetView, float], float], rng: random.Random | None = None
    ) -> None:
        self.estimate = estimate
        self.random = rng or random.Random()


class PowerOfTwoChoices(EstimatingChooser):
    """Power of two random choices: of two random targets, the one with the shorter estimated wait."""

    def choose(self, candidates: Sequence[TargetView], now: float) -> TargetView:
        """Return the candidate with the shorter wait of two random ones."""
        count = len(candidates)
        if count == 1:
            return candidates[0]
        first_index = int(self.random.random() * count)
        second_index = int(self.random.random() * (count - 1))
        if second_index >= first_index:
            second_index += 1
        first_target, second_target = candidates[first_index], candidates[second_index]
        return (
            first_target
            if self.estimate(first_target, now) <= self.estimate(second_target, now)
            else second_target
        )


class LeastWait(EstimatingChooser):
    """Shortest estimated wait over all targets; ties are broken at random."""

    def choose(self, candidates: Sequence[TargetView], now: float) -> TargetView:
        """Return the candidate with the shortest estimated wait."""
        return min(candidates, key=lambda target: (self.estimate(target, now), self.random.random()))


class RoundRobin(Chooser):
    """Round robin over the targets."""

    def __init__(self) -> None:
        self.position = 0

    def choose(self, candidates: Sequence[TargetView], now: float) -> TargetView:
        """Return the next candidate."""
        self.position += 1
        return candidates[self.position % len(candidates)]


class LastReport(Chooser):
    """Lowest last reported load, plus an increment for each request sent since that report.

    Args:
        reported_load: Returns the load last reported by a target.
        increment: Load added for each request sent since the report.
        rng: Random number generator, for ties.
    """

    def __init__(
        self,
        reported_load: Callable[[TargetView], float],
        increment: float = 1.0,
        rng: random.Random | None = None,
    ) -> None:
        self.reported_load = reported_load
        self.increment = increment
        self.random = rng or random.Random()
        self.sent_since_report: dict[str, int] = {}

    def record_report(self, target_id: str) -> None:
        """Reset the requests counted for a target when its next report arrives."""
        self.sent_since_report[target_id] = 0

    def choose(self, candidates: Sequence[TargetView], now: float) -> TargetView:
        """Return the candidate with the lowest estimated load."""
        chosen = min(candidates, key=lambda target: (self._load(target), self.random.random()))
        self.sent_since_report[chosen.target_id] = self.sent_since_report.get(chosen.target_id, 0) + 1
        return chosen

    def _load(self, target: TargetView) -> float:
        return self.reported_load(target) + self.increment * self.sent_since_report.get(target.target_id, 0)
