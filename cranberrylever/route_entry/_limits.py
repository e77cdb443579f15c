"""Limits on what is sent again, which entries keep without asking each other.

They answer callers that repeat at once, whose retries must not add up over the entries, and requests that
crash each target that runs them.
"""

import collections

from cranberrylever.settings import LimitRules

RETRY_SAFETY = 0.7


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


class ProvenRequests:
    """Fingerprints of requests that a target has answered of late.

    A request that crashes each target that runs it is never among them. One of which many are alike, such as
    those for a hot key, is under way at nearly every loss of a target without having caused it.
    """

    LIMIT = 4_096

    def __init__(self) -> None:
        self.fingerprints: collections.OrderedDict[str, None] = collections.OrderedDict()

    def add(self, fingerprint: str) -> None:
        """Note that a target has answered such a request; the oldest ones are forgotten."""
        self.fingerprints[fingerprint] = None
        self.fingerprints.move_to_end(fingerprint)
        if len(self.fingerprints) > self.LIMIT:
            self.fingerprints.popitem(last=False)

    def __contains__(self, fingerprint: str) -> bool:
        return fingerprint in self.fingerprints
