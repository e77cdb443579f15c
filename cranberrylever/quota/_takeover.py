"""What entries state to a new leader about the tokens of its predecessor."""

from collections.abc import Collection

from cranberrylever.wire import AHEAD_TOKEN_LIFETIME_S, RECENT_S, QuotaReport

MIN_UPTIME_S = AHEAD_TOKEN_LIFETIME_S + RECENT_S
"""Uptime of a process from which an earlier one of the same entry has no tokens and no recent requests."""


class TakeoverStatements:
    """First reports of the entries in a term, by which a new leader learns what its predecessor granted.

    Load: a leader is lost while customers use most of their quota. Without these reports
    their accounts would begin empty, and requests that waited while there was no leader would be refused.

    Args:
        entries: Ids of all entries that may have got tokens; it follows changes.
    """

    def __init__(self, entries: Collection[str]) -> None:
        self.entries = entries
        self.reports: dict[str, QuotaReport] = {}

    def record(self, entry_id: str, report: QuotaReport) -> bool:
        """Record the first report of an entry; return whether those of all entries are known with it."""
        if entry_id in self.reports or report.uptime < MIN_UPTIME_S:
            return False
        self.reports[entry_id] = report
        return len(self.reports) >= len(self.entries) and all(
            entry_id in self.reports for entry_id in self.entries
        )

    def recent_requests(self) -> dict[str, int]:
        """Return how many requests each customer began at all entries in the last seconds."""
        recent: dict[str, int] = {}
        for report in self.reports.values():
            for need in report.needs:
                recent[need.customer] = recent.get(need.customer, 0) + need.recent
        return recent

    def held_tokens(self) -> dict[str, dict[int, int]]:
        """Return by customer and process how many tokens of the predecessor may still be used."""
        held: dict[str, dict[int, int]] = {}
        for report in self.reports.values():
            for need in report.needs:
                if need.held:
                    held.setdefault(need.customer, {})[report.process] = need.held
        return held
