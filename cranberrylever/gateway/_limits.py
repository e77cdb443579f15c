"""Shares of the limits that all entries keep together without asking each other.

They answer a returning failure domain, whose cold targets every entry would send its usual share to, and
callers that repeat at once, whose retries must not add up over the entries.
"""

from cranberrylever.settings import LimitRules

COLD_SAFETY = 0.85
RETRY_SAFETY = 0.7


class ColdBucket:
    """One entry's share of what a cold target may get: ``rate`` a second with a burst of one.

    A second sees at most the burst and the rate of each entry, so the rates leave room for all bursts.
    """

    def __init__(self, target_rate: float, entries: int, rules: LimitRules, now: float) -> None:
        bound = target_rate * rules.cold_factor + rules.cold_extra
        wanted = min(target_rate, bound - entries)
        self.rate = max(0.0, COLD_SAFETY * wanted / entries)
        self.tokens = 1.0 if bound > entries else 0.0
        self.updated_at = now

    def delay(self, now: float) -> float:
        """Return the seconds until a request may be sent, infinite when none may."""
        self._refill(now)
        if self.tokens >= 1.0:
            return 0.0
        return (1.0 - self.tokens) / self.rate if self.rate > 0 else float("inf")

    def take(self, now: float) -> bool:
        """Use the share of one request; returns whether it may be sent."""
        if self.delay(now) > 0:
            return False
        self.tokens -= 1.0
        return True

    def _refill(self, now: float) -> None:
        self.tokens = min(1.0, self.tokens + (now - self.updated_at) * self.rate)
        self.updated_at = now


class RetryWindow:
    """One entry's share of the retries of one service in a sliding window."""

    STEPS = 10

    def __init__(self, rules: LimitRules, now: float) -> None:
        self.rules = rules
        self.step_time = rules.retry_window / self.STEPS
        self.requests = [0] * (self.STEPS + 1)
        self.retries = [0] * (self.STEPS + 1)
        self.step = int(now / self.step_time)

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._advance(now)
        self.requests[self.step % len(self.requests)] += 1

    def take(self, entries: int, now: float) -> bool:
        """Count a retry; returns whether it may be sent."""
        self._advance(now)
        allowed = self.rules.retry_ratio * sum(self.requests) + self.rules.retry_extra / entries
        if sum(self.retries) + 1 > RETRY_SAFETY * allowed:
            return False
        self.retries[self.step % len(self.retries)] += 1
        return True

    def _advance(self, now: float) -> None:
        step = int(now / self.step_time)
        for number in range(max(self.step + 1, step - len(self.requests) + 1), step + 1):
            self.requests[number % len(self.requests)] = 0
            self.retries[number % len(self.retries)] = 0
        self.step = max(self.step, step)
