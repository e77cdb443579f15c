"""Adaptive limit on the concurrent requests of one entry at one target."""

REFUSAL_DECREASE_FACTOR = 0.7
"""Factor on the limit after a refusal or a timeout."""

SLOW_DECREASE_FACTOR = 0.9
"""Factor on the limit after an answer that is slow compared with the long-run mean."""

SLOW_LATENCY_FACTOR = 3.0
"""Multiple of the long-run mean latency above which an answer counts as slow."""

DECREASE_INTERVAL_S = 0.1
"""Shortest time between decreases, so that all requests delayed by one stall count once."""

QUEUE_LENGTH_PER_LIMIT = 16
"""Requests that may wait for a target for each request that its limit allows."""

MIN_QUEUE_LENGTH = 32
"""Requests that may wait for a target even if its limit is 1."""


class AdaptiveLimit:
    """Limit with additive increase and multiplicative decrease (AIMD).

    It increases while at least half of it is used and answers are fast. It decreases after refusals, timeouts
    and slow answers.

    Args:
        initial: Initial limit: the slots of the target.
        maximum: Highest limit: the connections that the target accepts.
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
        """The limit rounded down, at least 1."""
        return int(self.limit)

    def record_answer(self, latency: float, baseline: float, outstanding: int, now: float) -> None:
        """Adjust the limit after an answer.

        Args:
            latency: Seconds until the answer.
            baseline: Long-run mean latency in seconds.
            outstanding: Requests of this entry at the target, including this one.
            now: Loop time in seconds.
        """
        if latency > SLOW_LATENCY_FACTOR * baseline:
            self._decrease(SLOW_DECREASE_FACTOR, now)
        elif 2 * outstanding >= self.limit:
            self.limit = min(self.maximum, self.limit + 1 / self.limit)

    def record_refusal(self, now: float) -> None:
        """Adjust the limit after a refusal or a timeout."""
        self._decrease(REFUSAL_DECREASE_FACTOR, now)

    def _decrease(self, factor: float, now: float) -> None:
        if now - self._decreased_at >= DECREASE_INTERVAL_S:
            self._decreased_at = now
            self.limit = max(1.0, self.limit * factor)

    def max_queue(self) -> int:
        """Return the maximum number of requests that may wait for this target."""
        return max(MIN_QUEUE_LENGTH, QUEUE_LENGTH_PER_LIMIT * self.value)


def estimated_wait(ahead: int, latency: float, limit: int) -> float:
    """Return the seconds until a request is sent that has ``ahead`` requests before it in the queue."""
    return (ahead + 1) * latency / max(1, limit)
