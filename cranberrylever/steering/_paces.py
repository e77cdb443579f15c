"""How fast targets are, from requests that they ran without queueing."""

from collections.abc import Sequence

from cranberrylever.wire import TargetPace

WEIGHT = 0.15
"""Weight of a new report; the momentary slowness of a shared machine must average out."""

SLOWEST = 0.25
FASTEST = 3.0


class PaceBook:
    """Speed of each life relative to the usual target of its service."""

    def __init__(self) -> None:
        self.slowness: dict[tuple[str, int], float] = {}

    def record(self, pace: TargetPace) -> None:
        """Add what an entry measured."""
        if pace.usual <= 0 or pace.elapsed <= 0:
            return
        life = (pace.target_id, pace.started_ms)
        ratio = min(1 / SLOWEST, max(1 / FASTEST, pace.elapsed / pace.usual))
        previous = self.slowness.get(life, 1.0)
        self.slowness[life] = previous + WEIGHT * (ratio - previous)

    def speed(self, life: tuple[str, int], peers: Sequence[tuple[str, int]]) -> float:
        """Return the speed of a life relative to the mean of its peers.

        Entries learn the usual time of a route from these speeds, so without the mean both could drift.
        """
        values = [self.slowness.get(peer, 1.0) for peer in peers]
        mean = sum(values) / len(values) if values else 1.0
        return mean / self.slowness.get(life, 1.0)

    def keep_only(self, lives: set[tuple[str, int]]) -> None:
        """Forget all other lives."""
        self.slowness = {life: value for life, value in self.slowness.items() if life in lives}
