"""Replicated registry of targets, which announce themselves periodically."""

import attrs

MAX_ENDED_INCARNATIONS = 2_000
"""Ended incarnations that are kept, so that a delayed announcement does not register one again."""


@attrs.frozen
class TargetAnnouncement:
    """State of a target as it announces it.

    ``started_ms`` is the start time in Unix milliseconds; with ``target_id`` it identifies the incarnation.
    ``sequence`` increases with each announcement of an incarnation. ``cold_for`` is the remaining time of its
    cold start in seconds.
    """

    target_id: str
    started_ms: int
    sequence: int
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    cold_for: float


@attrs.frozen
class RegisteredTarget:
    """One incarnation of a target; ``leaving`` is set once it drains or deregisters, and is never cleared."""

    target_id: str
    started_ms: int
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool = False

    @property
    def incarnation(self) -> tuple[str, int]:
        """Id and start time, which identify one process."""
        return self.target_id, self.started_ms


@attrs.frozen
class TargetRegistryRecord:
    """Content of a ``TargetRegistry`` in a snapshot."""

    targets: tuple[RegisteredTarget, ...] = ()
    ended: tuple[tuple[str, int], ...] = ()


class TargetRegistry:
    """All targets by id, and the incarnations that have ended."""

    def __init__(self, record: TargetRegistryRecord | None = None) -> None:
        record = record or TargetRegistryRecord()
        self.targets = {target.target_id: target for target in record.targets}
        self.ended: dict[tuple[str, int], None] = dict.fromkeys(
            tuple(incarnation) for incarnation in record.ended
        )

    def is_outdated(self, announcement: TargetAnnouncement) -> bool:
        """Return whether an announcement comes from an incarnation that has ended or was replaced."""
        if (announcement.target_id, announcement.started_ms) in self.ended:
            return True
        known = self.targets.get(announcement.target_id)
        if known is not None and known.started_ms > announcement.started_ms:
            return True
        address_holder = self.at_address(announcement.address)
        return (
            address_holder is not None
            and address_holder.target_id != announcement.target_id
            and address_holder.started_ms > announcement.started_ms
        )

    def is_leaving(self, announcement: TargetAnnouncement) -> bool:
        """Return whether an announcement comes from a registered incarnation that leaves."""
        known = self.targets.get(announcement.target_id)
        return known is not None and known.started_ms == announcement.started_ms and known.leaving

    def would_change(self, announcement: TargetAnnouncement) -> bool:
        """Return whether an announcement would change the registry."""
        return not self.repeats(announcement) and not self.is_outdated(announcement)

    def repeats(self, announcement: TargetAnnouncement) -> bool:
        """Return whether an announcement states what is recorded of its incarnation, which has not ended."""
        known = self.targets.get(announcement.target_id)
        if known is None or known.incarnation in self.ended:
            return False
        return known == self._merge(announcement, known)

    def at_address(self, address: str) -> RegisteredTarget | None:
        """Return the target that listens on ``address``, or ``None``."""
        return next((target for target in self.targets.values() if target.address == address), None)

    def record(self, announcement: TargetAnnouncement) -> tuple[RegisteredTarget, ...]:
        """Record an announcement unless it is outdated.

        Returns:
            The incarnations that it proves to have ended: an earlier one at the same address.
        """
        if self.is_outdated(announcement):
            return ()
        ended = []
        known = self.targets.get(announcement.target_id)
        address_holder = self.at_address(announcement.address)
        if address_holder is not None and address_holder.incarnation != (
            announcement.target_id,
            announcement.started_ms,
        ):
            ended.append(address_holder)
            self.remove_permanently(address_holder.target_id, address_holder.started_ms)
        self.targets[announcement.target_id] = self._merge(announcement, known)
        return tuple(ended)

    def remove_permanently(self, target_id: str, started_ms: int) -> RegisteredTarget | None:
        """Remove an incarnation permanently and return it, or ``None`` when it is not registered."""
        target = self.targets.get(target_id)
        if target is None or target.started_ms != started_ms:
            return None
        del self.targets[target_id]
        self._record_end(target.incarnation)
        return target

    def deregister(self, target_id: str, started_ms: int) -> bool:
        """Mark an incarnation that deregisters, so that delayed announcements of it have no effect.

        Returns:
            Whether it was registered and had not ended.
        """
        target = self.targets.get(target_id)
        if target is None or target.started_ms != started_ms or target.incarnation in self.ended:
            return False
        self.targets[target_id] = attrs.evolve(target, leaving=True)
        self._record_end(target.incarnation)
        return True

    def remove(self, target_id: str, started_ms: int) -> RegisteredTarget | None:
        """Remove an incarnation whose announcements are long overdue; it may announce itself again."""
        target = self.targets.get(target_id)
        if target is None or target.started_ms != started_ms:
            return None
        return self.targets.pop(target_id)

    def to_record(self) -> TargetRegistryRecord:
        """Return the content for a snapshot."""
        return TargetRegistryRecord(tuple(self.targets.values()), tuple(self.ended))

    def _record_end(self, incarnation: tuple[str, int]) -> None:
        self.ended[incarnation] = None
        while len(self.ended) > MAX_ENDED_INCARNATIONS:
            del self.ended[next(iter(self.ended))]

    @staticmethod
    def _merge(announcement: TargetAnnouncement, known: RegisteredTarget | None) -> RegisteredTarget:
        was_leaving = known is not None and known.started_ms == announcement.started_ms and known.leaving
        return RegisteredTarget(
            announcement.target_id,
            announcement.started_ms,
            announcement.service,
            announcement.address,
            announcement.failure_domain,
            announcement.slots,
            announcement.draining or was_leaving,
        )
