"""Adaptive limit on the requests that one entry has at one target."""

DECREASE = 0.7
"""Factor on a refusal or a timeout."""

SLOW_DECREASE = 0.9
"""Factor when answers are slow compared with the long-run mean."""

SLOW_FACTOR = 3.0
"""Answers slower than this multiple of the long-run mean count as slow."""

DECREASE_INTERVAL = 0.1
"""Seconds between decreases, so that the requests of one slow moment count once."""

QUEUE_PER_SLOT = 16
MIN_QUEUE = 32


class AdaptiveLimit:
    """Additive increase while the limit is used and answers are fast, decrease on refusals and slow answers.

    Args:
        initial: First limit, the target's slots.
        maximum: Highest limit, the target's connections.
    """

    def __init__(self, initial: int, maximum: int) -> None:
        self.limit = float(max(1, initial))
        self.set_maximum(maximum)
        self._decreased_at = float("-inf")

    def set_maximum(self, maximum: int) -> None:
        """Change the highest limit, at least 1."""
        self.maximum = float(max(1, maximum))
        self.limit = min(self.limit, self.maximum)

    @property
    def value(self) -> int:
        """The limit as a whole number, at least 1."""
        return int(self.limit)

    def record_answer(self, latency: float, baseline: float, outstanding: int, now: float) -> None:
        """Adjust to an answer.

        Args:
            latency: Seconds until the answer.
            baseline: Long-run mean latency.
            outstanding: Requests at the target, including this one.
            now: Loop time.
        """
        if latency > SLOW_FACTOR * baseline:
            self._decrease(SLOW_DECREASE, now)
        elif 2 * outstanding >= self.limit:
            self.limit = min(self.maximum, self.limit + 1 / self.limit)

    def record_refusal(self, now: float) -> None:
        """Adjust to a refusal or a timeout."""
        self._decrease(DECREASE, now)

    def _decrease(self, factor: float, now: float) -> None:
        if now - self._decreased_at >= DECREASE_INTERVAL:
            self._decreased_at = now
            self.limit = max(1.0, self.limit * factor)

    def max_queue(self) -> int:
        """Return the most requests that may wait for this target."""
        return max(MIN_QUEUE, QUEUE_PER_SLOT * self.value)


def estimated_wait(ahead: int, latency: float, limit: int) -> float:
    """Return the seconds until a request with ``ahead`` others waiting before it is sent."""
    return (ahead + 1) * latency / max(1, limit)
