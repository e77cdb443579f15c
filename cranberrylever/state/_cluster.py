"""Replicated state machine to which every control member applies the same commands in the same order."""

from collections.abc import Callable

import attrs

from cranberrylever.claims import ClaimTable, ClaimTableRecord
from cranberrylever.invariants import check
from cranberrylever.membership import (
    PHASE_COLD,
    PHASE_LEAVING,
    PHASE_LOST,
    PHASE_WARM,
    PHASES,
    TargetDirectory,
    TargetRecord,
)
from cranberrylever.ownership._permits import PermitRecord, PermitTable
from cranberrylever.ownership._shards import FREE, OWNED, RELEASING, ShardRecord, ShardTable, ShardTableRecord
from cranberrylever.state._commands import (
    AcceptTicket,
    AllocatePermits,
    AnnounceTarget,
    AssignShards,
    Command,
    CompleteClaims,
    ExpireClaims,
    FreeShards,
    OpenClaims,
    PinKey,
    ReleaseShards,
    RemoveTarget,
    SetTargetPhase,
    ShardAssignment,
    ShardRef,
    UnpinKey,
)
from cranberrylever.tickets import TicketOutcome, TicketRegistry, TicketRegistryRecord, parse_ticket
from cranberrylever.wire import decode, encode


@attrs.frozen
class ClusterStateRecord:
    """Snapshot form of ``ClusterState``."""

    view_version: int
    next_fence: int
    tickets: TicketRegistryRecord
    claims: ClaimTableRecord
    targets: tuple[TargetRecord, ...]
    shards: dict[str, ShardTableRecord]
    permits: tuple[PermitRecord, ...]


class ClusterState:
    """Replicated tickets, claims, targets, shard tables and permits.

    ``apply`` is deterministic: it reads no clock and no random numbers, so all members reach the same state.

    Attributes:
        view_version: Log index of the last command that changed the routing view.
        next_fence: Fence of the next shard transition.
        tickets: Accepted tickets and the configuration in force.
        claims: Execution claims of non-idempotent requests.
        targets: Known targets.
        shards: Shard tables by name of the keyed service.
        permits: Permits of the entries for each cold target.
    """

    def __init__(self) -> None:
        self.view_version = 0
        self.next_fence = 1
        self.tickets = TicketRegistry()
        self.claims = ClaimTable()
        self.targets = TargetDirectory()
        self.shards: dict[str, ShardTable] = {}
        self.permits = PermitTable()
        self._handlers: dict[type, Callable[[int, object], object]] = {
            AcceptTicket: self._accept_ticket,
            AnnounceTarget: self._announce_target,
            SetTargetPhase: self._set_target_phase,
            RemoveTarget: self._remove_target,
            ReleaseShards: self._release_shards,
            FreeShards: self._free_shards,
            AssignShards: self._assign_shards,
            PinKey: self._pin_key,
            UnpinKey: self._unpin_key,
            AllocatePermits: self._allocate_permits,
            OpenClaims: lambda index, command: self.claims.open(index, command.items),
            CompleteClaims: lambda index, command: self.claims.complete(index, command.items),
            ExpireClaims: lambda index, command: self.claims.expire(command.opened_before),
        }

    def apply(self, index: int, command: Command) -> object:
        """Apply one committed command.

        Args:
            index: Log index of the command.
            command: The command; a change based on an old fence or incarnation has no effect.

        Returns:
            A ``TicketOutcome`` for a ticket, one ``ClaimOutcome`` for each opening or completion, the number
            of removed claims for an expiry, whether a target's announcement was accepted, otherwise ``None``.
        """
        return self._handlers[type(command)](index, command)

    def snapshot(self) -> bytes:
        """Return an encoded snapshot of the state."""
        record = ClusterStateRecord(
            view_version=self.view_version,
            next_fence=self.next_fence,
            tickets=self.tickets.to_record(),
            claims=self.claims.to_encoded_record(),
            targets=self.targets.to_record(),
            shards={name: table.to_record() for name, table in sorted(self.shards.items())},
            permits=self.permits.to_record(),
        )
        return encode(record)

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot.

        Raises:
            CodecError: ``data`` is not a valid snapshot.
        """
        record = decode(data, ClusterStateRecord)
        self.view_version = record.view_version
        self.next_fence = record.next_fence
        self.tickets = TicketRegistry.from_record(record.tickets)
        self.claims = ClaimTable.from_record(record.claims)
        self.targets = TargetDirectory(record.targets)
        self.shards = {name: ShardTable.from_record(table) for name, table in record.shards.items()}
        self.permits = PermitTable(record.permits)

    def leaving_reason(self, record: TargetRecord) -> str:
        """Return why a target must receive no new work, or an empty string."""
        announcement = record.announcement
        if announcement.leaving:
            return "announced leaving"
        directive = self.tickets.directives.get(announcement.target_id)
        if directive is not None and directive.drain:
            return "drained by ticket"
        domain = self.tickets.failure_domains.get(announcement.failure_domain)
        if domain is not None and domain.state == "withdrawn":
            return "failure domain withdrawn"
        return ""

    def may_receive_work(self, record: TargetRecord) -> bool:
        """Return whether new work may be sent to a target."""
        return record.phase in (PHASE_COLD, PHASE_WARM) and not self.leaving_reason(record)

    def owned_shards(self, record: TargetRecord) -> tuple[ShardRef, ...]:
        """Return the shards owned by the current incarnation of a target, with their fences."""
        table = self.shards.get(record.announcement.service)
        if table is None:
            return ()
        owned = table.owned_by(record.target_id, record.incarnation)
        return tuple(ShardRef(shard, table.records[shard].fence) for shard in owned)

    def cold_budget(self, record: TargetRecord) -> int:
        """Return the maximum number of requests that may run at once at a target while it is cold."""
        return max(0, min(record.announcement.cold_capacity, record.announcement.slots))

    def _allocate_fence(self) -> int:
        fence = self.next_fence
        self.next_fence += 1
        return fence

    def _advance_view_version(self, index: int) -> None:
        check(index >= self.view_version, f"log index {index} is below view version {self.view_version}")
        self.view_version = index

    def _accept_ticket(self, index: int, command: AcceptTicket) -> TicketOutcome:
        parsed = parse_ticket(command.text)
        if parsed.is_err():
            error = parsed.unwrap_err()
            return TicketOutcome(False, False, 0, "", error=error.message, remedy=error.remedy)
        outcome = self.tickets.accept(index, parsed.unwrap(), command.text)
        if outcome.accepted and not outcome.repeated:
            self._create_shard_tables(index)
            self._advance_view_version(index)
        return outcome

    def _create_shard_tables(self, index: int) -> None:
        for spec in self.tickets.services.values():
            if spec.kind == "keyed" and spec.name not in self.shards:
                self.shards[spec.name] = ShardTable(spec.shards, index)

    def _announce_target(self, index: int, command: AnnounceTarget) -> bool:
        announcement = command.announcement
        previous = self.targets.get(announcement.target_id)
        if self.targets.is_superseded(announcement):
            return False
        if previous is not None and previous.announcement == announcement:
            return True
        self.targets.announce(index, announcement)
        if previous is not None and previous.incarnation != announcement.incarnation:
            # A new incarnation at the same address proves that the old process no longer listens there.
            process_ended = previous.announcement.address == announcement.address
            self._invalidate_grants(index, previous, process_ended)
            self.permits.remove_allocation(announcement.target_id)
        elif previous is not None and previous.announcement.service != announcement.service:
            self._release_owned_shards(index, previous, owner_ended=False)
        self._drop_excess_permits(index, announcement.target_id)
        self._advance_view_version(index)
        return True

    def _invalidate_grants(self, index: int, previous: TargetRecord, process_ended: bool) -> None:
        self._release_owned_shards(index, previous, process_ended)
        if not process_ended:
            return
        for shard, record in self._shards_held_by(previous, RELEASING):
            self.shards[previous.announcement.service].mark_owner_ended(shard, self._allocate_fence(), index)
            check(
                record.phase == RELEASING,
                f"marked the owner of shard {shard} as ended in phase {record.phase}",
            )

    def _shards_held_by(self, target: TargetRecord, phase: str) -> list[tuple[int, ShardRecord]]:
        table = self.shards.get(target.announcement.service)
        if table is None:
            return []
        return [
            (shard, record)
            for shard, record in table.items()
            if record.phase == phase
            and record.target_id == target.target_id
            and record.incarnation == target.incarnation
        ]

    def _release_owned_shards(self, index: int, target: TargetRecord, owner_ended: bool) -> None:
        for shard, _ in self._shards_held_by(target, OWNED):
            table = self.shards[target.announcement.service]
            table.release(shard, self._allocate_fence(), index, owner_ended)
        self.targets.set_grant_version(index, target.target_id)

    def _drop_excess_permits(self, index: int, target_id: str) -> None:
        record = self.targets.get(target_id)
        permits = self.permits.get(target_id)
        if permits is None or sum(permits.allocations.values()) <= self.cold_budget(record):
            return
        self.permits.allocate(PermitRecord(target_id, record.incarnation, index, {}), 0)

    def _set_target_phase(self, index: int, command: SetTargetPhase) -> None:
        record = self.targets.current(command.target_id, command.incarnation)
        if record is None or record.phase == command.phase or command.phase not in PHASES:
            return
        if command.phase in (PHASE_COLD, PHASE_WARM) and self.leaving_reason(record):
            return
        self.targets.set_phase(index, command.target_id, command.phase)
        if command.phase == PHASE_LOST:
            self._release_owned_shards(index, record, owner_ended=False)
        if command.phase != PHASE_COLD:
            self.permits.remove_allocation(command.target_id)
        self._advance_view_version(index)

    def _remove_target(self, index: int, command: RemoveTarget) -> None:
        record = self.targets.current(command.target_id, command.incarnation)
        if record is None or record.phase not in (PHASE_LOST, PHASE_LEAVING):
            return
        if self._shards_held_by(record, OWNED) or self._shards_held_by(record, RELEASING):
            return
        self.targets.remove(command.target_id)
        self.permits.remove_allocation(command.target_id)
        self._advance_view_version(index)

    def _release_shards(self, index: int, command: ReleaseShards) -> None:
        table = self.shards.get(command.service)
        for shard, record in self._resolve_refs(table, command.shards, OWNED):
            table.release(shard, self._allocate_fence(), index)
            self.targets.set_grant_version(index, record.target_id)
            self._advance_view_version(index)

    def _free_shards(self, index: int, command: FreeShards) -> None:
        table = self.shards.get(command.service)
        for shard, _ in self._resolve_refs(table, command.shards, RELEASING):
            table.free(shard, self._allocate_fence(), index)
            self._advance_view_version(index)

    def _assign_shards(self, index: int, command: AssignShards) -> None:
        table = self.shards.get(command.service)
        for item in command.items:
            if self._can_assign(table, command.service, item):
                table.assign(item.shard, self._allocate_fence(), index, item.target_id, item.incarnation)
                self.targets.set_grant_version(index, item.target_id)
                self._advance_view_version(index)

    def _can_assign(self, table: ShardTable | None, service: str, item: ShardAssignment) -> bool:
        if not self._resolve_refs(table, (ShardRef(item.shard, item.fence),), FREE):
            return False
        target = self.targets.current(item.target_id, item.incarnation)
        if target is None or target.announcement.service != service:
            return False
        return self.may_receive_work(target)

    @staticmethod
    def _resolve_refs(
        table: ShardTable | None, refs: tuple[ShardRef, ...], phase: str
    ) -> list[tuple[int, ShardRecord]]:
        """Return the referenced shards that are in this phase and whose fence has not changed."""
        if table is None:
            return []
        referenced = ((ref, table.get(ref.shard)) for ref in dict.fromkeys(refs))
        return [
            (ref.shard, record)
            for ref, record in referenced
            if record is not None and record.phase == phase and record.fence == ref.fence
        ]

    def _pin_key(self, index: int, command: PinKey) -> None:
        table = self.shards.get(command.service)
        if table is not None and table.can_pin(command.key_hash):
            table.pin(command.key_hash, self._allocate_fence(), index)
            self._advance_view_version(index)

    def _unpin_key(self, index: int, command: UnpinKey) -> None:
        table = self.shards.get(command.service)
        if table is not None and table.can_unpin(command.key_hash):
            table.unpin(command.key_hash)
            self._advance_view_version(index)

    def _allocate_permits(self, index: int, command: AllocatePermits) -> None:
        target = self.targets.current(command.target_id, command.incarnation)
        if target is None or target.phase != PHASE_COLD:
            return
        record = PermitRecord(command.target_id, command.incarnation, index, command.allocations)
        if self.permits.allocate(record, self.cold_budget(target)):
            self._advance_view_version(index)
