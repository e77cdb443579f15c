"""Stream service for entries: the sections of the view that they do not hold yet."""

import asyncio

import attrs
import grpclib.server

from cranberrylever.consensus import RaftDriver
from cranberrylever.keyspace import RangeTable
from cranberrylever.logs import Log
from cranberrylever.route_control._leader import RouteControlLeader
from cranberrylever.route_control._sections import Section, is_same_fleet
from cranberrylever.route_control._state import RouteControlState
from cranberrylever.route_control._suspects import SuspectBook
from cranberrylever.target_registry import RegisteredTarget
from cranberrylever.wire import (
    UNKNOWN,
    ColdPermits,
    FeedBase,
    FeedReply,
    FeedReport,
    FleetView,
    RangesView,
    RangeView,
    RoutedTarget,
    ServiceRanges,
)

REFRESH_INTERVAL_S = 0.05
"""Seconds after which the sections are built anew for what changes by time alone: silence and cold starts."""

SPEED_CHANGE = 0.2
"""Smallest relative change of a target's speed that is worth sending."""


BUSY_CHANGE = 0.4
"""Smallest change of the requests that run at a target at once that is worth sending, for an idle target."""

BUSY_CHANGE_SHARE = 0.35
"""The same as a share of those that run there."""


@attrs.define(eq=False)
class _Stream:
    """One attached entry with the versions that it was sent."""

    stream: "grpclib.server.Stream[FeedReport, FeedReply]"
    entry_id: str = ""
    sequence: int = 0
    plan_version: int = -1
    fleet_version: int = -1
    ranges_version: int = -1
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)


class FeedService(FeedBase):
    """Serves the streams of all entries at one control member.

    Args:
        cluster_id: Reports of another cluster end their stream.
        driver: Consensus driver of this member.
        leader: Duties of the leader.
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
        self.streams: set[_Stream] = set()
        self.suspects = SuspectBook()
        self.fleet = Section()
        self.ranges = Section()
        self.speeds: dict[tuple[str, int], float] = {}
        self.busy: dict[tuple[str, int], float] = {}
        self.built_from: tuple[int, ...] = ()
        self.refresh_at = 0.0

    async def attach(self, stream: "grpclib.server.Stream[FeedReport, FeedReply]") -> None:
        """Serve one entry until its stream closes or names another cluster."""
        entry = _Stream(stream)
        self.streams.add(entry)
        try:
            async for report in stream:
                if report.cluster_id != self.cluster_id:
                    return
                await self._receive(entry, report)
        finally:
            self.streams.discard(entry)
            for task in entry.tasks:
                task.cancel()
            self.log.info("entry_detached", entry=entry.entry_id)

    def push(self) -> None:
        """Send what has changed to every entry."""
        if not self.leader.is_serving():
            return
        self._refresh(asyncio.get_running_loop().time())
        for entry in self.streams:
            if entry.entry_id and not entry.lock.locked() and self._is_behind(entry):
                task = asyncio.get_running_loop().create_task(self._send_quietly(entry))
                entry.tasks.add(task)
                task.add_done_callback(entry.tasks.discard)

    async def _receive(self, entry: _Stream, report: FeedReport) -> None:
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
        self.leader.record_report(report)
        self.suspects.record(report.crashed, now)
        self._refresh(now)
        await self._send(entry, self.leader.permits.give(report.wishes, now))

    async def _send_quietly(self, entry: _Stream) -> None:
        try:
            await self._send(entry)
        except Exception as error:
            # The loop that reads this stream sees its end too.
            self.log.write("debug", "push_failed", entry=entry.entry_id, error=repr(error))

    async def _send(self, entry: _Stream, permits: tuple[ColdPermits, ...] = ()) -> None:
        """Send the sections that an entry lacks; they count as held once they are written."""
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
            )
            await entry.stream.send_message(reply)
            if needs_plan:
                entry.plan_version = plan_version
            entry.fleet_version = fleet_version
            entry.ranges_version = ranges_version

    def _is_behind(self, entry: _Stream) -> bool:
        return (
            entry.plan_version < self.state.plan_version
            or entry.fleet_version < self.fleet.version
            or entry.ranges_version < self.ranges.version
        )

    def _refresh(self, now: float) -> None:
        """Build the sections anew when something may have changed, and number them when they differ."""
        term = self.leader.term
        state = self.state
        sources = (term, state.fleet_version, state.ranges_version, self.leader.granter.news)
        if sources == self.built_from and now < self.refresh_at:
            return
        self.built_from = sources
        self.refresh_at = now + REFRESH_INTERVAL_S
        fleet = self._fleet_view(now)
        if self.fleet.term != term or not is_same_fleet(self.fleet.content, fleet):
            self.fleet.update(fleet, term)
        ranges = self._ranges_view()
        if self.ranges.term != term or ranges != self.ranges.content:
            self.ranges.update(ranges, term)

    def _fleet_view(self, now: float) -> FleetView:
        leader = self.leader
        incarnations = {target.incarnation for target in self.state.fleet.targets.values()}
        self.speeds = {
            incarnation: speed for incarnation, speed in self.speeds.items() if incarnation in incarnations
        }
        self.busy = {
            incarnation: busy for incarnation, busy in self.busy.items() if incarnation in incarnations
        }
        targets = tuple(
            RoutedTarget(
                target.target_id,
                target.started_ms,
                target.service,
                target.address,
                target.failure_domain,
                target.slots,
                self.state.may_receive_work(target) and not leader.is_silent(target, now),
                leader.liveness.cold_for(target, now) if leader.liveness.has_announced(target) else UNKNOWN,
                self._speed(target),
                self._busy(target),
            )
            for target in self.state.fleet.targets.values()
        )
        return FleetView(targets, max(1, len(self.state.entries)), self.suspects.blocked(now))

    def _speed(self, target: RegisteredTarget) -> float:
        """Return the speed that entries were told, or the present one when it differs much."""
        present = self.leader.speed(target)
        told = self.speeds.get(target.incarnation, 1.0)
        if abs(present - told) > SPEED_CHANGE * told:
            told = self.speeds[target.incarnation] = round(present, 2)
        return told

    def _busy(self, target: RegisteredTarget) -> float:
        """Return how busy entries were told that a target is, or the present figure when it differs much."""
        present = self.leader.busy(target)
        if present is None:
            return UNKNOWN
        told = self.busy.get(target.incarnation, 0.0)
        if abs(present - told) > BUSY_CHANGE + BUSY_CHANGE_SHARE * told:
            told = self.busy[target.incarnation] = round(present, 1)
        return told

    def _ranges_view(self) -> RangesView:
        return RangesView(
            tuple(ServiceRanges(name, self._shown_ranges(table)) for name, table in self.state.tables.items())
        )

    def _shown_ranges(self, table: RangeTable) -> tuple[RangeView, ...]:
        """Return the ranges with neighbours of one owner joined."""
        shown: list[RangeView] = []
        for item in table.ranges:
            owner = self.leader.owner_shown(item)
            if shown and shown[-1].owner == owner:
                shown[-1] = RangeView(shown[-1].first, item.last, owner)
            else:
                shown.append(RangeView(item.first, item.last, owner))
        return tuple(shown)
