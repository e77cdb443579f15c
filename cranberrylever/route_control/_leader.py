"""Leader loop of route control: targets, key ranges and what entries are sent about them."""

import asyncio
import math

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
    fair_weight,
    plan_keys,
    plan_merges,
)
from cranberrylever.logs import Log
from cranberrylever.route_control._busy import BusyTracker
from cranberrylever.route_control._commands import (
    EditRanges,
    ForgetTarget,
    RecordEntry,
    RecordTarget,
    RouteControlCommand,
    command_codec,
)
from cranberrylever.route_control._lease_manager import LeaseManager
from cranberrylever.route_control._permits import PermitLedger
from cranberrylever.route_control._range_log import log_edits, log_freed_ranges
from cranberrylever.route_control._rate_limits import RateLimitRegistry
from cranberrylever.route_control._speeds import SpeedTracker
from cranberrylever.route_control._state import RouteControlState
from cranberrylever.route_plan import RoutedService
from cranberrylever.target_registry import RegisteredTarget, TargetAnnouncement, TargetLiveness
from cranberrylever.wire import FeedReport, ObservedRateLimit

STEP_INTERVAL_S = 0.05
PLAN_INTERVAL_S = 0.25
"""Seconds between steps that also measure speeds, balance and merge ranges, and remove lost targets."""

PROPOSAL_RETRY_INTERVAL_S = 1.0
"""Seconds after which a proposal that has not been applied is made again."""

INITIAL_ASSIGNMENT_DELAY_S = 1.0
"""Seconds for which the first assignment waits for more targets, so that the first does not get every key."""

TARGET_REMOVAL_DELAY_S = 12.0
"""Seconds since its last announcement after which a target without keys is removed.

The target may announce itself again.
"""

MAX_MERGES_PER_PROPOSAL = 2
MAX_EDITS_PER_PROPOSAL = 64

OVERDUE_ANNOUNCEMENT_INTERVALS = 3.0
"""Number of missed announcement intervals after which a target gets no new work."""

EXPECTED_SERVICE_TIME_S = 0.1
"""Assumed service time of a request; turns the request rate that a target accepts into a capacity."""

MIN_CAPACITY = 0.05
"""Lowest capacity of a target in seconds of work per second."""


@attrs.define
class _PendingEdits:
    """Edits of one service that were proposed and have not been applied yet; times are loop seconds."""

    base_version: int
    proposed_at: float


class RouteControlLeader(LeaderBase):
    """Assigns key ranges, measures targets and removes lost ones while this member leads.

    Args:
        driver: Consensus driver of this member.
        state: The replicated state.
        lease_manager: Sends grants, releases and probes to targets.
        notice_interval: Seconds between two announcements of a target.
        log: Program log.
    """

    def __init__(
        self,
        driver: RaftDriver,
        state: RouteControlState,
        lease_manager: LeaseManager,
        notice_interval: float,
        log: Log,
    ) -> None:
        super().__init__(driver, STEP_INTERVAL_S, log)
        self.state = state
        self.lease_manager = lease_manager
        self.overdue_after = OVERDUE_ANNOUNCEMENT_INTERVALS * notice_interval
        self._start_term(0.0)

    def _start_term(self, now: float) -> None:
        self.liveness = TargetLiveness(now)
        self.loads: dict[str, KeyLoads] = {}
        self.speed_tracker = SpeedTracker()
        self.permits = PermitLedger(now)
        self.rate_limits = RateLimitRegistry()
        self.speeds: dict[tuple[str, int], float] = {}
        self.busy_tracker = BusyTracker()
        self.pending_edits: dict[str, _PendingEdits] = {}
        self.next_plan_at = now
        self.first_owner_at: dict[str, float] = {}
        self.removal_proposed_at: dict[tuple[str, int], float] = {}
        self.first_fence_of_term = self.state.next_fence
        self.lease_manager.start_term(now)

    def on_applied(self, index: int, command: object, result: object) -> None:
        """Run the next step immediately after a change, and log the ranges that it freed without an edit."""
        self.wake.set()
        if isinstance(command, RecordTarget) and result and self.is_serving():
            log_freed_ranges(self.log, self.lease_manager, result, asyncio.get_running_loop().time())

    def encode(self, command: RouteControlCommand) -> bytes:
        """Return the form in which a command is written to the replicated log."""
        return command_codec.encode(command)

    def record_announcement(self, announcement: TargetAnnouncement) -> None:
        """Record when a target announced itself and how long it stays cold."""
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
        """Record the work, service times and loads that an entry measured."""
        now = asyncio.get_running_loop().time()
        if report.entry_id not in self.state.entries:
            self.propose_in_background(RecordEntry(report.entry_id))
        for service in report.work:
            parts = ((item.part, item.seconds) for item in service.parts)
            self.loads.setdefault(service.service, KeyLoads(now)).record(parts, now)
        self.speed_tracker.inherit(report.speeds, now)
        for measurement in report.paces:
            self.speed_tracker.record(measurement, now)
        for load in report.loads:
            self.busy_tracker.record(load, now)
        for observed in report.rate_limits:
            self._record_rate_limit(observed, report.entry_id, now)

    def _record_rate_limit(self, observed: ObservedRateLimit, entry_id: str, now: float) -> None:
        """Record a limit that a target stated; a change is sent to all entries at once."""
        if self.rate_limits.record(observed, now):
            self.log.info(
                "target_rate_limit",
                target=observed.target_id,
                rate=observed.rate if math.isfinite(observed.rate) else None,
                age=round(observed.age, 3),
                entry=entry_id,
            )
            self.wake.set()

    def is_overdue(self, target: RegisteredTarget, now: float) -> bool:
        """Return whether a target's announcements are overdue."""
        return self.liveness.seconds_since_announcement(target, now) > self.overdue_after

    def published_owner(self, item: KeyRange) -> str:
        """Return the target that entries send the requests of a range to, empty while there is none.

        An assignment of this term is published once its target has acknowledged it; those of earlier terms
        are published at once, as their targets serve them already.
        """
        if item.phase != HELD:
            return ""
        if item.fence >= self.first_fence_of_term and not self.lease_manager.is_granted(item):
            return ""
        target = self.state.fleet.targets.get(item.target_id)
        return item.target_id if target is not None and target.incarnation == item.incarnation else ""

    def speed(self, target: RegisteredTarget) -> float:
        """Return the relative speed of a target, as last measured; 1.0 is the average of its service."""
        return self.speeds.get(target.incarnation, 1.0)

    def busy(self, target: RegisteredTarget, now: float) -> float | None:
        """Return the recent number of requests that run at once at a target, ``None`` if unknown."""
        return self.busy_tracker.busy(target, self.speed(target), now)

    def _update_speeds(self) -> None:
        incarnations: dict[str, list[tuple[str, int]]] = {}
        for target in self.state.fleet.targets.values():
            incarnations.setdefault(target.service, []).append(target.incarnation)
        self.speeds = {}
        for service_incarnations in incarnations.values():
            self.speeds.update(self.speed_tracker.speeds(service_incarnations))

    def step(self, now: float) -> None:
        """Propose edits, start the calls to targets that are due, and drop state that is no longer needed."""
        if self.term != self.driver.term:
            self.term = self.driver.term
            self._start_term(now)
            self.log.info("leadership_started", term=self.term, plan=self.state.plans.number)
        may_plan = now >= self.next_plan_at
        if may_plan:
            self.next_plan_at = now + PLAN_INTERVAL_S
            self._update_speeds()
            self.busy_tracker.clear_work()
        targets = {target.incarnation: target for target in self.state.fleet.targets.values()}
        range_keys = set()
        for name, table in self.state.tables.items():
            service = self._service(name)
            if service is None:
                continue
            if may_plan and name in self.loads:
                self.busy_tracker.add_work(table, self.loads[name])
            self._propose_edits(service, table, targets, now, may_plan)
            self.lease_manager.step(table.ranges, targets, service.health_path, now)
            range_keys.update((item.incarnation, item.first, item.last, item.fence) for item in table.ranges)
        if may_plan:
            self.lease_manager.drop_removed_ranges(range_keys, now)
            self._clean_up(targets, now)

    def _service(self, name: str) -> RoutedService | None:
        plan = self.state.plans.current
        return plan.service(name) if plan is not None else None

    # Key ranges ----------------------------------------------------------------------------------

    def _propose_edits(
        self,
        service: RoutedService,
        table: RangeTable,
        targets: dict[tuple[str, int], RegisteredTarget],
        now: float,
        may_plan: bool,
    ) -> None:
        """Propose the next edits of one service; only one proposal is pending at a time."""
        pending_edits = self.pending_edits.get(service.name)
        is_pending = pending_edits is not None and pending_edits.base_version == table.version
        if is_pending and now - pending_edits.proposed_at < PROPOSAL_RETRY_INTERVAL_S:
            return
        edits = self._required_edits(table, targets, now)
        edits.extend(self._planned_edits(service, table, now, may_plan and not edits))
        if not edits and may_plan:
            edits = plan_merges(table.ranges, MAX_MERGES_PER_PROPOSAL)
        if not edits:
            return
        edits = edits[:MAX_EDITS_PER_PROPOSAL]
        self.pending_edits[service.name] = _PendingEdits(table.version, now)
        log_edits(self.log, self.lease_manager, service.name, table, edits, now)
        self.propose_in_background(EditRanges(service.name, table.version, tuple(edits)))

    def _required_edits(
        self, table: RangeTable, targets: dict[tuple[str, int], RegisteredTarget], now: float
    ) -> list[RangeEdit]:
        """Return edits that do not depend on load: releases, freed ranges and new fences for refused ones."""
        edits = []
        for item in table.ranges:
            target = targets.get(item.incarnation)
            if item.phase == FREE:
                continue
            is_lost = target is None or self.lease_manager.is_unreachable(item.incarnation)
            if (item.phase == RELEASING or is_lost) and self.lease_manager.is_released(item, now):
                edits.append(RangeEdit(item.first, item.last, FREE))
            elif item.phase == HELD and target is not None and not self.state.may_receive_work(target):
                edits.append(RangeEdit(item.first, item.last, RELEASING))
            elif (
                item.phase == HELD
                and (item.incarnation, item.first, item.last, item.fence) in self.lease_manager.refused_ranges
            ):
                edits.append(RangeEdit(item.first, item.last, HELD, *item.incarnation))
        return edits

    def _planned_edits(
        self, service: RoutedService, table: RangeTable, now: float, may_balance: bool
    ) -> list[RangeEdit]:
        """Return assignments of free ranges and releases for balance.

        Free ranges that a process may still hold are passed to the planner as releasing, so that it does not
        assign them.
        """
        free = [item for item in table.ranges if item.phase == FREE]
        if not free and not may_balance:
            return []
        load = self.loads.setdefault(service.name, KeyLoads(now))
        load.advance(now)
        owners = self._owners(service, load.total(), now)
        if not owners or not self._is_initial_delay_over(service.name, table, now):
            return []
        possibly_held = {item for item in free if self.lease_manager.may_still_hold(item, now)}
        successor_assignments = self._successor_assignments(
            possibly_held, {owner.incarnation for owner in owners}
        )
        if successor_assignments:
            return successor_assignments
        ranges = [
            attrs.evolve(item, phase=RELEASING) if item in possibly_held else item for item in table.ranges
        ]
        pending_moves = sum(
            item.phase != HELD
            or (item.fence >= self.first_fence_of_term and not self.lease_manager.is_granted(item))
            for item in table.ranges
        )
        may_balance = may_balance and now >= self.lease_manager.ledger.predecessor_grants_until
        plan = plan_keys(ranges, owners, load.work, pending_moves, may_balance)
        return [*plan.assignments, *plan.releases]

    def _successor_assignments(
        self, possibly_held: set[KeyRange], owners: set[tuple[str, int]]
    ) -> list[RangeEdit]:
        """Assign possibly held ranges to the new process at the address of their last holder.

        Only that process can hold such a range, and the new grant replaces what it may hold, so no lease has
        to expire first.
        """
        edits = []
        for item in sorted(possibly_held, key=lambda item: item.first):
            address = self.lease_manager.addresses.get(item.incarnation)
            successor = self.state.fleet.at_address(address) if address else None
            if (
                successor is not None
                and successor.incarnation != item.incarnation
                and successor.incarnation in owners
            ):
                edits.append(RangeEdit(item.first, item.last, HELD, *successor.incarnation))
        return edits

    def _is_initial_delay_over(self, name: str, table: RangeTable, now: float) -> bool:
        if table.version > 0:
            return True
        return now >= self.first_owner_at.setdefault(name, now) + INITIAL_ASSIGNMENT_DELAY_S

    def _owners(self, service: RoutedService, work: float, now: float) -> list[PlanOwner]:
        targets = [
            target
            for target in self.state.fleet.targets.values()
            if target.service == service.name
            and self.state.may_receive_work(target)
            and not self.is_overdue(target, now)
            and not self.lease_manager.is_unreachable(target.incarnation)
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
        """Return the capacity of a target in seconds of work per second.

        It is reduced while the target is cold or limits its rate.
        """
        capacity = target.slots * self.speed(target)
        if self.liveness.cold_for(target, now) > 0:
            capacity = min(capacity / 2, service.cold_rate * EXPECTED_SERVICE_TIME_S)
        rate_limit = self.rate_limits.rate(target.incarnation)
        return max(MIN_CAPACITY, min(capacity, rate_limit * EXPECTED_SERVICE_TIME_S))

    # Targets -------------------------------------------------------------------------------------

    def _clean_up(self, targets: dict[tuple[str, int], RegisteredTarget], now: float) -> None:
        """Drop measurements of removed targets, and propose to remove lost targets that hold no keys."""
        self.liveness.keep_only(set(targets))
        self.speed_tracker.keep_only(set(targets))
        self.busy_tracker.keep_only(set(targets))
        self.permits.keep_only(set(targets))
        self.rate_limits.keep_only(set(targets))
        holders = {
            item.incarnation
            for table in self.state.tables.values()
            for item in table.ranges
            if item.phase != FREE
        }
        for incarnation, target in targets.items():
            is_expired = self.liveness.seconds_since_announcement(target, now) > TARGET_REMOVAL_DELAY_S
            if (
                is_expired
                and incarnation not in holders
                and now - self.removal_proposed_at.get(incarnation, 0.0) > PROPOSAL_RETRY_INTERVAL_S
            ):
                self.removal_proposed_at[incarnation] = now
                self.log.info("target_forgotten", target=target.target_id, silence=TARGET_REMOVAL_DELAY_S)
                self.propose_in_background(ForgetTarget(*incarnation))
