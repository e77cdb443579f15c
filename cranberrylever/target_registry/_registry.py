"""The replicated directory of targets that announce themselves again and again."""

import attrs

MAX_ENDED_LIVES = 2_000
"""Ended lives remembered, so that a call of theirs that was held up does not bring them back."""


@attrs.frozen
class TargetAnnouncement:
    """What a target says about itself at one moment.

    ``started_ms`` is the time of its start in Unix milliseconds and names its life together with the id.
    ``sequence`` grows with each notice of one life. ``cold_for`` is how much longer it stays cold, in
    seconds.
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
    """One life of a target; ``leaving`` is set for good once it has said that it drains."""

    target_id: str
    started_ms: int
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool = False

    @property
    def incarnation(self) -> tuple[str, int]:
        """Id and start, which no other process shares."""
        return self.target_id, self.started_ms


@attrs.frozen
class TargetRegistryRecord:
    """Snapshot form of ``TargetRegistry``."""

    targets: tuple[RegisteredTarget, ...] = ()
    ended: tuple[tuple[str, int], ...] = ()


class TargetRegistry:
    """All targets by id, and the lives that have ended."""

    def __init__(self, record: TargetRegistryRecord | None = None) -> None:
        record = record or TargetRegistryRecord()
        self.targets = {target.target_id: target for target in record.targets}
        self.ended: dict[tuple[str, int], None] = dict.fromkeys(
            tuple(incarnation) for incarnation in record.ended
        )

    def is_outdated(self, announcement: TargetAnnouncement) -> bool:
        """Tell whether a notice comes from a life that has ended or was replaced."""
        if (announcement.target_id, announcement.started_ms) in self.ended:
            return True
        known = self.targets.get(announcement.target_id)
        if known is not None and known.started_ms > announcement.started_ms:
            return True
        occupant = self.at_address(announcement.address)
        return (
            occupant is not None
            and occupant.target_id != announcement.target_id
            and occupant.started_ms > announcement.started_ms
        )

    def is_change(self, announcement: TargetAnnouncement) -> bool:
        """Tell whether a notice says something that the directory does not hold."""
        if self.is_outdated(announcement):
            return False
        known = self.targets.get(announcement.target_id)
        return known is None or known != self._merged(announcement, known)

    def at_address(self, address: str) -> RegisteredTarget | None:
        """Return the target that listens on ``address``."""
        return next((target for target in self.targets.values() if target.address == address), None)

    def record(self, announcement: TargetAnnouncement) -> tuple[RegisteredTarget, ...]:
        """Take over a notice.

        Returns:
            The lives that it proves to have ended: an earlier one at the same address.
        """
        if self.is_outdated(announcement):
            return ()
        ended = []
        known = self.targets.get(announcement.target_id)
        occupant = self.at_address(announcement.address)
        if occupant is not None and occupant.incarnation != (announcement.target_id, announcement.started_ms):
            ended.append(occupant)
            self.end(occupant.target_id, occupant.started_ms)
        self.targets[announcement.target_id] = self._merged(announcement, known)
        return tuple(ended)

    def end(self, target_id: str, started_ms: int) -> RegisteredTarget | None:
        """Remove a life for good and return it, ``None`` when it is not in the directory."""
        target = self.targets.get(target_id)
        if target is None or target.started_ms != started_ms:
            return None
        del self.targets[target_id]
        self._remember_end(target.incarnation)
        return target

    def leave(self, target_id: str, started_ms: int) -> bool:
        """Mark a life that has said that it ends; later notices of it, held up on their way, change nothing.

        Returns:
            Whether this was news.
        """
        target = self.targets.get(target_id)
        if target is None or target.started_ms != started_ms or target.incarnation in self.ended:
            return False
        self.targets[target_id] = attrs.evolve(target, leaving=True)
        self._remember_end(target.incarnation)
        return True

    def forget(self, target_id: str, started_ms: int) -> RegisteredTarget | None:
        """Remove a life that has been silent for long; it may announce itself again."""
        target = self.targets.get(target_id)
        if target is None or target.started_ms != started_ms:
            return None
        return self.targets.pop(target_id)

    def to_record(self) -> TargetRegistryRecord:
        """Return the content for a snapshot."""
        return TargetRegistryRecord(tuple(self.targets.values()), tuple(self.ended))

    def _remember_end(self, incarnation: tuple[str, int]) -> None:
        self.ended[incarnation] = None
        while len(self.ended) > MAX_ENDED_LIVES:
            del self.ended[next(iter(self.ended))]

    @staticmethod
    def _merged(announcement: TargetAnnouncement, known: RegisteredTarget | None) -> RegisteredTarget:
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
