"""Rules that move the shards of one keyed service through their life cycle."""

import math
from typing import TYPE_CHECKING

import attrs

from cranberrylever.membership import PHASE_COLD, PHASE_LOST, TargetRecord
from cranberrylever.ownership._evacuation import Evacuations
from cranberrylever.ownership._grants import GrantLedger
from cranberrylever.ownership._loads import ServiceLoad
from cranberrylever.ownership._phases import TargetHealth
from cranberrylever.ownership._pins import PinRules
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
from cranberrylever.ownership._shards import OWNED, RELEASING, ShardRecord, ShardTable
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
    """Predicts the fences that the commands of one step will take.

    Another command in between makes a prediction wrong; the assignment based on it is then ignored and
    proposed again with the fence that was taken.
    """

    next_fence: int

    def take(self) -> int:
        """Return the next fence."""
        self.next_fence += 1
        return self.next_fence - 1


@attrs.frozen
class _Assigning:
    """An assignment proposed and not yet applied."""

    fence: int
    target_id: str
    proposed_at: float


@attrs.define
class _Survey:
    """The shards of a service by what can be done with them."""

    owned: dict[str, list[int]] = attrs.field(factory=dict)
    releasing: set[int] = attrs.field(factory=set)
    free: dict[int, int] = attrs.field(factory=dict)


class ShardMover:
    """Frees, assigns and releases the shards of one service.

    Args:
        service: Name of the keyed service.
        state: The replicated state.
        timings: Time constants.
        grants: The leader's record of grants.
        health: What acknowledgements tell about targets.
        load: Request counts of the service.
        pending: Proposals that have not shown in the state.
        now: Loop time in seconds.

    Attributes:
        awaited_targets: Targets whose acknowledgement is the only thing that a releasing shard waits for.
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
        self.grants = grants
        self.health = health
        self.load = load
        self.pending = pending
        self.evacuations = Evacuations(timings)
        self.pins = PinRules(service, load, pending)
        self.assigning: dict[int, _Assigning] = {}
        self.moving: set[int] = set()
        self.settled_at: dict[int, float] = {}
        self.awaited_targets: set[str] = set()
        self.is_settling = False
        self.surveyed: _Survey | None = None
        self.surveyed_version = -1
        self.eligible_ids: tuple[str, ...] = ()
        self.eligible_since = now
        self.place_from = now + timings.placement_delay
        has_owners = any(record.phase == OWNED for _, record in self.table.items())
        self.balance_from = now + (timings.load_warm_up if has_owners else 0.0)
        self.balanced_at = -math.inf

    @property
    def table(self) -> ShardTable:
        """Return the shard table in the present state, which a snapshot may have replaced."""
        return self.state.shards[self.service]

    def step(self, now: float, settled_version: float, fences: FencePredictor) -> list[Command]:
        """Return the changes to propose.

        Args:
            now: Loop time in seconds.
            settled_version: Greatest view version that every live entry has settled.
            fences: Fences that the commands of this step take.
        """
        targets = self._targets()
        survey = self._survey()
        commands: list[Command] = []
        freed = self._free(survey, settled_version, now)
        if freed:
            commands.append(FreeShards(self.service, freed))
            for ref in freed:
                survey.free[ref.shard] = fences.take()
                survey.releasing.discard(ref.shard)
        commands.extend(self.pins.changes(self.table, survey.free, now))
        eligible = self._eligible(targets, now)
        commands.extend(self._assign(survey, eligible, fences, now))
        commands.extend(self._release(survey, targets, eligible, fences, now))
        return commands

    def status(self) -> ServiceStatus:
        """Return what operators can read about this service."""
        survey = self._survey()
        targets = [record for record in self._targets() if self.state.may_receive_work(record)]
        shares = shard_shares(self.load.shards, [shard for shard, _ in self.table.items()])
        capacity = sum(self._capacity(record) for record in targets)
        ratios = [
            sum(shares[shard] for shard in survey.owned.get(record.target_id, ()))
            * capacity
            / self._capacity(record)
            for record in targets
            if self._capacity(record) > 0
        ]
        return ServiceStatus(
            name=self.service,
            owned=sum(len(shards) for shards in survey.owned.values()),
            releasing=len(survey.releasing),
            free=len(survey.free),
            pins=len(self.table.pins),
            imbalance=max(ratios, default=0.0),
        )

    def _targets(self) -> list[TargetRecord]:
        records = self.state.targets.records.values()
        return [record for record in records if record.announcement.service == self.service]

    def _survey(self) -> _Survey:
        """Return the shards by phase; the caller may change the result."""
        if self.surveyed is None or self.surveyed_version != self.state.view_version:
            self.surveyed = self._new_survey()
            self.surveyed_version = self.state.view_version
        survey = self.surveyed
        return _Survey(survey.owned, set(survey.releasing), dict(survey.free))

    def _new_survey(self) -> _Survey:
        survey = _Survey()
        for shard, record in self.table.items():
            if record.phase == OWNED:
                survey.owned.setdefault(record.target_id, []).append(shard)
            elif record.phase == RELEASING:
                survey.releasing.add(shard)
            else:
                survey.free[shard] = record.fence
        return survey

    def _eligible(self, targets: list[TargetRecord], now: float) -> list[TargetRecord]:
        eligible = [record for record in targets if self.health.may_own(record, now)]
        ids = tuple(sorted(record.target_id for record in eligible))
        if ids != self.eligible_ids:
            if not self.eligible_ids:
                # Targets that start together announce within this time; the first must not get all shards.
                self.place_from = max(self.place_from, now + self.timings.first_placement_delay)
            self.eligible_ids = ids
            self.eligible_since = now
        return eligible

    def _is_new(self) -> bool:
        return all(record.target_id == "" for _, record in self.table.items())

    def _free(self, survey: _Survey, settled_version: float, now: float) -> tuple[ShardRef, ...]:
        refs = []
        self.awaited_targets.clear()
        for shard in sorted(survey.releasing):
            record = self.table.records[shard]
            if record.since_version > settled_version:
                continue
            settled_at = self.settled_at.setdefault(record.since_version, now)
            if not self._is_holder_done(shard, record, settled_at, now):
                self.awaited_targets.add(record.target_id)
                continue
            if self.pending.add(("free", self.service, shard, record.fence), now):
                refs.append(ShardRef(shard, record.fence))
        if not survey.releasing:
            self.settled_at.clear()
        return tuple(refs)

    def _is_holder_done(self, shard: int, record: ShardRecord, settled_at: float, now: float) -> bool:
        """Tell whether the last owner neither holds a releasing shard nor runs work for it."""
        if not record.incarnation or self.grants.is_expired(record.target_id, record.incarnation, now):
            return True
        holder = self.grants.holder(record.target_id, record.incarnation, now)
        ack = holder.ack
        if ack is None or ack.version < record.since_version or shard in ack.busy_shards:
            return False
        target = self.state.targets.current(record.target_id, record.incarnation)
        if target is not None and target.announcement.checks_fence:
            return True
        # Such a target accepts late renewals and late requests, so only an acknowledgement that follows the
        # last of both counts.
        return now >= holder.unanswered_until and holder.ack_sent_at >= settled_at

    def _assign(
        self, survey: _Survey, eligible: list[TargetRecord], fences: FencePredictor, now: float
    ) -> list[Command]:
        self.assigning = {
            shard: item
            for shard, item in self.assigning.items()
            if self._is_assigning(shard, item, survey, now)
        }
        ready = set(survey.free) - set(self.assigning) - self.pins.held(self.table, now)
        if not ready or not eligible or not self._may_place(eligible, now):
            return []
        by_id = {record.target_id: record for record in eligible}
        items = []
        for placement in self._plan(survey, eligible, ready, 0).placements:
            target = by_id[placement.target_id]
            fence = survey.free[placement.shard]
            items.append(ShardAssignment(placement.shard, fence, target.target_id, target.incarnation))
            self.assigning[placement.shard] = _Assigning(fence, target.target_id, now)
            self.moving.discard(placement.shard)
            fences.take()
        return [AssignShards(self.service, tuple(items))] if items else []

    def _is_assigning(self, shard: int, item: _Assigning, survey: _Survey, now: float) -> bool:
        if now - item.proposed_at >= self.timings.proposal_timeout:
            return False
        return shard in survey.releasing or survey.free.get(shard) == item.fence

    def _may_place(self, eligible: list[TargetRecord], now: float) -> bool:
        if now >= self.place_from:
            return True
        if self._is_new():
            return False
        expected = [record for record in self._targets() if self.state.may_receive_work(record)]
        return len(eligible) == len(expected)

    def _plan(
        self, survey: _Survey, eligible: list[TargetRecord], ready: set[int], max_releases: int
    ) -> Plan:
        shares = shard_shares(self.load.shards, [shard for shard, _ in self.table.items()])
        eligible_keys = {(record.target_id, record.incarnation) for record in eligible}
        shards = []
        for shard, record in self.table.items():
            owner = None
            if shard in self.assigning:
                owner = self.assigning[shard].target_id
            elif record.phase == OWNED and (record.target_id, record.incarnation) in eligible_keys:
                owner = None if shard in self.moving else record.target_id
            last_owner = "" if shard in self.moving else record.target_id
            shards.append(PlanShard(shard, shares[shard], owner, last_owner, shard in ready))
        targets = [PlanTarget(record.target_id, self._capacity(record)) for record in eligible]
        noise = load_noise(self.load.shards, self.table.shards, len(targets))
        return plan(shards, targets, max_releases, noise, self.is_settling)

    def _capacity(self, record: TargetRecord) -> float:
        announcement = record.announcement
        slots = self.state.cold_budget(record) if record.phase == PHASE_COLD else announcement.slots
        return max(0.0, announcement.weight) * slots

    def _release(
        self,
        survey: _Survey,
        targets: list[TargetRecord],
        eligible: list[TargetRecord],
        fences: FencePredictor,
        now: float,
    ) -> list[Command]:
        commands: list[Command] = []
        commands.extend(self._release_suspects(survey, targets, fences, now))
        commands.extend(self._release_leaving(survey, targets, fences, now))
        self._drop_finished_moves(survey, now)
        pinned = self.pins.wanted_releases(self.table, len(eligible), now)
        commands.extend(self._propose_release(pinned, "pin", fences, now))
        commands.extend(self._release_for_balance(survey, eligible, fences, now))
        return commands

    def _release_suspects(
        self, survey: _Survey, targets: list[TargetRecord], fences: FencePredictor, now: float
    ) -> list[Command]:
        """Release the shards of targets that stopped answering, so that entries settle before the expiry."""
        present = [record for record in targets if record.phase != PHASE_LOST]
        suspects = [record for record in present if self.health.is_suspect(record, now)]
        # When most targets fall silent at once, this process is more likely to be cut off than they are.
        if 2 * len(suspects) > len(present) and len(present) > 2:
            return []
        commands: list[Command] = []
        for record in suspects:
            owned = survey.owned.get(record.target_id, [])
            commands.extend(self._propose_release(owned, "target does not answer", fences, now))
        return commands

    def _release_leaving(
        self, survey: _Survey, targets: list[TargetRecord], fences: FencePredictor, now: float
    ) -> list[Command]:
        commands: list[Command] = []
        for record in targets:
            owned = survey.owned.get(record.target_id, [])
            if not owned or not self.health.is_leaving(record, now):
                self.evacuations.end(record.target_id)
                continue
            waiting = [shard for shard in owned if not self._is_release_pending(shard, now)]
            is_cold = record.phase == PHASE_COLD
            batch = waiting if is_cold else self.evacuations.batch(record.target_id, waiting, now)
            reason = self.state.leaving_reason(record) or "target is leaving"
            commands.extend(self._propose_release(batch, reason, fences, now))
        return commands

    def _release_for_balance(
        self, survey: _Survey, eligible: list[TargetRecord], fences: FencePredictor, now: float
    ) -> list[Command]:
        in_flight = len(survey.releasing | set(survey.free) | self.moving)
        if len(eligible) < 2 or in_flight >= MAX_MOVES_IN_FLIGHT or now < self.balance_from:
            return []
        if now - self.eligible_since < self.timings.balance_delay:
            return []
        if now - self.balanced_at < self.timings.balance_interval:
            return []
        self.balanced_at = now
        result = self._plan(survey, eligible, set(), MAX_MOVES_IN_FLIGHT - in_flight)
        self.is_settling = not result.is_balanced
        commands = self._propose_release(result.releases, "balance", fences, now)
        self.moving.update(ref.shard for command in commands for ref in command.shards)
        return commands

    def _drop_finished_moves(self, survey: _Survey, now: float) -> None:
        """Forget moves whose shard was assigned, or whose release was lost."""
        self.moving = {
            shard
            for shard in self.moving
            if (record := self.table.get(shard)) is not None
            and (record.phase != OWNED or self._is_release_pending(shard, now))
        }

    def _is_release_pending(self, shard: int, now: float) -> bool:
        fence = self.table.records[shard].fence
        return self.pending.is_pending(("release", self.service, shard, fence), now)

    def _propose_release(
        self, shards: "list[int] | tuple[int, ...]", reason: str, fences: FencePredictor, now: float
    ) -> list[ReleaseShards]:
        refs = []
        for shard in shards:
            record = self.table.records[shard]
            is_owned = record is not None and record.phase == OWNED
            if is_owned and self.pending.add(("release", self.service, shard, record.fence), now):
                refs.append(ShardRef(shard, record.fence))
                fences.take()
        return [ReleaseShards(self.service, tuple(refs), reason)] if refs else []
