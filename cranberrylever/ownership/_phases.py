"""Failure detection of targets and their changes between cold, warm, leaving and lost."""

from typing import TYPE_CHECKING

from cranberrylever.membership import PHASE_COLD, PHASE_LEAVING, PHASE_LOST, PHASE_WARM, TargetRecord
from cranberrylever.ownership._grants import GrantLedger
from cranberrylever.ownership._proposals import PendingProposals
from cranberrylever.ownership._timings import Timings
from cranberrylever.state._commands import Command, RemoveTarget, SetTargetPhase

if TYPE_CHECKING:
    from cranberrylever.state._cluster import ClusterState


class TargetHealth:
    """Failure detector of targets, based on acknowledgements of grant renewals.

    After a stall of this process, received acknowledgements may still be unread. No target is suspected for
    ``Timings.stall_grace`` afterwards, so that they are read first.
    """

    def __init__(self, state: "ClusterState", grants: GrantLedger, timings: Timings) -> None:
        self.state = state
        self.grants = grants
        self.timings = timings
        self.last_step_at: float | None = None
        self.detection_starts_at = 0.0

    def start_term(self, now: float) -> None:
        """Start a term; the time before it does not count as a stall."""
        self.last_step_at = now
        self.detection_starts_at = now

    def record_step(self, now: float) -> None:
        """Record the time of a step and detect a stall of this process since the last one."""
        if self.last_step_at is not None and now - self.last_step_at > self.timings.stall_gap:
            self.detection_starts_at = now + self.timings.stall_grace
        self.last_step_at = now

    def is_answering(self, record: TargetRecord, now: float) -> bool:
        """Return whether a target has acknowledged a renewal within ``Timings.suspect_after``."""
        holder = self.grants.holder(record.target_id, record.incarnation, now)
        return holder.ack is not None and now - holder.ack_received_at < self.timings.suspect_after

    def is_suspect(self, record: TargetRecord, now: float) -> bool:
        """Return whether a target has acknowledged no renewal for ``Timings.suspect_after``."""
        age = self.grants.ack_age(record.target_id, record.incarnation, now)
        return now >= self.detection_starts_at and age >= self.timings.suspect_after

    def is_lost(self, record: TargetRecord, now: float) -> bool:
        """Return whether a target has stopped acknowledging and its last grant has certainly expired."""
        if now < self.detection_starts_at:
            return False
        age = self.grants.ack_age(record.target_id, record.incarnation, now)
        is_expired = self.grants.is_expired(record.target_id, record.incarnation, now)
        return is_expired and age >= self.timings.grant_bound

    def reported_state(self, record: TargetRecord, now: float) -> str:
        """Return the state in the last acknowledgement, empty without one."""
        ack = self.grants.holder(record.target_id, record.incarnation, now).ack
        return ack.state if ack else ""

    def is_leaving(self, record: TargetRecord, now: float) -> bool:
        """Return whether the shards of a target have to move to other targets."""
        reason = self.state.leaving_reason(record)
        return bool(reason) or self.reported_state(record, now) == PHASE_LEAVING

    def may_own(self, record: TargetRecord, now: float) -> bool:
        """Return whether a target may be assigned shards now."""
        if not self.state.may_receive_work(record) or self.is_leaving(record, now):
            return False
        return self.is_answering(record, now)


class PhaseProposer:
    """Proposes phase changes of targets and the removal of targets that stay lost."""

    def __init__(self, state: "ClusterState", health: TargetHealth, pending: PendingProposals) -> None:
        self.state = state
        self.health = health
        self.pending = pending
        self.lost_since: dict[tuple[str, str], float] = {}

    def start_term(self) -> None:
        """Restart the removal delay of lost targets."""
        self.lost_since.clear()

    def step(self, now: float, appearing_cold: set[tuple[str, str]]) -> list[Command]:
        """Return the commands to propose.

        Args:
            now: Loop time in seconds.
            appearing_cold: Targets (id, incarnation) that live entries report as cold.
        """
        commands: list[Command] = []
        for record in list(self.state.targets.records.values()):
            phase = self._next_phase(record, now, (record.target_id, record.incarnation) in appearing_cold)
            key = ("phase", record.target_id, record.incarnation, record.phase_version, phase)
            if phase != record.phase and self.pending.add(key, now):
                reason = self.state.leaving_reason(record)
                commands.append(SetTargetPhase(record.target_id, record.incarnation, phase, reason))
            commands.extend(self._propose_removal(record, now))
        return commands

    def _next_phase(self, record: TargetRecord, now: float, appears_cold: bool) -> str:
        if self.health.is_lost(record, now):
            return PHASE_LOST
        if record.phase == PHASE_LOST and not self.health.is_answering(record, now):
            return PHASE_LOST
        if self.health.is_leaving(record, now):
            # A cold target keeps its phase, and with it its permits, until it owns no shards.
            stays_cold = record.phase == PHASE_COLD and self.state.owned_shards(record)
            return PHASE_COLD if stays_cold else PHASE_LEAVING
        reported = self.health.reported_state(record, now)
        if not reported:
            return record.phase
        return PHASE_COLD if appears_cold or reported == PHASE_COLD else PHASE_WARM

    def _propose_removal(self, record: TargetRecord, now: float) -> list[Command]:
        key = (record.target_id, record.incarnation)
        if record.phase != PHASE_LOST:
            self.lost_since.pop(key, None)
            return []
        lost_since = self.lost_since.setdefault(key, now)
        if now - lost_since < self.health.timings.remove_lost_after:
            return []
        if not self.pending.add(("remove", *key), now):
            return []
        return [RemoveTarget(record.target_id, record.incarnation)]
