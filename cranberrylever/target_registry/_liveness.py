"""Last announcement of each target and its remaining cold start, in the memory of the leader."""

import attrs

from cranberrylever.target_registry._registry import RegisteredTarget, TargetAnnouncement


@attrs.define
class LastAnnouncement:
    """Last announcement of one incarnation of a target; times are loop times in seconds."""

    last_seen_at: float
    sequence: int = -1
    cold_until: float = 0.0


class TargetLiveness:
    """Last announcements by incarnation.

    Args:
        now: Loop time in seconds; incarnations that have not announced themselves yet count as seen now.
    """

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.last_announcements: dict[tuple[str, int], LastAnnouncement] = {}

    def record(self, announcement: TargetAnnouncement, now: float) -> bool:
        """Record an announcement and return whether the target became cold or warm by it.

        An announcement that arrives after a later one of its incarnation only updates ``last_seen_at``.
        """
        incarnation = (announcement.target_id, announcement.started_ms)
        last = self.last_announcements.setdefault(incarnation, LastAnnouncement(now))
        last.last_seen_at = max(now, last.last_seen_at)
        if announcement.sequence < last.sequence:
            return False
        last.sequence = announcement.sequence
        was_cold = last.cold_until > now
        last.cold_until = now + announcement.cold_for if announcement.cold_for > 0 else 0.0
        return was_cold != (last.cold_until > now)

    def is_latest(self, announcement: TargetAnnouncement) -> bool:
        """Return whether no later announcement of the same incarnation has been recorded."""
        last = self.last_announcements.get((announcement.target_id, announcement.started_ms))
        return last is None or announcement.sequence >= last.sequence

    def seconds_since_announcement(self, target: RegisteredTarget, now: float) -> float:
        """Return the seconds since the last announcement of the target."""
        last = self.last_announcements.get(target.incarnation)
        return now - (last.last_seen_at if last else self.started_at)

    def has_announced(self, target: RegisteredTarget) -> bool:
        """Return whether the target has announced itself to this leader."""
        return target.incarnation in self.last_announcements

    def cold_for(self, target: RegisteredTarget, now: float) -> float:
        """Return the seconds until the target is warm, 0 when it is warm or has not announced itself yet."""
        last = self.last_announcements.get(target.incarnation)
        return max(0.0, last.cold_until - now) if last else 0.0

    def keep_only(self, incarnations: set[tuple[str, int]], seen_since: float) -> None:
        """Drop all other incarnations that have not announced themselves since a loop time.

        The registration of a new one may not be committed yet.
        """
        self.last_announcements = {
            incarnation: last
            for incarnation, last in self.last_announcements.items()
            if incarnation in incarnations or last.last_seen_at >= seen_since
        }
