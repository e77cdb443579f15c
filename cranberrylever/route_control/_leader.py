"""Duties of the leader that steers routes: targets, key ranges and the view of entries."""

import asyncio

import attrs

from cranberrylever.consensus import RaftDriver
from cranberrylever.control_member import LeaderBase
from cranberrylever.keyspace import (
    FREE,
    HELD,
    RELEASING,
    KeyLoads,
    KeyRange,
    PlanOwner,
    RangeEdit,
    RangeTable,
    cumulative_work,
    fair_weight,
    plan_keys,
    plan_merges,
    work_in_range,
)
from cranberrylever.logs import Log
from cranberrylever.route_control._commands import (
    EditRanges,
    ForgetTarget,
    RecordEntry,
    RouteControlCommand,
    command_codec,
)
from cranberrylever.route_control._granter import Granter
from cranberrylever.route_control._permits import PermitLedger
from cranberrylever.route_control._speeds import PaceBook
from cranberrylever.route_control._state import RouteControlState
from cranberrylever.route_plan import RoutedService
from cranberrylever.target_registry import RegisteredTarget, TargetAnnouncement, TargetLiveness
from cranberrylever.wire import FeedReport

STEP_INTERVAL_S = 0.05
PLAN_INTERVAL_S = 0.25

EDIT_TIMEOUT_S = 1.0
"""Seconds after which edits that did not show are proposed again."""

FORMATION_WAIT_S = 1.0
"""Seconds that the first assignment waits for targets, so that the first one does not get every key."""

FORGET_AFTER_S = 12.0
"""Silence after which a target without keys is forgotten; it may announce itself again."""

MERGES_AT_ONCE = 2
MAX_EDITS = 64
SILENT_BEATS = 3.0
USUAL_WORK_S = 0.1


@attrs.define
class _Editing:
    """Edits of one service that were proposed and have not shown yet."""

    base_version: int
    proposed_at: float


class RouteControlLeader(LeaderBase):
    """Runs the steps of the leader while this member holds its lease.

    Args:
        driver: Consensus driver of this member.
        state: The replicated state.
        granter: Sends grants and releases.
        notice_interval: Seconds between two notices of a target.
        log: Program log.
    """

    def __init__(
        self,
        driver: RaftDriver,
        state: RouteControlState,
        granter: Granter,
        notice_interval: float,
        log: Log,
    ) -> None:
        super().__init__(driver, STEP_INTERVAL_S, log)
        self.state = state
        self.granter = granter
        self.silent_after = SILENT_BEATS * notice_interval
        self._begin(0.0)

    def _begin(self, now: float) -> None:
        self.liveness = TargetLiveness(now)
        self.loads: dict[str, KeyLoads] = {}
        self.paces = PaceBook()
        self.permits = PermitLedger(now)
        self.speeds: dict[tuple[str, int], float] = {}
        self.work: dict[tuple[str, int], float] = {}
        self.editing: dict[str, _Editing] = {}
        self.plan_at = now
        self.formed_at: dict[str, float] = {}
        self.forgetting: dict[tuple[str, int], float] = {}
        self.first_fence = self.state.next_fence
        self.granter.start_term(now)

    def on_applied(self, index: int, command: object, result: object) -> None:
        """Run the next step at once after a change."""
        self.wake.set()

    def encode(self, command: RouteControlCommand) -> bytes:
        """Return a command as it is written to the log."""
        return command_codec.encode(command)

    def record_announcement(self, announcement: TargetAnnouncement) -> None:
        """Take note of when a target was heard and how long it stays cold."""
        if self.state.fleet.is_outdated(announcement):
            return
        if self.liveness.record(announcement, asyncio.get_running_loop().time()):
            self.log.info(
                "target_warmth",
                target=announcement.target_id,
                cold_for=announcement.cold_for,
                sequence=announcement.sequence,
            )
            self.wake.set()

    def record_report(self, report: FeedReport) -> None:
        """Take over the figures of an entry."""
        now = asyncio.get_running_loop().time()
        if report.entry_id not in self.state.entries:
            self.propose_in_background(RecordEntry(report.entry_id))
        for service in report.work:
            parts = ((item.part, item.seconds) for item in service.parts)
            self.loads.setdefault(service.service, KeyLoads(now)).record(parts, now)
        self.paces.inherit(report.speeds, now)
        for pace in report.paces:
            self.paces.record(pace, now)

    def is_silent(self, target: RegisteredTarget, now: float) -> bool:
        """Tell whether a target has missed its notices."""
        return self.liveness.silence(target, now) > self.silent_after

    def owner_shown(self, item: KeyRange) -> str:
        """Return the target that serves a range, empty while nobody does.

        An assignment of this leader is shown once its target has acknowledged it; those before it are served.
        """
        if item.phase != HELD:
            return ""
        if item.fence >= self.first_fence and not self.granter.is_granted(item):
            return ""
        target = self.state.fleet.targets.get(item.target_id)
        return item.target_id if target is not None and target.incarnation == item.incarnation else ""

    def speed(self, target: RegisteredTarget) -> float:
        """Return the speed of a target relative to the others of its service, as of the last plan."""
        return self.speeds.get(target.incarnation, 1.0)

    def busy(self, target: RegisteredTarget) -> float | None:
        """Return how many requests usually run at once at a target of a keyed service."""
        work = self.work.get(target.incarnation)
        return work / self.speed(target) if work is not None else None

    def _measure_work(self, service: str, table: RangeTable) -> None:
        """Add up the recent work of each owner of keys."""
        load = self.loads.get(service)
        if load is None:
            return
        sums = cumulative_work(load.work)
        for item in table.ranges:
            if item.phase == HELD:
                work = work_in_range(item.first, item.last, sums)
                self.work[item.incarnation] = self.work.get(item.incarnation, 0.0) + work

    def _measure_speeds(self) -> None:
        incarnations: dict[str, list[tuple[str, int]]] = {}
        for target in self.state.fleet.targets.values():
            incarnations.setdefault(target.service, []).append(target.incarnation)
        self.speeds = {}
        for members in incarnations.values():
            self.speeds.update(self.paces.speeds(members))

    def step(self, now: float) -> None:
        """Propose edits, send what is due to targets and forget what is gone."""
        if self.term != self.driver.term:
            self.term = self.driver.term
            self._begin(now)
            self.log.info("leadership_started", term=self.term, plan=self.state.plans.number)
        may_plan = now >= self.plan_at
        if may_plan:
            self.plan_at = now + PLAN_INTERVAL_S
            self._measure_speeds()
            self.work = {}
        targets = {target.incarnation: target for target in self.state.fleet.targets.values()}
        places = set()
        for name, table in self.state.tables.items():
            service = self._service(name)
            if service is None:
                continue
            if may_plan:
                self._measure_work(name, table)
            self._edit(service, table, targets, now, may_plan)
            self.granter.step(table.ranges, targets, service.health_path, now)
            places.update((item.incarnation, item.first, item.last, item.fence) for item in table.ranges)
        if may_plan:
            self.granter.forget_others(places, now)
            self._tidy(targets, now)

    def _service(self, name: str) -> RoutedService | None:
        plan = self.state.plans.current
        return plan.service(name) if plan is not None else None

    # Key ranges ----------------------------------------------------------------------------------

    def _edit(
        self,
        service: RoutedService,
        table: RangeTable,
        targets: dict[tuple[str, int], RegisteredTarget],
        now: float,
        may_plan: bool,
    ) -> None:
        """Propose the next edits of one service; one proposal at a time."""
        editing = self.editing.get(service.name)
        is_pending = editing is not None and editing.base_version == table.version
        if is_pending and now - editing.proposed_at < EDIT_TIMEOUT_S:
            return
        edits = self._required_edits(table, targets, now)
        edits.extend(self._assignments(service, table, now, may_plan and not edits))
        if not edits and may_plan:
            edits = plan_merges(table.ranges, MERGES_AT_ONCE)
        if not edits:
            return
        edits = edits[:MAX_EDITS]
        self.editing[service.name] = _Editing(table.version, now)
        self._log_edits(service.name, table, edits)
        self.propose_in_background(EditRanges(service.name, table.version, tuple(edits)))

    def _required_edits(
        self, table: RangeTable, targets: dict[tuple[str, int], RegisteredTarget], now: float
    ) -> list[RangeEdit]:
        """Return the edits that do not depend on load: releases, freed ranges and refused fences."""
        edits = []
        for item in table.ranges:
            target = targets.get(item.incarnation)
            if item.phase == FREE:
                continue
            is_gone = target is None or self.granter.is_suspect(item.incarnation)
            if (item.phase == RELEASING or is_gone) and self.granter.is_released(item, now):
                edits.append(RangeEdit(item.first, item.last, FREE))
            elif item.phase == HELD and target is not None and not self.state.may_receive_work(target):
                edits.append(RangeEdit(item.first, item.last, RELEASING))
            elif (
                item.phase == HELD
                and (item.incarnation, item.first, item.last, item.fence) in self.granter.refused
            ):
                edits.append(RangeEdit(item.first, item.last, HELD, *item.incarnation))
        return edits

    def _assignments(
        self, service: RoutedService, table: RangeTable, now: float, may_balance: bool
    ) -> list[RangeEdit]:
        free = [item for item in table.ranges if item.phase == FREE]
        if not free and not may_balance:
            return []
        load = self.loads.setdefault(service.name, KeyLoads(now))
        load.advance(now)
        owners = self._owners(service, load.total(), now)
        if not owners or not self._is_formed(service.name, table, now):
            return []
        alive = {target.incarnation for target in self.state.fleet.targets.values()}
        blocked = {item for item in free if self.granter.may_still_hold(item, item.incarnation in alive, now)}
        successions = self._successions(blocked, {owner.incarnation for owner in owners})
        if successions:
            return successions
        ranges = [attrs.evolve(item, phase=RELEASING) if item in blocked else item for item in table.ranges]
        pending_moves = sum(
            item.phase != HELD or (item.fence >= self.first_fence and not self.granter.is_granted(item))
            for item in table.ranges
        )
        may_balance = may_balance and now >= self.granter.ledger.inherited_until
        plan = plan_keys(ranges, owners, load.work, pending_moves, may_balance)
        return [*plan.assignments, *plan.releases]

    def _successions(self, blocked: set[KeyRange], owners: set[tuple[str, int]]) -> list[RangeEdit]:
        """Assign ranges that only the process at their last holder's address can hold to that process.

        The new grant takes the place of what it may hold, so no lease has to be waited out.
        """
        edits = []
        for item in sorted(blocked, key=lambda item: item.first):
            address = self.granter.addresses.get(item.incarnation)
            successor = self.state.fleet.at_address(address) if address else None
            if (
                successor is not None
                and successor.incarnation != item.incarnation
                and successor.incarnation in owners
            ):
                edits.append(RangeEdit(item.first, item.last, HELD, *successor.incarnation))
        return edits

    def _is_formed(self, name: str, table: RangeTable, now: float) -> bool:
        if table.version > 0:
            return True
        return now >= self.formed_at.setdefault(name, now) + FORMATION_WAIT_S

    def _owners(self, service: RoutedService, work: float, now: float) -> list[PlanOwner]:
        targets = [
            target
            for target in self.state.fleet.targets.values()
            if target.service == service.name
            and self.state.may_receive_work(target)
            and not self.is_silent(target, now)
            and not self.granter.is_suspect(target.incarnation)
        ]
        capacities = {target.incarnation: self._capacity(target, service, now) for target in targets}
        utilization = work / max(sum(capacities.values()), 0.001)
        return [
            PlanOwner(
                target.incarnation,
                capacities[target.incarnation],
                fair_weight(capacities[target.incarnation], self.speed(target), utilization),
            )
            for target in targets
        ]

    def _capacity(self, target: RegisteredTarget, service: RoutedService, now: float) -> float:
        capacity = target.slots * self.speed(target)
        if self.liveness.cold_for(target, now) > 0:
            return max(0.05, min(capacity / 2, service.cold_rate * USUAL_WORK_S))
        return capacity

    def _log_edits(self, service: str, table: RangeTable, edits: list[RangeEdit]) -> None:
        for edit in edits:
            self.log.info(
                "range_edit",
                service=service,
                first=edit.first,
                last=edit.last,
                phase=edit.phase,
                target=edit.target_id,
                before=table.find(edit.first).target_id,
                table_version=table.version,
            )

    # Targets -------------------------------------------------------------------------------------

    def _tidy(self, targets: dict[tuple[str, int], RegisteredTarget], now: float) -> None:
        """Forget targets that are silent for long and hold no keys."""
        self.liveness.keep_only(set(targets))
        self.paces.keep_only(set(targets))
        self.permits.keep_only(set(targets))
        holders = {
            item.incarnation
            for table in self.state.tables.values()
            for item in table.ranges
            if item.phase != FREE
        }
        for incarnation, target in targets.items():
            is_long = self.liveness.silence(target, now) > FORGET_AFTER_S
            if (
                is_long
                and incarnation not in holders
                and now - self.forgetting.get(incarnation, 0.0) > EDIT_TIMEOUT_S
            ):
                self.forgetting[incarnation] = now
                self.log.info("target_forgotten", target=target.target_id, silence=FORGET_AFTER_S)
                self.propose_in_background(ForgetTarget(*incarnation))
