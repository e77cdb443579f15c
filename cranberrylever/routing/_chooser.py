"""Choice of a target for a request of a pooled service."""

import abc
import random
from collections.abc import Callable, Sequence

from cranberrylever.routing._view import TargetView


class Chooser(abc.ABC):
    """Chooses one of the targets that have room."""

    @abc.abstractmethod
    def choose(self, candidates: Sequence[TargetView], now: float) -> TargetView:
        """Return one of ``candidates``, which are not empty, at loop time ``now``."""


class EstimatingChooser(Chooser):
    """Chooses by the estimated wait of targets.

    Args:
        estimate: Estimated wait of a target at a loop time, in seconds.
        source: Random numbers.
    """

    def __init__(
        self, estimate: Callable[[TargetView, float], float], source: random.Random | None = None
    ) -> None:
        self.estimate = estimate
        self.random = source or random.Random()


class TwoChoices(EstimatingChooser):
    """The better of two random targets by estimated wait."""

    def choose(self, candidates: Sequence[TargetView], now: float) -> TargetView:
        """Return the better of two random candidates."""
        count = len(candidates)
        if count == 1:
            return candidates[0]
        first = int(self.random.random() * count)
        second = int(self.random.random() * (count - 1))
        if second >= first:
            second += 1
        one, other = candidates[first], candidates[second]
        return one if self.estimate(one, now) <= self.estimate(other, now) else other


class LeastWait(EstimatingChooser):
    """The target with the least estimated wait of all; ties go to a random one."""

    def choose(self, candidates: Sequence[TargetView], now: float) -> TargetView:
        """Return the candidate with the least estimate."""
        return min(candidates, key=lambda target: (self.estimate(target, now), self.random.random()))


class RoundRobin(Chooser):
    """Each target in turn."""

    def __init__(self) -> None:
        self.position = 0

    def choose(self, candidates: Sequence[TargetView], now: float) -> TargetView:
        """Return the next candidate."""
        self.position += 1
        return candidates[self.position % len(candidates)]


class LastReport(Chooser):
    """The least reported load plus an increment per request sent since that report.

    Args:
        reported: Load last reported by a target.
        increment: Load added for each request sent since.
        source: Random numbers, for ties.
    """

    def __init__(
        self,
        reported: Callable[[TargetView], float],
        increment: float = 1.0,
        source: random.Random | None = None,
    ) -> None:
        self.reported = reported
        self.increment = increment
        self.random = source or random.Random()
        self.sent: dict[str, int] = {}

    def record_report(self, target_id: str) -> None:
        """Note that a new report of the target has arrived."""
        self.sent[target_id] = 0

    def choose(self, candidates: Sequence[TargetView], now: float) -> TargetView:
        """Return the candidate with the least presumed load."""
        chosen = min(candidates, key=lambda target: (self._load(target), self.random.random()))
        self.sent[chosen.target_id] = self.sent.get(chosen.target_id, 0) + 1
        return chosen

    def _load(self, target: TargetView) -> float:
        return self.reported(target) + self.increment * self.sent.get(target.target_id, 0)
