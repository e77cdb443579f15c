"""Requests that were in flight on targets as these crashed."""

import attrs

RETENTION = 600.0
"""Seconds for which a crash is remembered."""

REPORT_TIME = 30.0
"""Seconds for which an own observation is part of each report; it outlasts a change of the control leader."""

BLOCKING_CRASHES = 2
"""A request that crashed this many targets is refused."""

MAX_FINGERPRINTS = 10_000


@attrs.define
class _Suspect:
    crashes: dict[str, float] = attrs.field(factory=dict)
    observed: dict[str, float] = attrs.field(factory=dict)


class SuspectTable:
    """Crashed targets per request fingerprint, from this entry and from control.

    A crash is named by target and incarnation, so that one target that crashes twice counts twice.
    """

    def __init__(self) -> None:
        self.suspects: dict[str, _Suspect] = {}

    def record_crash(self, fingerprint: str, crash: str, now: float) -> bool:
        """Add a crash that this entry observed; returns whether it is news."""
        suspect = self._get(fingerprint)
        is_new = crash not in suspect.crashes
        suspect.crashes.setdefault(crash, now + RETENTION)
        suspect.observed.setdefault(crash, now + REPORT_TIME)
        return is_new

    def merge(self, fingerprint: str, crashes: tuple[str, ...], now: float) -> None:
        """Add crashes that other entries observed; those known already keep their retention."""
        suspect = self._get(fingerprint)
        for crash in crashes:
            suspect.crashes.setdefault(crash, now + RETENTION)

    def crashes(self, fingerprint: str, now: float) -> int:
        """Return the number of remembered crashes."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return 0
        return sum(expiry > now for expiry in suspect.crashes.values())

    def observed(self, now: float) -> list[tuple[str, tuple[str, ...]]]:
        """Return the crashes to report, per fingerprint."""
        report = []
        for fingerprint, suspect in self.suspects.items():
            recent = tuple(crash for crash, until in suspect.observed.items() if until > now)
            if recent:
                report.append((fingerprint, recent))
        return report

    def expire(self, now: float) -> None:
        """Forget crashes whose retention is over."""
        for fingerprint, suspect in list(self.suspects.items()):
            suspect.crashes = {crash: expiry for crash, expiry in suspect.crashes.items() if expiry > now}
            if not suspect.crashes:
                del self.suspects[fingerprint]

    def _get(self, fingerprint: str) -> _Suspect:
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            if len(self.suspects) >= MAX_FINGERPRINTS:
                del self.suspects[next(iter(self.suspects))]
            suspect = self.suspects[fingerprint] = _Suspect()
        return suspect
