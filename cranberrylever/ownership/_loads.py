"""Exponentially decayed request counts per shard and per hot key."""

import math

import attrs

from cranberrylever.wire import EntryReport

# Minimum time between two decays.
DECAY_STEP_S = 1.0
# Decayed count of requests at or below which a shard or key is dropped.
NEGLIGIBLE_REQUESTS = 0.01


@attrs.define
class ServiceLoad:
    """Decayed request counts of one service; divided by the time constant, they are requests per second."""

    shards: dict[int, float] = attrs.field(factory=dict)
    keys: dict[int, float] = attrs.field(factory=dict)

    def decay(self, factor: float) -> None:
        """Multiply all counts by ``factor`` and drop the negligible ones."""
        self.shards = _decayed(self.shards, factor)
        self.keys = _decayed(self.keys, factor)


class LoadTracker:
    """Loads of all services, held in the leader's memory.

    Args:
        time_constant: Time constant of the decay, in seconds.
    """

    def __init__(self, time_constant: float) -> None:
        self.time_constant = time_constant
        self.services: dict[str, ServiceLoad] = {}
        self.decayed_at: float | None = None

    def reset(self, now: float) -> None:
        """Discard all counts."""
        self.services.clear()
        self.decayed_at = now

    def record(self, report: EntryReport) -> None:
        """Add the counts of one report."""
        for count in report.shard_counts:
            counts = self.service(count.service).shards
            counts[count.shard] = counts.get(count.shard, 0.0) + count.requests
        for hot in report.hot_keys:
            counts = self.service(hot.service).keys
            counts[hot.key_hash] = counts.get(hot.key_hash, 0.0) + hot.requests

    def service(self, name: str) -> ServiceLoad:
        """Return the load of a service, created on first use."""
        return self.services.setdefault(name, ServiceLoad())

    def decay_counts(self, now: float) -> None:
        """Decay the counts by the time since the last decay, at most once per ``DECAY_STEP_S``."""
        if self.decayed_at is None:
            self.decayed_at = now
        if now - self.decayed_at < DECAY_STEP_S:
            return
        factor = math.exp(-(now - self.decayed_at) / self.time_constant)
        self.decayed_at = now
        for load in self.services.values():
            load.decay(factor)


def _decayed(counts: dict[int, float], factor: float) -> dict[int, float]:
    return {key: count * factor for key, count in counts.items() if count * factor > NEGLIGIBLE_REQUESTS}
