"""Latency of one target and of one service, from the answers an entry has seen."""

import math

DECAY_TIME = 0.5
"""Seconds after which an old latency peak counts for a third."""

BASELINE_WEIGHT = 0.02
"""Weight of one answer in the long-run mean."""

QUANTILE_SAMPLES = 512
QUANTILE_REFRESH = 64


class TargetLatency:
    """Recent and long-run latency of one target in seconds.

    The recent latency follows a slower answer at once and decays with time towards the long-run mean, so that
    a target whose slow phase is over is tried again although it gets few requests.
    """

    def __init__(self) -> None:
        self.baseline = 0.0
        self.samples = 0
        self._peak = 0.0
        self._updated = 0.0

    def record(self, latency: float, now: float) -> None:
        """Add one answer."""
        self.samples += 1
        if self.samples == 1:
            self.baseline = latency
            self._peak = latency
        else:
            # One answer from a slow phase must not raise the long-run mean, against which slowness is judged.
            bounded = min(latency, 4 * self.baseline)
            self.baseline += max(BASELINE_WEIGHT, 1 / self.samples) * (bounded - self.baseline)
            self._peak = max(latency, self.recent(now))
        self._updated = now

    def recent(self, now: float) -> float:
        """Return the latency to expect at ``now``, 0 without any answer yet."""
        weight = math.exp(-(now - self._updated) / DECAY_TIME)
        return self.baseline + (self._peak - self.baseline) * weight


class RunningQuantile:
    """Quantile of the last answers, refreshed now and then.

    Args:
        quantile: Between 0 and 1.
    """

    def __init__(self, quantile: float) -> None:
        self.quantile = quantile
        self.values: list[float] = []
        self._position = 0
        self._current: float | None = None

    def record(self, value: float) -> None:
        """Add one value."""
        if len(self.values) < QUANTILE_SAMPLES:
            self.values.append(value)
        else:
            self.values[self._position % QUANTILE_SAMPLES] = value
        self._position += 1
        if self._position % QUANTILE_REFRESH == 0:
            ordered = sorted(self.values)
            self._current = ordered[int(self.quantile * (len(ordered) - 1))]

    def value(self) -> float | None:
        """Return the quantile, or ``None`` while there are too few values."""
        return self._current
