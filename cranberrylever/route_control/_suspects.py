"""Requests that crash each target that runs them, from what all entries saw."""

from collections.abc import Iterable

RETENTION_S = 600.0
BLOCKING_TARGETS = 2
"""A request during which this many different targets broke off is not run again."""

MAX_REQUESTS = 10_000


class SuspectBook:
    """Lives that broke off during a request, by its fingerprint."""

    def __init__(self) -> None:
        self.incarnations: dict[str, dict[str, float]] = {}

    def record(self, crashed: Iterable[tuple[str, str]], now: float) -> None:
        """Add pairs of fingerprint and life."""
        for fingerprint, incarnation in crashed:
            if fingerprint not in self.incarnations and len(self.incarnations) >= MAX_REQUESTS:
                del self.incarnations[next(iter(self.incarnations))]
            self.incarnations.setdefault(fingerprint, {})[incarnation] = now + RETENTION_S

    def blocked(self, now: float) -> tuple[str, ...]:
        """Return the fingerprints of requests that may not run."""
        return tuple(
            fingerprint
            for fingerprint, incarnations in self.incarnations.items()
            if sum(until > now for until in incarnations.values()) >= BLOCKING_TARGETS
        )
