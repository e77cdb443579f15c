"""When targets were heard last and how long they stay cold, in the leader's memory."""

import attrs

from cranberrylever.target_registry._registry import RegisteredTarget, TargetAnnouncement


@attrs.define
class Contact:
    """What the leader heard from one life of a target; times are loop seconds."""

    heard_at: float
    sequence: int = -1
    cold_until: float = 0.0


class TargetLiveness:
    """Contacts by life.

    Args:
        now: Loop time; lives that were known before count as heard now.
    """

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.contacts: dict[tuple[str, int], Contact] = {}

    def record(self, announcement: TargetAnnouncement, now: float) -> bool:
        """Take over a notice and tell whether it changed how long the target stays cold.

        A notice that arrives after a later one of the same life only counts as a sign of life.
        """
        incarnation = (announcement.target_id, announcement.started_ms)
        contact = self.contacts.setdefault(incarnation, Contact(now))
        contact.heard_at = now
        if announcement.sequence < contact.sequence:
            return False
        contact.sequence = announcement.sequence
        was_cold = contact.cold_until > now
        contact.cold_until = now + announcement.cold_for if announcement.cold_for > 0 else 0.0
        return was_cold != (contact.cold_until > now)

    def is_latest(self, announcement: TargetAnnouncement) -> bool:
        """Tell whether no later notice of the same life has been recorded."""
        contact = self.contacts.get((announcement.target_id, announcement.started_ms))
        return contact is None or announcement.sequence >= contact.sequence

    def silence(self, target: RegisteredTarget, now: float) -> float:
        """Return the seconds since the target was heard."""
        contact = self.contacts.get(target.incarnation)
        return now - (contact.heard_at if contact else self.started_at)

    def has_announced(self, target: RegisteredTarget) -> bool:
        """Tell whether this leader has heard the target."""
        return target.incarnation in self.contacts

    def cold_for(self, target: RegisteredTarget, now: float) -> float:
        """Return how much longer the target stays cold, 0 when it is warm or was not heard yet."""
        contact = self.contacts.get(target.incarnation)
        return max(0.0, contact.cold_until - now) if contact else 0.0

    def keep_only(self, incarnations: set[tuple[str, int]]) -> None:
        """Forget all other lives."""
        self.contacts = {
            incarnation: contact
            for incarnation, contact in self.contacts.items()
            if incarnation in incarnations
        }
