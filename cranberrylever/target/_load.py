"""Load report of a target, which lags behind its load by a set time."""

from collections import deque

import attrs

SAMPLE_LIMIT = 100_000


@attrs.frozen
class LoadSample:
    """Load at one time in loop seconds."""

    at: float
    running: int
    queued: int


@attrs.define
class LoadHistory:
    """Samples of the load; ``lag`` is in seconds."""

    lag: float
    samples: deque[LoadSample] = attrs.field(factory=lambda: deque(maxlen=SAMPLE_LIMIT))

    def record(self, running: int, queued: int, now: float) -> None:
        """Record the load after a change."""
        self.samples.append(LoadSample(now, running, queued))

    def report(self, now: float) -> LoadSample:
        """Return the load as it was ``lag`` seconds ago."""
        due = now - self.lag
        while len(self.samples) > 1 and self.samples[1].at <= due:
            self.samples.popleft()
        if not self.samples or self.samples[0].at > due:
            return LoadSample(due, 0, 0)
        return self.samples[0]
