"""Retry budget and answered requests, which each entry tracks without coordination.

The budget bounds the retries of all entries together when callers repeat failed requests at once. Answered
requests are distinguished from those that crash each target that runs them.
"""

import collections

from cranberrylever.settings import LimitSettings

ALLOWANCE_SHARE = 0.7
"""Share of its allowance that an entry uses; entries do not coordinate their retries."""


class RetryBudget:
    """One entry's share of the retries of one service in a sliding window, counted in time buckets."""

    BUCKET_COUNT = 10

    def __init__(self, limits: LimitSettings, now: float) -> None:
        self.limits = limits
        self.bucket_time = limits.retry_window / self.BUCKET_COUNT
        self.requests = [0] * (self.BUCKET_COUNT + 1)
        self.retries = [0] * (self.BUCKET_COUNT + 1)
        self.bucket = int(now / self.bucket_time)

    def record_request(self, now: float) -> None:
        """Count a request of a caller, which raises the budget."""
        self._advance(now)
        self.requests[self.bucket % len(self.requests)] += 1

    def try_spend(self, entries: int, now: float) -> bool:
        """Return whether a retry may be sent; counts it if so."""
        self._advance(now)
        allowed = self.limits.retry_ratio * sum(self.requests) + self.limits.retry_extra / entries
        if sum(self.retries) + 1 > ALLOWANCE_SHARE * allowed:
            return False
        self.retries[self.bucket % len(self.retries)] += 1
        return True

    def _advance(self, now: float) -> None:
        bucket = int(now / self.bucket_time)
        for number in range(max(self.bucket + 1, bucket - len(self.requests) + 1), bucket + 1):
            self.requests[number % len(self.requests)] = 0
            self.retries[number % len(self.retries)] = 0
        self.bucket = max(self.bucket, bucket)


class AnsweredRequests:
    """Fingerprints of requests that a target has answered recently.

    They are not reported as crash suspects. Identical requests for a hot key are in progress at nearly every
    loss of a target without having caused it, while a request that crashes each target is never answered.
    """

    MAX_FINGERPRINTS = 4_096  # bounds the memory use

    def __init__(self) -> None:
        self.fingerprints: collections.OrderedDict[str, None] = collections.OrderedDict()

    def add(self, fingerprint: str) -> None:
        """Record that a target has answered such a request; drops the least recent entry above the limit."""
        self.fingerprints[fingerprint] = None
        self.fingerprints.move_to_end(fingerprint)
        if len(self.fingerprints) > self.MAX_FINGERPRINTS:
            self.fingerprints.popitem(last=False)

    def __contains__(self, fingerprint: str) -> bool:
        return fingerprint in self.fingerprints
