"""Load reports of a target, delayed by a configured lag."""

from collections import deque

import attrs

# Number of load changes kept; beyond it the oldest are dropped.
MAX_SAMPLES = 100_000


@attrs.frozen
class LoadSample:
    """Load at one loop time; ``at`` is in seconds."""

    at: float
    running: int
    queued: int


@attrs.define
class LoadHistory:
    """Load samples; ``lag`` is in seconds."""

    lag: float
    samples: deque[LoadSample] = attrs.field(factory=lambda: deque(maxlen=MAX_SAMPLES))

    def record(self, running: int, queued: int, now: float) -> None:
        """Record the load after a change."""
        self.samples.append(LoadSample(now, running, queued))

    def report(self, now: float) -> LoadSample:
        """Return the load as it was ``lag`` seconds ago."""
        report_time = now - self.lag
        while len(self.samples) > 1 and self.samples[1].at <= report_time:
            self.samples.popleft()
        if not self.samples or self.samples[0].at > report_time:
            return LoadSample(report_time, 0, 0)
        return self.samples[0]
