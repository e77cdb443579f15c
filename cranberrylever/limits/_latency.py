"""Latency statistics of one target or one service, from the answers that an entry has received."""

import math

PEAK_DECAY_TIME_S = 0.5
"""Time in which the excess of a latency peak over the long-run mean decays to 1/e."""

BASELINE_WEIGHT = 0.02
"""Weight of one answer in the long-run mean; the first 50, capped, are averaged with equal weights."""

QUANTILE_SAMPLES = 512
"""Number of recent values that a quantile is computed from."""

QUANTILE_REFRESH_SAMPLES = 64
"""Number of new values after which a quantile is computed again."""


class TargetLatency:
    """Recent and long-run mean latency of one target in seconds.

    The recent latency rises to that of a slower answer at once and decays to the long-run mean with time, so
    that a target is tried again after a slow phase although it gets few requests meanwhile.
    """

    def __init__(self) -> None:
        self.baseline = 0.0
        self.samples = 0
        self._peak = 0.0
        self._updated_at = 0.0

    def record(self, latency: float, now: float) -> None:
        """Add one answer."""
        self.samples += 1
        if self.samples == 1:
            self.baseline = latency
            self._peak = latency
        else:
            # Capped, so that one answer of a slow phase hardly raises the mean that defines what is slow.
            capped = min(latency, 4 * self.baseline)
            self.baseline += max(BASELINE_WEIGHT, 1 / self.samples) * (capped - self.baseline)
            self._peak = max(latency, self.recent(now))
        self._updated_at = now

    def recent(self, now: float) -> float:
        """Return the expected latency at loop time ``now``, 0 before the first answer."""
        weight = math.exp(-(now - self._updated_at) / PEAK_DECAY_TIME_S)
        return self.baseline + (self._peak - self.baseline) * weight


class RunningQuantile:
    """Quantile of the last ``QUANTILE_SAMPLES`` values, computed every ``QUANTILE_REFRESH_SAMPLES`` values.

    Args:
        quantile: Between 0 and 1.
    """

    def __init__(self, quantile: float) -> None:
        self.quantile = quantile
        self.values: list[float] = []
        self._recorded_count = 0
        self._current: float | None = None

    def record(self, value: float) -> None:
        """Add one value."""
        if len(self.values) < QUANTILE_SAMPLES:
            self.values.append(value)
        else:
            self.values[self._recorded_count % QUANTILE_SAMPLES] = value
        self._recorded_count += 1
        if self._recorded_count % QUANTILE_REFRESH_SAMPLES == 0:
            ordered = sorted(self.values)
            self._current = ordered[int(self.quantile * (len(ordered) - 1))]

    def value(self) -> float | None:
        """Return the last computed quantile, or ``None`` before the first computation."""
        return self._current
