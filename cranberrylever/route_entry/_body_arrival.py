"""Arrival of a request body, and whether its entry has the time for it.

Load: bodies of 60 to 360 kB over links of 2 Mbit/s, which take 0.2 to 1.5 s and more when callers share a
link, at an entry that stops within a grace period of 6 s.
"""

import math

import attrs

MIN_RATE_TIME_S = 0.2
"""Time from a body's first byte from which its rate is known; the first bytes come in one burst."""


@attrs.define
class BodyArrival:
    """A body that arrives; times are loop times in seconds.

    ``length`` is the stated one in bytes, ``None`` without. An answer is expected ``service_time`` seconds
    after the last byte. The entry stops at ``stops_at``, infinite before its stop begins.
    """

    length: int | None
    began_at: float
    service_time: float = 0.0
    stops_at: float = math.inf
    received: int = 0

    def expected_end(self, now: float) -> float:
        """Return when the last byte is expected by the mean rate so far; ``now`` while it is unknown."""
        elapsed = now - self.began_at
        if self.length is None or not self.received or elapsed < MIN_RATE_TIME_S:
            return now
        return now + elapsed * (self.length - self.received) / self.received

    @property
    def must_end_by(self) -> float:
        """When the last byte must have come so that an answer is expected before the entry stops."""
        return self.stops_at - self.service_time

    def is_too_slow_for_stop(self, now: float) -> bool:
        """Return whether the body and its answer are not expected before the entry stops."""
        return self.expected_end(now) > self.must_end_by
