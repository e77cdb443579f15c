"""Stream service for entries: the sections of the view that they do not hold yet."""

import asyncio

import attrs
import grpclib.server

from cranberrylever.consensus import RaftDriver
from cranberrylever.logs import Log
from cranberrylever.steering._leader import SteeringLeader
from cranberrylever.steering._state import SteeringState
from cranberrylever.steering._suspects import SuspectBook
from cranberrylever.wire import (
    FeedBase,
    FeedReply,
    FeedReport,
    FleetView,
    RangesView,
    RangeView,
    RoutedTarget,
    ServiceRanges,
)

SPEED_STEP = 0.1
"""Smallest change of a target's speed that is worth sending."""

_TERM_FACTOR = 1 << 24
"""Views of one term are numbered below this, so that a later term's view always counts as newer."""


@attrs.frozen
class _Section:
    """Content of one section of the view and its version, which never falls."""

    version: int = -1
    content: object = None


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
        self, cluster_id: str, driver: RaftDriver, leader: SteeringLeader, state: SteeringState, log: Log
    ) -> None:
        self.cluster_id = cluster_id
        self.driver = driver
        self.leader = leader
        self.state = state
        self.log = log
        self.streams: set[_Stream] = set()
        self.suspects = SuspectBook()
        self.fleet = _Section()
        self.ranges = _Section()
        self.term = 0

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
        self._refresh()
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
        self.leader.record_report(report)
        self.suspects.record(report.crashed, asyncio.get_running_loop().time())
        self._refresh()
        await self._send(entry)

    async def _send_quietly(self, entry: _Stream) -> None:
        try:
            await self._send(entry)
        except Exception as error:
            # The loop that reads this stream sees its end too.
            self.log.write("debug", "push_failed", entry=entry.entry_id, error=repr(error))

    async def _send(self, entry: _Stream) -> None:
        """Send the sections that an entry lacks; they count as held once they are written."""
        async with entry.lock:
            plan_version = self.state.plan_version
            plan = self.state.plans.current
            needs_plan = plan is not None and entry.plan_version < plan_version
            fleet = self.fleet if entry.fleet_version < self.fleet.version else _Section()
            ranges = self.ranges if entry.ranges_version < self.ranges.version else _Section()
            reply = FeedReply(
                self.cluster_id,
                entry.sequence,
                True,
                self.driver.config.member_id,
                self.driver.group(),
                plan_version if needs_plan else -1,
                attrs.evolve(plan, source=b"") if needs_plan else None,
                fleet.version,
                fleet.content,
                ranges.version,
                ranges.content,
            )
            await entry.stream.send_message(reply)
            if needs_plan:
                entry.plan_version = plan_version
            entry.fleet_version = max(entry.fleet_version, fleet.version)
            entry.ranges_version = max(entry.ranges_version, ranges.version)

    def _is_behind(self, entry: _Stream) -> bool:
        return (
            entry.plan_version < self.state.plan_version
            or entry.fleet_version < self.fleet.version
            or entry.ranges_version < self.ranges.version
        )

    def _refresh(self) -> None:
        """Build the sections anew and number them when they differ."""
        term = self.leader.term
        now = asyncio.get_running_loop().time()
        fleet = self._fleet_view(now)
        if self.term != term or _comparable(fleet) != _comparable(self.fleet.content):
            self.fleet = _Section(_next_version(self.fleet.version, term), fleet)
        ranges = self._ranges_view()
        if self.term != term or ranges != self.ranges.content:
            self.ranges = _Section(_next_version(self.ranges.version, term), ranges)
        self.term = term

    def _fleet_view(self, now: float) -> FleetView:
        leader = self.leader
        targets = tuple(
            RoutedTarget(
                target.target_id,
                target.started_ms,
                target.service,
                target.address,
                target.failure_domain,
                target.slots,
                self.state.may_receive_work(target) and not leader.is_silent(target, now),
                leader.contacts.cold_for(target, now),
                round(leader.paces.speed(target.life) / SPEED_STEP) * SPEED_STEP,
            )
            for target in self.state.fleet.targets.values()
        )
        return FleetView(targets, max(1, len(self.state.entries)), self.suspects.blocked(now))

    def _ranges_view(self) -> RangesView:
        return RangesView(
            tuple(
                ServiceRanges(
                    name,
                    tuple(RangeView(item.first, self.leader.owner_shown(item)) for item in table.ranges),
                )
                for name, table in self.state.tables.items()
            )
        )


def _next_version(version: int, term: int) -> int:
    return max(version + 1, term * _TERM_FACTOR)


def _comparable(fleet: FleetView | None) -> object:
    """Return what must differ for a fleet to be sent again; the time left cold runs by itself."""
    if fleet is None:
        return None
    targets = tuple(attrs.evolve(target, cold_for=float(target.cold_for > 0)) for target in fleet.targets)
    return attrs.evolve(fleet, targets=targets)
