"""Targets that look cold again before control knows it."""

import attrs

JUMP_FACTOR = 8.0
"""Recent latency over the long-run mean that counts as a jump."""

JUMP_TIME = 1.0
"""Seconds a jump must last. Stragglers are slow for about 0.2 s and must keep their place."""

MIN_SAMPLES = 50
"""Answers needed before a jump is judged."""


@attrs.define
class _Mark:
    incarnation: str
    until: float


class ColdMarks:
    """Marks of targets that look cold; control confirms each with a view, or the mark expires.

    Args:
        lifetime: Seconds after which an unconfirmed mark expires.
    """

    def __init__(self, lifetime: float) -> None:
        self.lifetime = lifetime
        self.marks: dict[str, _Mark] = {}

    def mark(self, target_id: str, incarnation: str, now: float) -> bool:
        """Note that a target looks cold; returns whether this is news."""
        known = self.marks.get(target_id)
        self.marks[target_id] = _Mark(incarnation, now + self.lifetime)
        return known is None or known.incarnation != incarnation

    def appears_cold(self, target_id: str, now: float) -> bool:
        """Tell whether the target is marked."""
        if not self.marks:
            return False
        mark = self.marks.get(target_id)
        return mark is not None and now < mark.until

    def take_expired(self, now: float) -> bool:
        """Drop the marks that have expired; returns whether there were any."""
        expired = [target_id for target_id, mark in self.marks.items() if now >= mark.until]
        for target_id in expired:
            del self.marks[target_id]
        return bool(expired)

    def confirm(self, target_id: str) -> None:
        """Drop the mark, because the view now says that the target is cold."""
        self.marks.pop(target_id, None)


class LatencyJump:
    """Notices that a target's latency has jumped and stays high."""

    def __init__(self) -> None:
        self.since: float | None = None

    def observe(self, latency: float, baseline: float, samples: int, now: float) -> bool:
        """Add one answer; returns whether latency has been high for ``JUMP_TIME``."""
        if samples < MIN_SAMPLES or latency < JUMP_FACTOR * baseline:
            self.since = None
            return False
        if self.since is None:
            self.since = now
        return now - self.since >= JUMP_TIME
