"""The view that control publishes to entries: its sections, their versions and what an entry lacks of them.

With many entries and targets every change is sent many times, so figures that change all the time, speeds
and loads, are published at an interval that grows with the number of pairs of an entry and a target, and
what entries with the same versions lack is encoded once.
"""

import math

import attrs

from cranberrylever.keyspace import RangeTable
from cranberrylever.route_control._leader import RouteControlLeader
from cranberrylever.route_control._sections import Section, is_same_fleet, is_same_target
from cranberrylever.route_control._state import RouteControlState
from cranberrylever.route_control._suspects import SuspectTracker
from cranberrylever.route_plan import RoutedService, changes_between
from cranberrylever.target_registry import RegisteredTarget
from cranberrylever.wire import (
    UNKNOWN,
    FleetView,
    RangesView,
    RangeView,
    RoutedTarget,
    ServiceRanges,
    ViewSections,
    compress_sections,
)

MIN_REFRESH_INTERVAL_S = 0.05
"""Seconds after which the targets are looked at again for changes by time alone, such as cold starts."""

REFRESHED_TARGETS_PER_S = 2_000.0
"""Targets that are looked at per second, so that many changes in a row are published together."""

MIN_LOAD_INTERVAL_S = 0.05
MAX_LOAD_INTERVAL_S = 3.0
LOAD_PAIRS_PER_S = 20_000.0
"""Speeds and loads that all entries together are sent per second if all of them change."""

MIN_RELATIVE_SPEED_CHANGE = 0.2
"""Relative change of a target's speed above which entries are sent the new one."""

MIN_BUSY_CHANGE = 0.4
"""Change of the number of concurrent requests of an idle target above which entries are sent the new one."""

MIN_RELATIVE_BUSY_CHANGE = 0.35
"""Share of the number published last that is added to ``MIN_BUSY_CHANGE``."""

Incarnation = tuple[str, int]


@attrs.define
class _PreparedSections:
    """Sections for entries that hold the same versions; compressed when the first one asks."""

    sections: ViewSections
    compressed: bytes | None = None


class PublishedView:
    """Versioned sections of the view; times are loop times in seconds.

    Args:
        leader: Leader loop.
        state: The replicated state.
        suspects: Requests that crash targets.
    """

    def __init__(
        self, leader: RouteControlLeader, state: RouteControlState, suspects: SuspectTracker
    ) -> None:
        self.leader = leader
        self.state = state
        self.suspects = suspects
        self.fleet = Section()
        self.ranges = Section()
        self.speeds: dict[Incarnation, float] = {}
        self.busy: dict[Incarnation, float] = {}
        self.routed: dict[str, RoutedTarget] = {}
        self.fleet_sources: tuple[int, ...] = ()
        self.ranges_sources: tuple[int, ...] = ()
        self.next_refresh_at = -math.inf
        self.next_load_at = -math.inf
        self.prepared: dict[tuple[int, int, int], _PreparedSections] = {}
        self.prepared_plan_version = -1
        self.prepared_plans: dict[int, bytes] = {}

    def refresh(self, now: float) -> None:
        """Rebuild the sections for which something may have changed; one that differs gets a new version."""
        term = self.leader.term
        fleet_sources = (term, self.state.fleet_version, self.leader.measurements.rate_limits.version)
        if now >= self.next_refresh_at or (fleet_sources != self.fleet_sources and not self._is_large()):
            self.fleet_sources = fleet_sources
            self._refresh_fleet(term, now)
        ranges_sources = (
            term,
            self.state.plan_version,
            self.state.fleet_version,
            self.state.ranges_version,
            self.leader.lease_manager.change_count,
        )
        if ranges_sources != self.ranges_sources:
            self.ranges_sources = ranges_sources
            ranges = self._ranges_view()
            if self.ranges.term != term or ranges != self.ranges.content:
                self.ranges.update(ranges, term)
                self.prepared.clear()

    def _is_large(self) -> bool:
        """Return whether looking at all targets for each change would take much of the leader's time."""
        return len(self.state.fleet.targets) > MIN_REFRESH_INTERVAL_S * REFRESHED_TARGETS_PER_S

    def is_behind(self, plan_version: int, fleet_version: int, ranges_version: int) -> bool:
        """Return whether an entry with these versions lacks a section."""
        return (
            plan_version < self.state.plan_version
            or fleet_version < self.fleet.version
            or ranges_version < self.ranges.version
        )

    def sections_since(self, plan_version: int, fleet_version: int, ranges_version: int) -> ViewSections:
        """Return what an entry with these versions lacks."""
        return self._prepare(plan_version, fleet_version, ranges_version).sections

    def compressed_since(self, plan_version: int, fleet_version: int, ranges_version: int) -> bytes:
        """Return the same in compressed form, empty when the entry lacks nothing."""
        prepared = self._prepare(plan_version, fleet_version, ranges_version)
        if prepared.compressed is None:
            is_empty = prepared.sections.is_empty
            prepared.compressed = b"" if is_empty else compress_sections(prepared.sections)
        return prepared.compressed

    def compressed_plan(self, base_version: int) -> bytes:
        """Return the compressed section with only the plan.

        It holds the changes since ``base_version`` if that plan is kept, else the whole plan.
        """
        version = self.state.plan_version
        if version != self.prepared_plan_version:
            self.prepared_plan_version = version
            self.prepared_plans.clear()
        base = self.state.recent_plans.get(base_version)
        key = base_version if base is not None else -1
        if key not in self.prepared_plans:
            plan = self.state.recent_plans[version]
            changes = changes_between(base, plan, base_version) if base is not None else None
            sections = ViewSections(
                version, plan if base is None else None, -1, None, -1, None, plan_changes=changes
            )
            self.prepared_plans[key] = compress_sections(sections)
        return self.prepared_plans[key]

    def _prepare(self, plan_version: int, fleet_version: int, ranges_version: int) -> _PreparedSections:
        plan = self.state.plans.current
        needs_plan = plan is not None and plan_version < self.state.plan_version
        key = (
            self.state.plan_version if needs_plan else -1,
            min(fleet_version, self.fleet.version),
            min(ranges_version, self.ranges.version),
        )
        prepared = self.prepared.get(key)
        if prepared is None:
            sections = ViewSections(
                self.state.plan_version if needs_plan else -1,
                attrs.evolve(plan, source=b"") if needs_plan else None,
                self.fleet.version,
                self.fleet.since(fleet_version),
                self.ranges.version,
                self.ranges.since(ranges_version),
            )
            prepared = self.prepared[key] = _PreparedSections(sections)
        return prepared

    # Targets -------------------------------------------------------------------------------------

    def _refresh_fleet(self, term: int, now: float) -> None:
        targets = self.state.fleet.targets
        self.next_refresh_at = now + max(MIN_REFRESH_INTERVAL_S, len(targets) / REFRESHED_TARGETS_PER_S)
        if now >= self.next_load_at:
            pairs = len(targets) * len(self.state.entries)
            self.next_load_at = now + min(
                MAX_LOAD_INTERVAL_S, max(MIN_LOAD_INTERVAL_S, pairs / LOAD_PAIRS_PER_S)
            )
            self._update_loads(now)
        self.routed = {
            target.target_id: self._routed_target(target, self.routed.get(target.target_id), now)
            for target in targets.values()
        }
        fleet = FleetView(
            tuple(self.routed.values()),
            max(1, len(self.state.entries)),
            self.suspects.blocked(now),
        )
        if self.fleet.term != term or not is_same_fleet(self.fleet.content, fleet):
            self.fleet.update(fleet, term)
            self.prepared.clear()

    def _update_loads(self, now: float) -> None:
        """Publish the speeds and loads that differ enough from those published last."""
        targets = self.state.fleet.targets.values()
        measurements = self.leader.measurements
        self.speeds = {target.incarnation: self._speed(target) for target in targets}
        self.busy = {
            target.incarnation: self._busy(target, measurements.busy(target, now)) for target in targets
        }

    def _speed(self, target: RegisteredTarget) -> float:
        """Return the speed published last, or the current one when it differs enough."""
        current = self.leader.measurements.speed(target)
        published = self.speeds.get(target.incarnation, 1.0)
        has_changed = abs(current - published) > MIN_RELATIVE_SPEED_CHANGE * published
        return round(current, 2) if has_changed else published

    def _busy(self, target: RegisteredTarget, current: float | None) -> float:
        """Return the concurrent requests published last, or the current ones when they differ enough."""
        if current is None:
            return UNKNOWN
        published = max(0.0, self.busy.get(target.incarnation, 0.0))
        has_changed = abs(current - published) > MIN_BUSY_CHANGE + MIN_RELATIVE_BUSY_CHANGE * published
        return round(current, 1) if has_changed else published

    def _routed_target(
        self, target: RegisteredTarget, before: RoutedTarget | None, now: float
    ) -> RoutedTarget:
        """Return a target as it is published, the same object as ``before`` when nothing has changed."""
        measurements = self.leader.measurements
        liveness = measurements.liveness
        may_receive_work = self.state.may_receive_work(target)
        is_overdue = measurements.is_overdue(target, now)
        current = RoutedTarget(
            target.target_id,
            target.started_ms,
            target.service,
            target.address,
            target.failure_domain,
            target.slots,
            usable=may_receive_work and not is_overdue,
            cold_for=liveness.cold_for(target, now) if liveness.has_announced(target) else UNKNOWN,
            speed=self.speeds.get(target.incarnation, 1.0),
            busy=self.busy.get(target.incarnation, UNKNOWN),
            rate_limit=measurements.rate_limits.published(target.incarnation),
            draining=not may_receive_work and not is_overdue,
        )
        return before if is_same_target(before, current) else current

    # Key ranges ----------------------------------------------------------------------------------

    def _ranges_view(self) -> RangesView:
        return RangesView(
            tuple(
                ServiceRanges(name, self._published_ranges(table, self.leader.service(name)))
                for name, table in self.state.tables.items()
            )
        )

    def _published_ranges(self, table: RangeTable, service: RoutedService | None) -> tuple[RangeView, ...]:
        """Return the ranges of one service; adjacent ranges of the same owner are joined."""
        published: list[RangeView] = []
        for item in table.ranges:
            owner = self.leader.published_owner(item, service)
            if published and published[-1].owner == owner:
                published[-1] = RangeView(published[-1].first, item.last, owner)
            else:
                published.append(RangeView(item.first, item.last, owner))
        return tuple(published)
