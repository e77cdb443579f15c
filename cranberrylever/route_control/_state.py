"""Replicated state of route control: plans, failure domains, targets and key ranges."""

from collections.abc import Callable

import attrs

from cranberrylever.keyspace import FIRST_FENCE, FREE, KeyRange, RangeEdit, RangeTable, RangeTableRecord
from cranberrylever.route_control._commands import (
    EditRanges,
    EndTarget,
    ForgetTarget,
    RecordEntry,
    RecordTarget,
    RouteControlCommand,
    SetDomainState,
    SubmitPlan,
)
from cranberrylever.route_plan import PlanOutcome, PlanRegistry, PlanRegistryRecord, RoutePlan
from cranberrylever.target_registry import RegisteredTarget, TargetRegistry, TargetRegistryRecord
from cranberrylever.wire import decode, encode

MAX_ENTRIES = 4_096

MAX_RECENT_PLANS = 32
"""Plans kept to send only changes; an entry that is further behind gets the whole plan."""


@attrs.frozen
class RouteControlRecord:
    """Snapshot form of ``RouteControlState``."""

    plans: PlanRegistryRecord
    withdrawn: tuple[str, ...]
    fleet: TargetRegistryRecord
    tables: dict[str, RangeTableRecord]
    next_fence: int
    entries: tuple[str, ...]
    plan_version: int
    fleet_version: int
    ranges_version: int


class RouteControlState:
    """Plans, withdrawn failure domains, targets and key ranges.

    All members apply the same commands in log order, so ``apply`` is deterministic and reads no clock.

    Attributes:
        plan_version: Log index of the last plan that was accepted.
        fleet_version: Log index of the last change of targets, domains or entries.
        ranges_version: Log index of the last change of a range.
        recent_plans: The last plans that were accepted, by version, without their sources.
    """

    def __init__(self) -> None:
        self.plans = PlanRegistry()
        self.withdrawn: set[str] = set()
        self.fleet = TargetRegistry()
        self.tables: dict[str, RangeTable] = {}
        self.next_fence = FIRST_FENCE
        self.entries: dict[str, None] = {}
        self.plan_version = 0
        self.fleet_version = 0
        self.ranges_version = 0
        self.recent_plans: dict[int, RoutePlan] = {}
        self._handlers: dict[type, Callable[[int, object], object]] = {
            SubmitPlan: self._submit_plan,
            SetDomainState: self._set_domain_state,
            RecordTarget: self._record_target,
            EndTarget: self._end_target,
            ForgetTarget: self._forget_target,
            RecordEntry: self._record_entry,
            EditRanges: self._edit_ranges,
        }

    def apply(self, index: int, command: RouteControlCommand) -> object:
        """Apply one committed command and return its result, a ``PlanOutcome`` for a plan."""
        return self._handlers[type(command)](index, command)

    def snapshot(self) -> bytes:
        """Return the complete state as bytes."""
        record = RouteControlRecord(
            self.plans.to_record(),
            tuple(sorted(self.withdrawn)),
            self.fleet.to_record(),
            {name: table.to_record() for name, table in sorted(self.tables.items())},
            self.next_fence,
            tuple(self.entries),
            self.plan_version,
            self.fleet_version,
            self.ranges_version,
        )
        return encode(record)

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot.

        Raises:
            CodecError: ``data`` is not a snapshot.
        """
        record = decode(data, RouteControlRecord)
        self.plans = PlanRegistry(record.plans)
        self.withdrawn = set(record.withdrawn)
        self.fleet = TargetRegistry(record.fleet)
        self.tables = {name: RangeTable(table) for name, table in record.tables.items()}
        self.next_fence = record.next_fence
        self.entries = dict.fromkeys(record.entries)
        self.plan_version = record.plan_version
        self.fleet_version = record.fleet_version
        self.ranges_version = record.ranges_version
        self.recent_plans.clear()
        self._keep_recent_plan()

    def has_assigned_keys(self) -> bool:
        """Return whether any key was ever assigned to a target, whatever tables there are by now.

        Fences are counted over all tables and never start anew.
        """
        return self.next_fence > FIRST_FENCE

    def may_receive_work(self, target: RegisteredTarget) -> bool:
        """Return whether new work may go to a target, which neither leaves nor is in a withdrawn domain."""
        return not target.leaving and target.failure_domain not in self.withdrawn

    def _submit_plan(self, index: int, command: SubmitPlan) -> PlanOutcome:
        outcome = self.plans.accept(command.plan, command.base)
        if outcome.accepted and not outcome.repeated:
            self.plan_version = index
            self._keep_recent_plan()
            for service in command.plan.services:
                if service.keyed and service.name not in self.tables:
                    self.tables[service.name] = RangeTable()
                    self.ranges_version = index
        return outcome

    def _keep_recent_plan(self) -> None:
        if self.plans.current is not None:
            self.recent_plans[self.plan_version] = attrs.evolve(self.plans.current, source=b"")
        while len(self.recent_plans) > MAX_RECENT_PLANS:
            del self.recent_plans[next(iter(self.recent_plans))]

    def _set_domain_state(self, index: int, command: SetDomainState) -> None:
        if command.withdrawn:
            self.withdrawn.add(command.failure_domain)
        else:
            self.withdrawn.discard(command.failure_domain)
        self.fleet_version = index

    def _record_target(self, index: int, command: RecordTarget) -> tuple[KeyRange, ...]:
        """Record an announcement and return the ranges that the end of other incarnations freed."""
        if not self.fleet.would_change(command.notice):
            return ()
        ended_targets = self.fleet.record(command.notice)
        self.fleet_version = index
        return tuple(item for ended in ended_targets for item in self._free_ranges(index, ended))

    def _end_target(self, index: int, command: EndTarget) -> None:
        # The process still serves for a while, so the leader releases its ranges as for any leaving target.
        if self.fleet.deregister(command.target_id, command.started_ms):
            self.fleet_version = index

    def _forget_target(self, index: int, command: ForgetTarget) -> None:
        if self.fleet.remove(command.target_id, command.started_ms) is not None:
            self.fleet_version = index

    def _record_entry(self, index: int, command: RecordEntry) -> None:
        if command.entry_id in self.entries or len(self.entries) >= MAX_ENTRIES:
            return
        self.entries[command.entry_id] = None
        self.fleet_version = index

    def _edit_ranges(self, index: int, command: EditRanges) -> None:
        table = self.tables.get(command.service)
        if table is None or table.version != command.base_version:
            return
        self.next_fence = table.apply(command.base_version, command.edits, self.next_fence)
        self.ranges_version = index

    def _free_ranges(self, index: int, ended: RegisteredTarget) -> list[KeyRange]:
        """Free the ranges of an incarnation that is known to have ended; return them as they were."""
        table = self.tables.get(ended.service)
        if table is None:
            return []
        freed = [
            item for item in table.ranges if item.phase != FREE and item.incarnation == ended.incarnation
        ]
        if freed:
            edits = tuple(RangeEdit(item.first, item.last, FREE) for item in freed)
            self.next_fence = table.apply(table.version, edits, self.next_fence)
            self.ranges_version = index
        return freed
