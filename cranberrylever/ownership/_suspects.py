"""Fingerprints of requests in flight on targets that crashed, as reported by entries."""

from collections.abc import Iterable

from cranberrylever.wire import SuspectRecord

# Number of fingerprints above which the one whose last new crash is oldest is dropped.
MAX_SUSPECTS = 1_000


class SuspectTable:
    """Requests suspected of crashing targets, held in the leader's memory.

    Args:
        retention: Seconds for which a fingerprint is kept after the last new crash reported for it.
    """

    def __init__(self, retention: float) -> None:
        self.retention = retention
        self.crashed: dict[str, frozenset[str]] = {}
        self.changed_at: dict[str, float] = {}

    def record(self, suspects: Iterable[SuspectRecord], now: float) -> None:
        """Merge the suspects of one report; a crash that is already known does not extend the retention."""
        for suspect in suspects:
            known_crashes = self.crashed.get(suspect.fingerprint, frozenset())
            merged = known_crashes | frozenset(suspect.crashed)
            if merged != known_crashes:
                self.crashed[suspect.fingerprint] = merged
                self.changed_at[suspect.fingerprint] = now
        while len(self.crashed) > MAX_SUSPECTS:
            self._discard(min(self.changed_at, key=self.changed_at.__getitem__))

    def current(self, now: float) -> tuple[SuspectRecord, ...]:
        """Return the suspects within their retention."""
        for fingerprint, changed_at in list(self.changed_at.items()):
            if now - changed_at >= self.retention:
                self._discard(fingerprint)
        return tuple(
            SuspectRecord(fingerprint, tuple(sorted(self.crashed[fingerprint])))
            for fingerprint in sorted(self.crashed)
        )

    def _discard(self, fingerprint: str) -> None:
        del self.crashed[fingerprint]
        del self.changed_at[fingerprint]
