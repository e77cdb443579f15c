"""Detection of targets that appear cold again before control reports them as cold."""

import attrs

LATENCY_JUMP_FACTOR = 8.0
"""Ratio of the latency of an answer to the long-run mean from which it counts as a jump."""

LATENCY_JUMP_TIME_S = 1.0
"""Time that a jump must last; stragglers, which are slow for about 0.2 s, must not appear cold."""

MIN_JUMP_SAMPLES = 50
"""Number of answers in the long-run mean that is needed to detect a jump."""


@attrs.define
class _Mark:
    incarnation: str
    until: float


class ColdMarks:
    """Marks of targets that appear cold; a mark ends when a view confirms it or when it expires.

    Args:
        lifetime: Time in seconds after which an unconfirmed mark expires.
    """

    def __init__(self, lifetime: float) -> None:
        self.lifetime = lifetime
        self.marks: dict[str, _Mark] = {}

    def mark(self, target_id: str, incarnation: str, now: float) -> bool:
        """Mark a target that appears cold, and return whether its incarnation was not marked yet."""
        previous = self.marks.get(target_id)
        self.marks[target_id] = _Mark(incarnation, now + self.lifetime)
        return previous is None or previous.incarnation != incarnation

    def appears_cold(self, target_id: str, now: float) -> bool:
        """Return whether the target has a mark that has not expired."""
        if not self.marks:
            return False
        mark = self.marks.get(target_id)
        return mark is not None and now < mark.until

    def drop_expired(self, now: float) -> bool:
        """Drop the expired marks and return whether there were any."""
        expired = [target_id for target_id, mark in self.marks.items() if now >= mark.until]
        for target_id in expired:
            del self.marks[target_id]
        return bool(expired)

    def confirm(self, target_id: str) -> None:
        """Drop the mark, because the view now reports the target as cold."""
        self.marks.pop(target_id, None)


class LatencyJump:
    """Detects that the latency of one target has jumped and stays high."""

    def __init__(self) -> None:
        self.since: float | None = None

    def observe(self, latency: float, baseline: float, samples: int, now: float) -> bool:
        """Add one answer and return whether latency has been high for ``LATENCY_JUMP_TIME_S``.

        Args:
            latency: Seconds until the answer.
            baseline: Long-run mean latency in seconds.
            samples: Number of answers in the long-run mean.
            now: Loop time in seconds.
        """
        if samples < MIN_JUMP_SAMPLES or latency < LATENCY_JUMP_FACTOR * baseline:
            self.since = None
            return False
        if self.since is None:
            self.since = now
        return now - self.since >= LATENCY_JUMP_TIME_S
