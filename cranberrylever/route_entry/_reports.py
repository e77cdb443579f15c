"""What an entry collects for control between two reports."""

from cranberrylever.keyspace import part_of
from cranberrylever.wire import PartWork, ServiceWork, TargetServiceTime

MAX_CRASHES_REPORTED = 64


class ReportBook:
    """Work by part of each key space, paces of targets and lost answers since the last report."""

    def __init__(self) -> None:
        self.work: dict[str, dict[int, float]] = {}
        self.paces: dict[tuple[str, int], tuple[float, float]] = {}
        self.crashes: dict[tuple[str, str], None] = {}

    def record_work(self, service: str, key: int, seconds: float) -> None:
        """Add the usual work of one request for a key."""
        parts = self.work.setdefault(service, {})
        part = part_of(key)
        parts[part] = parts.get(part, 0.0) + seconds

    def record_pace(self, target_id: str, started_ms: int, elapsed: float, usual: float) -> None:
        """Add one request that did not queue."""
        before = self.paces.get((target_id, started_ms), (0.0, 0.0))
        self.paces[target_id, started_ms] = (before[0] + elapsed, before[1] + usual)

    def record_crash(self, fingerprint: str, incarnation: str) -> None:
        """Add a request during which a target broke off."""
        if len(self.crashes) < MAX_CRASHES_REPORTED:
            self.crashes[fingerprint, incarnation] = None

    def take_work(self) -> tuple[ServiceWork, ...]:
        """Return the work and start to collect anew."""
        work, self.work = self.work, {}
        return tuple(
            ServiceWork(service, tuple(PartWork(part, seconds) for part, seconds in parts.items()))
            for service, parts in work.items()
        )

    def take_paces(self) -> tuple[TargetServiceTime, ...]:
        """Return the paces and start to collect anew."""
        paces, self.paces = self.paces, {}
        return tuple(
            TargetServiceTime(*incarnation, elapsed, usual) for incarnation, (elapsed, usual) in paces.items()
        )

    def take_crashes(self) -> tuple[tuple[str, str], ...]:
        """Return the lost answers and start to collect anew."""
        crashes, self.crashes = self.crashes, {}
        return tuple(crashes)
