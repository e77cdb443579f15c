"""Requests that crash the targets that run them, from the reports of all entries."""

from collections.abc import Iterable

CRASH_RETENTION_S = 600.0
"""Seconds for which a crash counts."""

MIN_CRASHED_TARGETS = 2
"""A request that crashed this many different targets is not run again."""

MAX_FINGERPRINTS = 10_000


class SuspectTracker:
    """Incarnations that closed a connection during a request, with their expiry, by its fingerprint."""

    def __init__(self) -> None:
        self.crashes: dict[str, dict[str, float]] = {}

    def record(self, crashed: Iterable[tuple[str, str]], now: float) -> None:
        """Add pairs of request fingerprint and incarnation; the oldest fingerprint is dropped when full."""
        for fingerprint, incarnation in crashed:
            if fingerprint not in self.crashes and len(self.crashes) >= MAX_FINGERPRINTS:
                del self.crashes[next(iter(self.crashes))]
            self.crashes.setdefault(fingerprint, {})[incarnation] = now + CRASH_RETENTION_S

    def blocked(self, now: float) -> tuple[str, ...]:
        """Return the fingerprints of requests that may not run again."""
        return tuple(
            fingerprint
            for fingerprint, incarnations in self.crashes.items()
            if sum(expires_at > now for expires_at in incarnations.values()) >= MIN_CRASHED_TARGETS
        )
