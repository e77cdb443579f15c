"""Server of the feed: streams that send entries the sections of the view that they lack."""

import asyncio
import random

import attrs
import grpclib.server

from cranberrylever.consensus import RaftDriver
from cranberrylever.keyspace import RangeTable
from cranberrylever.logs import Log
from cranberrylever.route_control._leader import RouteControlLeader
from cranberrylever.route_control._peers import Peer, choose_peers
from cranberrylever.route_control._sections import Section, is_same_fleet
from cranberrylever.route_control._state import RouteControlState
from cranberrylever.route_control._suspects import SuspectTracker
from cranberrylever.route_plan import RoutedService
from cranberrylever.target_registry import RegisteredTarget
from cranberrylever.wire import (
    UNKNOWN,
    FeedBase,
    FeedReply,
    FeedReport,
    FleetView,
    GrantedPermits,
    RangesView,
    RangeView,
    RoutedTarget,
    ServiceRanges,
)

REFRESH_INTERVAL_S = 0.05
"""Seconds after which sections are rebuilt for changes by time alone: overdue announcements, cold starts."""

MIN_RELATIVE_SPEED_CHANGE = 0.2
"""Relative change of a target's speed above which entries are sent the new one."""

MIN_BUSY_CHANGE = 0.4
"""Change of the number of concurrent requests of an idle target above which entries are sent the new one."""

MIN_RELATIVE_BUSY_CHANGE = 0.35
"""Share of the number published last that is added to ``MIN_BUSY_CHANGE``."""


@attrs.define(eq=False)
class _AttachedEntry:
    """Stream of one entry with the versions of the sections that it holds.

    ``peer`` is where it takes requests of other entries.
    """

    stream: "grpclib.server.Stream[FeedReport, FeedReply]"
    entry_id: str = ""
    sequence: int = 0
    plan_version: int = -1
    fleet_version: int = -1
    ranges_version: int = -1
    peer: Peer = Peer("", 0.0)
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)


class FeedService(FeedBase):
    """Receives the reports of all attached entries and sends them the view while this member leads.

    Args:
        cluster_id: A report that names another cluster closes its stream.
        driver: Consensus driver of this member.
        leader: Leader loop.
        state: The replicated state.
        log: Program log.
    """

    def __init__(
        self,
        cluster_id: str,
        driver: RaftDriver,
        leader: RouteControlLeader,
        state: RouteControlState,
        log: Log,
    ) -> None:
        self.cluster_id = cluster_id
        self.driver = driver
        self.leader = leader
        self.state = state
        self.log = log
        self.attached_entries: set[_AttachedEntry] = set()
        self.suspects = SuspectTracker()
        self.fleet = Section()
        self.ranges = Section()
        self.published_speeds: dict[tuple[str, int], float] = {}
        self.published_busy: dict[tuple[str, int], float] = {}
        self.source_versions: tuple[int, ...] = ()
        self.next_refresh_at = 0.0
        self.rng = random.Random()

    async def attach(self, stream: "grpclib.server.Stream[FeedReport, FeedReply]") -> None:
        """Serve one entry until its stream closes or names another cluster."""
        entry = _AttachedEntry(stream)
        self.attached_entries.add(entry)
        try:
            async for report in stream:
                if report.cluster_id != self.cluster_id:
                    return
                await self._handle_report(entry, report)
        finally:
            self.attached_entries.discard(entry)
            for task in entry.tasks:
                task.cancel()
            self.log.info("entry_detached", entry=entry.entry_id)

    def push(self) -> None:
        """Send each entry the sections that have changed."""
        if not self.leader.is_serving():
            return
        self._refresh(asyncio.get_running_loop().time())
        for entry in self.attached_entries:
            if entry.entry_id and not entry.lock.locked() and self._is_behind(entry):
                task = asyncio.get_running_loop().create_task(self._push_to(entry))
                entry.tasks.add(task)
                task.add_done_callback(entry.tasks.discard)

    async def _handle_report(self, entry: _AttachedEntry, report: FeedReport) -> None:
        entry.sequence = report.sequence
        if not self.leader.is_serving():
            entry.entry_id = ""
            reply = FeedReply(
                self.cluster_id, report.sequence, False, self.driver.leader_id or "", self.driver.group()
            )
            async with entry.lock:
                await entry.stream.send_message(reply)
            return
        if not entry.entry_id:
            self.log.info("entry_attached", entry=report.entry_id, plan=report.plan_version)
        entry.entry_id = report.entry_id
        entry.plan_version = report.plan_version
        entry.fleet_version = report.fleet_version
        entry.ranges_version = report.ranges_version
        now = asyncio.get_running_loop().time()
        entry.peer = Peer(report.peer_address, now)
        self.leader.record_report(report)
        self.suspects.record(report.crashed, now)
        self._refresh(now)
        peers = self._choose_peers(report, now) if report.wants_peers else None
        await self._send(entry, self.leader.permits.grant(report.wishes, now), peers)

    def _choose_peers(self, report: FeedReport, now: float) -> tuple[str, ...]:
        attached = (entry for entry in self.attached_entries if entry.entry_id != report.entry_id)
        return choose_peers((entry.peer for entry in attached), now, self.rng)

    async def _push_to(self, entry: _AttachedEntry) -> None:
        try:
            await self._send(entry)
        except Exception as error:
            # The loop that reads this stream also ends, and detaches the entry.
            self.log.write("debug", "push_failed", entry=entry.entry_id, error=repr(error))

    async def _send(
        self,
        entry: _AttachedEntry,
        permits: tuple[GrantedPermits, ...] = (),
        peers: tuple[str, ...] | None = None,
    ) -> None:
        """Send the sections that an entry lacks; it counts as holding them once they are written."""
        async with entry.lock:
            plan_version = self.state.plan_version
            plan = self.state.plans.current
            needs_plan = plan is not None and entry.plan_version < plan_version
            fleet_version, ranges_version = self.fleet.version, self.ranges.version
            reply = FeedReply(
                self.cluster_id,
                entry.sequence,
                True,
                self.driver.config.member_id,
                self.driver.group(),
                plan_version if needs_plan else -1,
                attrs.evolve(plan, source=b"") if needs_plan else None,
                fleet_version,
                self.fleet.since(entry.fleet_version),
                ranges_version,
                self.ranges.since(entry.ranges_version),
                permits,
                peers,
            )
            await entry.stream.send_message(reply)
            if needs_plan:
                entry.plan_version = plan_version
            entry.fleet_version = fleet_version
            entry.ranges_version = ranges_version

    def _is_behind(self, entry: _AttachedEntry) -> bool:
        return (
            entry.plan_version < self.state.plan_version
            or entry.fleet_version < self.fleet.version
            or entry.ranges_version < self.ranges.version
        )

    def _refresh(self, now: float) -> None:
        """Rebuild the sections when something may have changed; one that differs gets a new version."""
        term = self.leader.term
        state = self.state
        versions = (
            term,
            state.fleet_version,
            state.ranges_version,
            self.leader.lease_manager.change_count,
            self.leader.measurements.rate_limits.version,
        )
        if versions == self.source_versions and now < self.next_refresh_at:
            return
        self.source_versions = versions
        self.next_refresh_at = now + REFRESH_INTERVAL_S
        fleet = self._fleet_view(now)
        if self.fleet.term != term or not is_same_fleet(self.fleet.content, fleet):
            self.fleet.update(fleet, term)
        ranges = self._ranges_view()
        if self.ranges.term != term or ranges != self.ranges.content:
            self.ranges.update(ranges, term)

    def _fleet_view(self, now: float) -> FleetView:
        incarnations = {target.incarnation for target in self.state.fleet.targets.values()}
        self.published_speeds = {
            incarnation: speed
            for incarnation, speed in self.published_speeds.items()
            if incarnation in incarnations
        }
        self.published_busy = {
            incarnation: busy
            for incarnation, busy in self.published_busy.items()
            if incarnation in incarnations
        }
        targets = tuple(self._routed_target(target, now) for target in self.state.fleet.targets.values())
        return FleetView(targets, max(1, len(self.state.entries)), self.suspects.blocked(now))

    def _routed_target(self, target: RegisteredTarget, now: float) -> RoutedTarget:
        measurements = self.leader.measurements
        liveness = measurements.liveness
        may_receive_work = self.state.may_receive_work(target)
        is_overdue = measurements.is_overdue(target, now)
        return RoutedTarget(
            target.target_id,
            target.started_ms,
            target.service,
            target.address,
            target.failure_domain,
            target.slots,
            usable=may_receive_work and not is_overdue,
            cold_for=liveness.cold_for(target, now) if liveness.has_announced(target) else UNKNOWN,
            speed=self._published_speed(target),
            busy=self._published_busy(target, now),
            rate_limit=measurements.rate_limits.published(target.incarnation),
            draining=not may_receive_work and not is_overdue,
        )

    def _published_speed(self, target: RegisteredTarget) -> float:
        """Return the speed published last, or the current one when it differs enough."""
        current = self.leader.measurements.speed(target)
        published = self.published_speeds.get(target.incarnation, 1.0)
        if abs(current - published) > MIN_RELATIVE_SPEED_CHANGE * published:
            published = self.published_speeds[target.incarnation] = round(current, 2)
        return published

    def _published_busy(self, target: RegisteredTarget, now: float) -> float:
        """Return the concurrent requests published last, or the current ones when they differ enough."""
        current = self.leader.measurements.busy(target, now)
        if current is None:
            return UNKNOWN
        published = self.published_busy.get(target.incarnation, 0.0)
        if abs(current - published) > MIN_BUSY_CHANGE + MIN_RELATIVE_BUSY_CHANGE * published:
            published = self.published_busy[target.incarnation] = round(current, 1)
        return published

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
