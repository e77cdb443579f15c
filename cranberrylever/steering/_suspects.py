"""Requests that crash each target that runs them, from what all entries saw."""

from collections.abc import Iterable

RETENTION_S = 600.0
BLOCKING_TARGETS = 2
"""A request during which this many different targets broke off is not run again."""

MAX_REQUESTS = 10_000


class SuspectBook:
    """Lives that broke off during a request, by its fingerprint."""

    def __init__(self) -> None:
        self.lives: dict[str, dict[str, float]] = {}

    def record(self, crashed: Iterable[tuple[str, str]], now: float) -> None:
        """Add pairs of fingerprint and life."""
        for fingerprint, life in crashed:
            if fingerprint not in self.lives and len(self.lives) >= MAX_REQUESTS:
                del self.lives[next(iter(self.lives))]
            self.lives.setdefault(fingerprint, {})[life] = now + RETENTION_S

    def blocked(self, now: float) -> tuple[str, ...]:
        """Return the fingerprints of requests that may not run."""
        return tuple(
            fingerprint
            for fingerprint, lives in self.lives.items()
            if sum(until > now for until in lives.values()) >= BLOCKING_TARGETS
        )
