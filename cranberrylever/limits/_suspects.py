"""Requests that were in flight at targets when these crashed."""

import attrs

CRASH_RETENTION_S = 600.0
"""Time for which a crash counts against a fingerprint."""

CRASH_REPORT_TIME_S = 30.0
"""Time for which reports repeat a crash that this entry observed; longer than a change of leader takes."""

BLOCKING_CRASHES = 2
"""Number of crashed targets from which a request is refused."""

MAX_FINGERPRINTS = 10_000
"""Number of fingerprints above which the oldest one is dropped."""


@attrs.define
class _Suspect:
    """Crashes of one fingerprint, as maps from crash to loop time.

    ``crashes`` contains all crashes with their expiry. ``observed`` contains the crashes that this entry
    observed, with the time until which reports repeat them.
    """

    crashes: dict[str, float] = attrs.field(factory=dict)
    observed: dict[str, float] = attrs.field(factory=dict)


class SuspectTable:
    """Crashes of targets by request fingerprint, as observed by this entry and as reported by control.

    A crash is identified by target and incarnation, so that a target that crashes twice counts twice.
    """

    def __init__(self) -> None:
        self.suspects: dict[str, _Suspect] = {}

    def record_crash(self, fingerprint: str, crash: str, now: float) -> bool:
        """Add a crash that this entry observed, and return whether it was not known yet."""
        suspect = self._get_or_create(fingerprint)
        is_new = crash not in suspect.crashes
        suspect.crashes.setdefault(crash, now + CRASH_RETENTION_S)
        suspect.observed.setdefault(crash, now + CRASH_REPORT_TIME_S)
        return is_new

    def merge(self, fingerprint: str, crashes: tuple[str, ...], now: float) -> None:
        """Add crashes that other entries observed; crashes that are already known keep their expiry."""
        suspect = self._get_or_create(fingerprint)
        for crash in crashes:
            suspect.crashes.setdefault(crash, now + CRASH_RETENTION_S)

    def crashes(self, fingerprint: str, now: float) -> int:
        """Return the number of crashes that have not expired."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return 0
        return sum(expiry > now for expiry in suspect.crashes.values())

    def observed(self, now: float) -> list[tuple[str, tuple[str, ...]]]:
        """Return the crashes to report, by fingerprint."""
        report = []
        for fingerprint, suspect in self.suspects.items():
            recent = tuple(crash for crash, until in suspect.observed.items() if until > now)
            if recent:
                report.append((fingerprint, recent))
        return report

    def expire(self, now: float) -> None:
        """Drop the crashes that have expired."""
        for fingerprint, suspect in list(self.suspects.items()):
            suspect.crashes = {crash: expiry for crash, expiry in suspect.crashes.items() if expiry > now}
            if not suspect.crashes:
                del self.suspects[fingerprint]

    def _get_or_create(self, fingerprint: str) -> _Suspect:
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            if len(self.suspects) >= MAX_FINGERPRINTS:
                del self.suspects[next(iter(self.suspects))]
            suspect = self.suspects[fingerprint] = _Suspect()
        return suspect
