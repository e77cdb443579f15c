"""The replicated directory of targets."""

import attrs

from cranberrylever.membership._announcement import Announcement

PHASE_COLD = "cold"
PHASE_WARM = "warm"
PHASE_LEAVING = "leaving"
PHASE_LOST = "lost"
PHASES = (PHASE_COLD, PHASE_WARM, PHASE_LEAVING, PHASE_LOST)

MAX_PAST_INCARNATIONS = 32
"""Past incarnations kept per target, so that a delayed announcement of one is recognized as superseded."""


@attrs.frozen
class TargetRecord:
    """Replicated state of one target.

    ``phase_version`` is the log index of the last change of phase or incarnation. ``grant_version`` is the
    log index of the last change to the set of shards that the target owns. ``past_incarnations`` are the
    incarnations before the current one, latest last.
    """

    announcement: Announcement
    phase: str
    phase_version: int
    grant_version: int
    past_incarnations: tuple[str, ...] = ()

    @property
    def target_id(self) -> str:
        """Return the target's id."""
        return self.announcement.target_id

    @property
    def incarnation(self) -> str:
        """Return the current incarnation."""
        return self.announcement.incarnation


class TargetDirectory:
    """All known targets by id."""

    def __init__(self, records: tuple[TargetRecord, ...] = ()) -> None:
        self.records = {record.target_id: record for record in records}

    def get(self, target_id: str) -> TargetRecord | None:
        """Return the record of ``target_id``, ``None`` if it is unknown."""
        return self.records.get(target_id)

    def current(self, target_id: str, incarnation: str) -> TargetRecord | None:
        """Return the record of ``target_id`` if ``incarnation`` is its current one, else ``None``."""
        record = self.records.get(target_id)
        if record is None or record.incarnation != incarnation:
            return None
        return record

    def is_superseded(self, announcement: Announcement) -> bool:
        """Return whether a later incarnation of the same target has announced itself.

        Without this test a delayed announcement voids the grants of the process that replaced its sender. If
        the later incarnation is lost, the earlier one may announce itself again, because no grant is valid.
        """
        record = self.records.get(announcement.target_id)
        if record is None or record.phase == PHASE_LOST:
            return False
        return announcement.incarnation in record.past_incarnations

    def announce(self, index: int, announcement: Announcement) -> None:
        """Add or update a target; a new incarnation starts cold."""
        previous = self.records.get(announcement.target_id)
        if previous is None:
            record = TargetRecord(announcement, PHASE_COLD, index, index)
        elif previous.incarnation == announcement.incarnation:
            record = attrs.evolve(previous, announcement=announcement)
        else:
            earlier = (*previous.past_incarnations, previous.incarnation)
            past = tuple(name for name in earlier if name != announcement.incarnation)
            past = past[-MAX_PAST_INCARNATIONS:]
            record = TargetRecord(announcement, PHASE_COLD, index, index, past)
        self.records[announcement.target_id] = record

    def set_phase(self, index: int, target_id: str, phase: str) -> None:
        """Change the phase of a known target."""
        record = self.records[target_id]
        self.records[target_id] = attrs.evolve(record, phase=phase, phase_version=index)

    def set_grant_version(self, index: int, target_id: str) -> None:
        """Record that the set of shards owned by ``target_id`` changed at ``index``."""
        record = self.records.get(target_id)
        if record is not None:
            self.records[target_id] = attrs.evolve(record, grant_version=index)

    def remove(self, target_id: str) -> None:
        """Remove a target."""
        del self.records[target_id]

    def to_record(self) -> tuple[TargetRecord, ...]:
        """Return the content for a snapshot."""
        return tuple(self.records[target_id] for target_id in sorted(self.records))
