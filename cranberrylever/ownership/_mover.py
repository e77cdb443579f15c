"""Release, freeing and assignment of the shards of one keyed service."""

import math
from typing import TYPE_CHECKING

import attrs

from cranberrylever.membership import PHASE_COLD, PHASE_LOST, TargetRecord
from cranberrylever.ownership._evacuation import Evacuations
from cranberrylever.ownership._freeing import ReleasingShards
from cranberrylever.ownership._grants import GrantLedger
from cranberrylever.ownership._loads import ServiceLoad
from cranberrylever.ownership._phases import TargetHealth
from cranberrylever.ownership._pins import PinSelector
from cranberrylever.ownership._planner import (
    MAX_MOVES_IN_FLIGHT,
    Plan,
    PlanShard,
    PlanTarget,
    load_noise,
    plan,
    shard_shares,
)
from cranberrylever.ownership._proposals import PendingProposals
from cranberrylever.ownership._shard_groups import ShardGrouper, ShardGroups
from cranberrylever.ownership._shards import OWNED, ShardTable
from cranberrylever.ownership._status import ServiceStatus
from cranberrylever.ownership._timings import Timings
from cranberrylever.state._commands import (
    AssignShards,
    Command,
    FreeShards,
    ReleaseShards,
    ShardAssignment,
    ShardRef,
)

if TYPE_CHECKING:
    from cranberrylever.state._cluster import ClusterState


@attrs.define
class FencePredictor:
    """Predicts the fences that the state machine assigns to the commands of one step.

    A command applied in between invalidates the prediction. The state machine then ignores an assignment
    with a predicted fence, and the assignment is proposed again with the actual fence.
    """

    next_fence: int

    def take_next(self) -> int:
        """Return the predicted fence of the next change."""
        self.next_fence += 1
        return self.next_fence - 1


@attrs.frozen
class _PendingAssignment:
    """An assignment that is proposed and not yet applied; ``proposed_at`` is in loop seconds."""

    fence: int
    target_id: str
    proposed_at: float


class ShardMover:
    """Proposes to free, assign and release the shards of one service.

    Args:
        service: Name of the keyed service.
        state: The replicated state.
        timings: Time constants.
        grants: The leader's grant ledger.
        health: Failure detector of the targets.
        load: Request counts of the service.
        pending: Proposals that are not applied yet.
        now: Loop time in seconds.

    Attributes:
        releasing: Finds the releasing shards that may be freed.
    """

    def __init__(
        self,
        service: str,
        state: "ClusterState",
        timings: Timings,
        grants: GrantLedger,
        health: TargetHealth,
        load: ServiceLoad,
        pending: PendingProposals,
        now: float,
    ) -> None:
        self.service = service
        self.state = state
        self.timings = timings
        self.health = health
        self.load = load
        self.pending = pending
        self.evacuations = Evacuations(timings)
        self.pins = PinSelector(service, load, pending)
        self.pending_assignments: dict[int, _PendingAssignment] = {}
        self.balance_moves: set[int] = set()
        self.releasing = ReleasingShards(service, state, grants, pending)
        self.is_rebalancing = False
        self.grouper = ShardGrouper()
        self.eligible_ids: tuple[str, ...] = ()
        self.eligible_since = now
        self.placement_starts_at = now + timings.placement_delay
        has_owners = any(record.phase == OWNED for _, record in self.table.items())
        self.balancing_starts_at = now + (timings.load_warm_up if has_owners else 0.0)
        self.last_balanced_at = -math.inf

    @property
    def table(self) -> ShardTable:
        """Return the shard table; it is looked up on each use because a snapshot replaces it."""
        return self.state.shards[self.service]

    def step(self, now: float, settled_version: float, fences: FencePredictor) -> list[Command]:
        """Return the commands to propose.

        Args:
            now: Loop time in seconds.
            settled_version: Greatest view version that every live entry has settled.
            fences: Predictor of the fences of this step's commands.
        """
        targets = self._targets()
        groups = self.grouper.group(self.table, self.state.view_version)
        commands: list[Command] = []
        freed = self.releasing.propose_freed(self.table, groups.releasing, settled_version, now)
        if freed:
            commands.append(FreeShards(self.service, freed))
            for ref in freed:
                groups.free[ref.shard] = fences.take_next()
                groups.releasing.discard(ref.shard)
        commands.extend(self.pins.propose_changes(self.table, groups.free, now))
        eligible = self._eligible_targets(targets, now)
        commands.extend(self._propose_assignments(groups, eligible, fences, now))
        commands.extend(self._propose_releases(groups, targets, eligible, fences, now))
        return commands

    def status(self) -> ServiceStatus:
        """Return the status of this service for operators."""
        groups = self.grouper.group(self.table, self.state.view_version)
        targets = [record for record in self._targets() if self.state.may_receive_work(record)]
        shares = shard_shares(self.load.shards, [shard for shard, _ in self.table.items()])
        capacity = sum(self._capacity(record) for record in targets)
        ratios = [
            sum(shares[shard] for shard in groups.owned.get(record.target_id, ()))
            * capacity
            / self._capacity(record)
            for record in targets
            if self._capacity(record) > 0
        ]
        return ServiceStatus(
            name=self.service,
            owned=sum(len(shards) for shards in groups.owned.values()),
            releasing=len(groups.releasing),
            free=len(groups.free),
            pins=len(self.table.pins),
            imbalance=max(ratios, default=0.0),
        )

    def _targets(self) -> list[TargetRecord]:
        records = self.state.targets.records.values()
        return [record for record in records if record.announcement.service == self.service]

    def _eligible_targets(self, targets: list[TargetRecord], now: float) -> list[TargetRecord]:
        eligible = [record for record in targets if self.health.may_own(record, now)]
        ids = tuple(sorted(record.target_id for record in eligible))
        if ids != self.eligible_ids:
            if not self.eligible_ids:
                # Targets that start together announce within this delay; without it the first one owns all.
                self.placement_starts_at = max(
                    self.placement_starts_at, now + self.timings.first_placement_delay
                )
            self.eligible_ids = ids
            self.eligible_since = now
        return eligible

    def _is_never_assigned(self) -> bool:
        return all(record.target_id == "" for _, record in self.table.items())

    def _propose_assignments(
        self, groups: ShardGroups, eligible: list[TargetRecord], fences: FencePredictor, now: float
    ) -> list[Command]:
        self.pending_assignments = {
            shard: item
            for shard, item in self.pending_assignments.items()
            if self._is_assignment_pending(shard, item, groups, now)
        }
        assignable = (
            set(groups.free) - set(self.pending_assignments) - self.pins.withheld_shards(self.table, now)
        )
        if not assignable or not eligible or not self._may_place(eligible, now):
            return []
        by_id = {record.target_id: record for record in eligible}
        items = []
        for placement in self._plan(groups, eligible, assignable, 0).placements:
            target = by_id[placement.target_id]
            fence = groups.free[placement.shard]
            items.append(ShardAssignment(placement.shard, fence, target.target_id, target.incarnation))
            self.pending_assignments[placement.shard] = _PendingAssignment(fence, target.target_id, now)
            self.balance_moves.discard(placement.shard)
            fences.take_next()
        return [AssignShards(self.service, tuple(items))] if items else []

    def _is_assignment_pending(
        self, shard: int, item: _PendingAssignment, groups: ShardGroups, now: float
    ) -> bool:
        if now - item.proposed_at >= self.timings.proposal_timeout:
            return False
        return shard in groups.releasing or groups.free.get(shard) == item.fence

    def _may_place(self, eligible: list[TargetRecord], now: float) -> bool:
        """Return whether to place free shards; during the delay only if all expected targets answer."""
        if now >= self.placement_starts_at:
            return True
        if self._is_never_assigned():
            return False
        expected = [record for record in self._targets() if self.state.may_receive_work(record)]
        return len(eligible) == len(expected)

    def _plan(
        self, groups: ShardGroups, eligible: list[TargetRecord], assignable: set[int], max_releases: int
    ) -> Plan:
        shares = shard_shares(self.load.shards, [shard for shard, _ in self.table.items()])
        eligible_keys = {(record.target_id, record.incarnation) for record in eligible}
        shards = []
        for shard, record in self.table.items():
            owner = None
            if shard in self.pending_assignments:
                owner = self.pending_assignments[shard].target_id
            elif record.phase == OWNED and (record.target_id, record.incarnation) in eligible_keys:
                owner = None if shard in self.balance_moves else record.target_id
            last_owner = "" if shard in self.balance_moves else record.target_id
            shards.append(PlanShard(shard, shares[shard], owner, last_owner, shard in assignable))
        targets = [PlanTarget(record.target_id, self._capacity(record)) for record in eligible]
        noise = load_noise(self.load.shards, self.table.shards, len(targets))
        return plan(shards, targets, max_releases, noise, self.is_rebalancing)

    def _capacity(self, record: TargetRecord) -> float:
        announcement = record.announcement
        slots = self.state.cold_budget(record) if record.phase == PHASE_COLD else announcement.slots
        return max(0.0, announcement.weight) * slots

    def _propose_releases(
        self,
        groups: ShardGroups,
        targets: list[TargetRecord],
        eligible: list[TargetRecord],
        fences: FencePredictor,
        now: float,
    ) -> list[Command]:
        commands: list[Command] = []
        commands.extend(self._release_suspects(groups, targets, fences, now))
        commands.extend(self._release_leaving(groups, targets, fences, now))
        self._drop_finished_moves(groups, now)
        pinned = self.pins.shards_to_release(self.table, len(eligible), now)
        commands.extend(self._release_commands(pinned, "pin", fences, now))
        commands.extend(self._release_for_balance(groups, eligible, fences, now))
        return commands

    def _release_suspects(
        self, groups: ShardGroups, targets: list[TargetRecord], fences: FencePredictor, now: float
    ) -> list[Command]:
        """Release the shards of suspected targets early, so that entries settle before the grant expires."""
        present = [record for record in targets if record.phase != PHASE_LOST]
        suspects = [record for record in present if self.health.is_suspect(record, now)]
        # If most targets stop answering at once, a network failure of this process is the likelier cause.
        if 2 * len(suspects) > len(present) and len(present) > 2:
            return []
        commands: list[Command] = []
        for record in suspects:
            owned = groups.owned.get(record.target_id, [])
            commands.extend(self._release_commands(owned, "target does not answer", fences, now))
        return commands

    def _release_leaving(
        self, groups: ShardGroups, targets: list[TargetRecord], fences: FencePredictor, now: float
    ) -> list[Command]:
        commands: list[Command] = []
        for record in targets:
            owned = groups.owned.get(record.target_id, [])
            if not owned or not self.health.is_leaving(record, now):
                self.evacuations.end(record.target_id)
                continue
            unreleased = [shard for shard in owned if not self._is_release_pending(shard, now)]
            is_cold = record.phase == PHASE_COLD
            batch = unreleased if is_cold else self.evacuations.next_batch(record.target_id, unreleased, now)
            reason = self.state.leaving_reason(record) or "target is leaving"
            commands.extend(self._release_commands(batch, reason, fences, now))
        return commands

    def _release_for_balance(
        self, groups: ShardGroups, eligible: list[TargetRecord], fences: FencePredictor, now: float
    ) -> list[Command]:
        in_flight = len(groups.releasing | set(groups.free) | self.balance_moves)
        if len(eligible) < 2 or in_flight >= MAX_MOVES_IN_FLIGHT or now < self.balancing_starts_at:
            return []
        if now - self.eligible_since < self.timings.balance_delay:
            return []
        if now - self.last_balanced_at < self.timings.balance_interval:
            return []
        self.last_balanced_at = now
        result = self._plan(groups, eligible, set(), MAX_MOVES_IN_FLIGHT - in_flight)
        self.is_rebalancing = not result.is_balanced
        commands = self._release_commands(result.releases, "balance", fences, now)
        self.balance_moves.update(ref.shard for command in commands for ref in command.shards)
        return commands

    def _drop_finished_moves(self, groups: ShardGroups, now: float) -> None:
        """Drop moves whose shard was assigned or removed, or whose release was lost."""
        self.balance_moves = {
            shard
            for shard in self.balance_moves
            if (record := self.table.get(shard)) is not None
            and (record.phase != OWNED or self._is_release_pending(shard, now))
        }

    def _is_release_pending(self, shard: int, now: float) -> bool:
        fence = self.table.records[shard].fence
        return self.pending.is_pending(("release", self.service, shard, fence), now)

    def _release_commands(
        self, shards: "list[int] | tuple[int, ...]", reason: str, fences: FencePredictor, now: float
    ) -> list[ReleaseShards]:
        refs = []
        for shard in shards:
            record = self.table.records[shard]
            is_owned = record is not None and record.phase == OWNED
            if is_owned and self.pending.add(("release", self.service, shard, record.fence), now):
                refs.append(ShardRef(shard, record.fence))
                fences.take_next()
        return [ReleaseShards(self.service, tuple(refs), reason)] if refs else []
