"""Leader loop of route control: targets, key ranges and what entries are sent about them."""

import asyncio
import math

import attrs

from cranberrylever.change_signal import ChangeSignal
from cranberrylever.consensus import RaftDriver
from cranberrylever.control_member import LeaderBase
from cranberrylever.keyspace import (
    FREE,
    HELD,
    RELEASING,
    KeyRange,
    PlanOwner,
    RangeEdit,
    RangeTable,
    fair_weight,
    plan_keys,
    plan_merges,
)
from cranberrylever.logs import Log
from cranberrylever.quota import QuotaLedger
from cranberrylever.route_control._announced_grants import AnnouncedGranter
from cranberrylever.route_control._commands import (
    EditRanges,
    EndTarget,
    ForgetTarget,
    RecordEntry,
    RecordTarget,
    RouteControlCommand,
    command_codec,
)
from cranberrylever.route_control._lease_manager import LeaseManager, range_key_of
from cranberrylever.route_control._measurements import TargetMeasurements
from cranberrylever.route_control._permits import PermitLedger
from cranberrylever.route_control._range_log import log_edits, log_freed_ranges
from cranberrylever.route_control._state import RouteControlState
from cranberrylever.route_control._takeover import predecessor_lease, successor_assignments
from cranberrylever.route_plan import RoutedService
from cranberrylever.target_registry import RegisteredTarget, TargetAnnouncement
from cranberrylever.wire import FeedReport, ObservedRateLimit, QuotaGrant

STEP_INTERVAL_S = 0.05
STEPPED_RANGES_PER_S = 6_000.0
"""Ranges that steps look at per second."""

PLAN_INTERVAL_S = 0.25
"""Seconds between steps that also measure speeds, balance and merge ranges, and remove lost targets."""

PROPOSAL_RETRY_INTERVAL_S = 1.0
"""Seconds after which a proposal that has not been applied is made again."""

INITIAL_ASSIGNMENT_DELAY_S = 1.0
"""Seconds for which the first assignment waits for more targets, so that the first does not get every key."""

BALANCE_DELAY_S = 3.5
"""Seconds of a term before keys move for balance: targets still join, and little work has been measured."""

TARGET_REMOVAL_DELAY_S = 12.0
"""Seconds since its last announcement after which a target without keys is removed.

The target may announce itself again.
"""

MAX_MERGES_PER_PROPOSAL = 2
MAX_EDITS_PER_PROPOSAL = 64

OVERDUE_ANNOUNCEMENT_INTERVALS = 3.0
"""Number of missed announcement intervals after which a target gets no new work."""


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
        self.granter = AnnouncedGranter(lease_manager, log)
        self.applied = ChangeSignal()
        self.overdue_after = OVERDUE_ANNOUNCEMENT_INTERVALS * notice_interval
        self._start_term(0.0)

    def _start_term(self, now: float) -> None:
        self.measurements = TargetMeasurements(now, self.overdue_after)
        self.permits = PermitLedger(now)
        self.quotas = QuotaLedger(now, self.state.entries)
        self.pending_edits: dict[str, _PendingEdits] = {}
        self.next_plan_at = now
        self.first_owner_at: dict[str, float] = {}
        self.removal_proposed_at: dict[tuple[str, int], float] = {}
        self.departure_proposed_at: dict[tuple[str, int], float] = {}
        self.first_fence_of_term = self.state.next_fence
        self.lease_manager.start_term(now, predecessor_lease(self.state))
        self.balance_from = max(now + BALANCE_DELAY_S, self.lease_manager.ledger.predecessor_grants_until)
        self.granter.start_term(item for table in self.state.tables.values() for item in table.ranges)

    def on_applied(self, index: int, command: object, result: object) -> None:
        """Run the next step immediately after a change, and log the ranges that it freed without an edit."""
        self.wake.set()
        self.applied.notify()
        if isinstance(command, RecordTarget) and result and self.is_serving():
            log_freed_ranges(self.log, self.lease_manager, result, asyncio.get_running_loop().time())

    def encode(self, command: RouteControlCommand) -> bytes:
        """Return the form in which a command is written to the replicated log."""
        return command_codec.encode(command)

    def record_announcement(self, announcement: TargetAnnouncement, age: float = 0.0) -> None:
        """Record that a target announced itself ``age`` seconds ago, and how long it stays cold."""
        if self.state.fleet.is_outdated(announcement) and not self.state.fleet.is_leaving(announcement):
            return
        announced_at = asyncio.get_running_loop().time() - max(0.0, age)
        if self.measurements.liveness.record(announcement, announced_at):
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
        self.measurements.record(report, now)
        for incarnation in report.leaving:
            self._record_departure(tuple(incarnation), report.entry_id, now)
        for observed in report.rate_limits:
            self._record_rate_limit(observed, report.entry_id, now)

    def grant_quota(self, report: FeedReport, now: float) -> tuple[QuotaGrant, ...]:
        """Grant an entry tokens for the requests of customers, by the quotas of the plan in force.

        An entry gets none before it is recorded, so that a new leader knows all entries that may hold some.
        """
        plan = self.state.plans.current
        if plan is None or report.entry_id not in self.state.entries:
            return ()
        self.quotas.set_customers(plan.customers, now)
        return self.quotas.answer(report.quota, report.entry_id, report.sequence, now)

    def _record_departure(self, incarnation: tuple[str, int], entry_id: str, now: float) -> None:
        """Mark a target as leaving whose answers said so; announcements of it have no effect any more."""
        target = self.state.fleet.targets.get(incarnation[0])
        if target is None or target.incarnation != incarnation or target.leaving:
            return
        if now - self.departure_proposed_at.get(incarnation, -math.inf) < PROPOSAL_RETRY_INTERVAL_S:
            return
        self.departure_proposed_at[incarnation] = now
        self.log.info("target_leaves", target=target.target_id, started_ms=target.started_ms, entry=entry_id)
        self.propose_in_background(EndTarget(*incarnation))

    def _record_rate_limit(self, observed: ObservedRateLimit, entry_id: str, now: float) -> None:
        """Record a limit that a target stated; a change is sent to all entries at once."""
        if self.measurements.rate_limits.record(observed, now):
            self.log.info(
                "target_rate_limit",
                target=observed.target_id,
                rate=observed.rate if math.isfinite(observed.rate) else None,
                age=round(observed.age, 3),
                entry=entry_id,
            )
            self.wake.set()

    def published_owner(self, item: KeyRange, service: RoutedService | None = None) -> str:
        """Return the target that entries send the requests of a range to, empty while there is none.

        An assignment of this term is published once its target has acknowledged it; those of earlier terms
        are published at once, as their targets serve them already. A target that gets its grants in answers
        serves a range that is releasing until an answer leaves it out.
        """
        is_announced = service is not None and service.granted_in_answers
        if item.phase == RELEASING and is_announced:
            is_published = not self.granter.is_ended(item) and self._is_granted(item)
        else:
            is_published = item.phase == HELD and self._is_granted(item)
        target = self.state.fleet.targets.get(item.target_id) if is_published else None
        return item.target_id if target is not None and target.incarnation == item.incarnation else ""

    def _is_granted(self, item: KeyRange) -> bool:
        return item.fence < self.first_fence_of_term or self.lease_manager.is_granted(item)

    def step_gap(self) -> float:
        """Return the shortest time between two steps in seconds, longer with many ranges.

        A step looks at each range, and each answer of a target may ask for one.
        """
        ranges = sum(len(table.ranges) for table in self.state.tables.values())
        return min(STEP_INTERVAL_S, ranges / STEPPED_RANGES_PER_S)

    def step(self, now: float) -> None:
        """Propose edits, start the calls to targets that are due, and drop state that is no longer needed."""
        if self.term != self.driver.term:
            self.term = self.driver.term
            self._start_term(now)
            self.log.info("leadership_started", term=self.term, plan=self.state.plans.number)
        may_plan = now >= self.next_plan_at
        if may_plan:
            self.next_plan_at = now + PLAN_INTERVAL_S
            self.measurements.update_speeds(self.state.fleet.targets.values())
            self.measurements.busy_tracker.clear_work()
        targets = {target.incarnation: target for target in self.state.fleet.targets.values()}
        range_keys = set()
        for name, table in self.state.tables.items():
            service = self.service(name)
            if service is None:
                continue
            if may_plan and name in self.measurements.loads:
                self.measurements.busy_tracker.add_work(table, self.measurements.loads[name])
            self._propose_edits(service, table, targets, now, may_plan)
            if not service.granted_in_answers:
                self.lease_manager.step(table.ranges, targets, service.health_path, now)
            range_keys.update(map(range_key_of, table.ranges))
        if may_plan:
            self.lease_manager.drop_removed_ranges(range_keys, now)
            self.granter.drop_removed_ranges(range_keys)
            self._clean_up(targets, now)
            for customer in self.quotas.take_notices():
                self.log.info("quota_used_up", customer=customer.name, rate=customer.rate)

    def service(self, name: str) -> RoutedService | None:
        """Return a service of the plan in force, ``None`` for another name."""
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
        edits = self._required_edits(service, table, targets, now)
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
        self,
        service: RoutedService,
        table: RangeTable,
        targets: dict[tuple[str, int], RegisteredTarget],
        now: float,
    ) -> list[RangeEdit]:
        """Return edits that do not depend on load: releases, freed ranges and new fences for refused ones."""
        edits = []
        for item in table.ranges:
            target = targets.get(item.incarnation)
            if item.phase == FREE:
                continue
            is_lost = target is None or self._is_lost(target, service, now)
            if (item.phase == RELEASING or is_lost) and self.lease_manager.is_released(item, now):
                edits.append(RangeEdit(item.first, item.last, FREE))
            elif item.phase == HELD and target is not None and not self.state.may_receive_work(target):
                edits.append(RangeEdit(item.first, item.last, RELEASING))
            elif item.phase == HELD and range_key_of(item) in self.lease_manager.refused_ranges:
                edits.append(RangeEdit(item.first, item.last, HELD, *item.incarnation))
        return edits

    def _is_lost(self, target: RegisteredTarget, service: RoutedService, now: float) -> bool:
        """Return whether a target gets no grants at present."""
        if service.granted_in_answers:
            return self.measurements.is_overdue(target, now)
        return self.lease_manager.is_unreachable(target.incarnation)

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
        load = self.measurements.loads_of(service.name, now)
        load.advance(now)
        owners = self._owners(service, load.total(), now)
        if not owners or not self._is_initial_delay_over(service.name, table, now):
            return []
        possibly_held = {item for item in free if self.lease_manager.may_still_hold(item, now)}
        assignments = successor_assignments(
            possibly_held,
            {owner.incarnation for owner in owners},
            self.lease_manager.addresses,
            self.state.fleet,
        )
        if assignments:
            return assignments
        ranges = [
            attrs.evolve(item, phase=RELEASING) if item in possibly_held else item for item in table.ranges
        ]
        pending_moves = sum(
            item.phase != HELD
            or (item.fence >= self.first_fence_of_term and not self.lease_manager.is_granted(item))
            for item in table.ranges
        )
        may_balance = may_balance and now >= self.balance_from
        plan = plan_keys(ranges, owners, load.work, pending_moves, may_balance)
        return [*plan.assignments, *plan.releases]

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
            and not self.measurements.is_overdue(target, now)
            and not self.lease_manager.is_unreachable(target.incarnation)
        ]
        capacities = {
            target.incarnation: self.measurements.capacity(target, service, now) for target in targets
        }
        utilization = work / max(sum(capacities.values()), 0.001)
        return [
            PlanOwner(
                target.incarnation,
                capacities[target.incarnation],
                fair_weight(capacities[target.incarnation], self.measurements.speed(target), utilization),
            )
            for target in targets
        ]

    # Targets -------------------------------------------------------------------------------------

    def _clean_up(self, targets: dict[tuple[str, int], RegisteredTarget], now: float) -> None:
        """Drop measurements of removed targets, and propose to remove lost targets that hold no keys."""
        self.measurements.keep_only(set(targets), now - TARGET_REMOVAL_DELAY_S)
        self.permits.keep_only(set(targets))
        self.departure_proposed_at = {
            key: proposed_at for key, proposed_at in self.departure_proposed_at.items() if key in targets
        }
        holders = {
            item.incarnation
            for table in self.state.tables.values()
            for item in table.ranges
            if item.phase != FREE
        }
        for incarnation, target in targets.items():
            silence = self.measurements.liveness.seconds_since_announcement(target, now)
            is_expired = silence > TARGET_REMOVAL_DELAY_S
            if (
                is_expired
                and incarnation not in holders
                and now - self.removal_proposed_at.get(incarnation, 0.0) > PROPOSAL_RETRY_INTERVAL_S
            ):
                self.removal_proposed_at[incarnation] = now
                self.log.info("target_forgotten", target=target.target_id, silence=TARGET_REMOVAL_DELAY_S)
                self.propose_in_background(ForgetTarget(*incarnation))
