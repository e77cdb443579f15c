"""Server of the feed: streams that send entries the sections of the view that they lack."""

import asyncio
import random

import attrs
import grpclib.server

from cranberrylever.consensus import RaftDriver
from cranberrylever.logs import Log
from cranberrylever.metrics import Metrics
from cranberrylever.route_control._leader import RouteControlLeader
from cranberrylever.route_control._peers import Peer, choose_peers
from cranberrylever.route_control._published_view import PublishedView
from cranberrylever.route_control._report_check import check_report
from cranberrylever.route_control._state import RouteControlState
from cranberrylever.route_control._suspects import SuspectTracker
from cranberrylever.wire import (
    FeedBase,
    FeedReply,
    FeedReport,
    GrantedPermits,
)

MAX_PUSHES_PER_S = 1_000.0
"""Messages to all entries per second with changes that they have not asked for."""


@attrs.define(eq=False)
class _AttachedEntry:
    """Stream of one entry with the versions of the sections that it holds.

    ``group`` are the control members that it was told, and ``reads_sections`` whether it reads compressed
    sections. ``peer`` is where it takes requests of other entries. ``plan_copies`` counts how often the last
    plan was sent to it, ``waiting_bytes`` is the size of the sections that are being written.
    """

    stream: "grpclib.server.Stream[FeedReport, FeedReply]"
    entry_id: str = ""
    sequence: int = 0
    plan_version: int = -1
    fleet_version: int = -1
    ranges_version: int = -1
    group: tuple[str, ...] = ()
    reads_sections: bool = False
    peer: Peer = Peer("", 0.0)
    sent_plan: int = -1
    plan_copies: int = 0
    waiting_bytes: int = 0
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)


class FeedService(FeedBase):
    """Receives the reports of all attached entries and sends them the view while this member leads.

    Args:
        cluster_id: A report that names another cluster closes its stream.
        driver: Consensus driver of this member.
        leader: Leader loop.
        state: The replicated state.
        metrics: Metrics of the process.
        log: Program log.
    """

    def __init__(
        self,
        cluster_id: str,
        driver: RaftDriver,
        leader: RouteControlLeader,
        state: RouteControlState,
        metrics: Metrics,
        log: Log,
    ) -> None:
        self.cluster_id = cluster_id
        self.driver = driver
        self.leader = leader
        self.state = state
        self.metrics = metrics
        self.log = log
        self.attached_entries: set[_AttachedEntry] = set()
        self.suspects = SuspectTracker()
        self.view = PublishedView(leader, state, self.suspects)
        self.next_push_at = 0.0
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
        loop = asyncio.get_running_loop()
        now = loop.time()
        if not self.leader.is_serving():
            return
        if now < self.next_push_at:
            loop.call_at(self.next_push_at, self.leader.wake.set)
            return
        self.next_push_at = now + len(self.attached_entries) / MAX_PUSHES_PER_S
        self.view.refresh(now)
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
            self._record_first_report(entry, report)
        now = asyncio.get_running_loop().time()
        entry.peer = Peer(report.peer_address, now)
        report, dropped = check_report(report)
        if dropped:
            self.log.warning("report_items_dropped", entry=report.entry_id, items=dropped)
        self.leader.record_report(report)
        self.suspects.record(report.crashed, now)
        self.view.refresh(now)
        peers = self._choose_peers(report, now) if report.wants_peers else None
        await self._send(entry, self.leader.permits.grant(report.wishes, now), peers)

    def _record_first_report(self, entry: _AttachedEntry, report: FeedReport) -> None:
        """Record what an entry holds at the start of its stream.

        Later reports may have been written before what is already under way arrived, and the stream delivers
        everything in order.
        """
        self.log.info("entry_attached", entry=report.entry_id, plan=report.plan_version)
        entry.entry_id = report.entry_id
        entry.plan_version = report.plan_version
        entry.fleet_version = report.fleet_version
        entry.ranges_version = report.ranges_version
        entry.reads_sections = report.reads_sections

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
            versions = entry.plan_version, entry.fleet_version, entry.ranges_version
            sections = self.view.sections_since(*versions)
            group = self.driver.group()
            reply = FeedReply(
                self.cluster_id,
                entry.sequence,
                True,
                self.driver.config.member_id,
                group if group != entry.group else (),
                permits=permits,
                peers=peers,
            )
            if entry.reads_sections:
                reply = attrs.evolve(reply, sections=self.view.compressed_since(*versions))
            else:
                reply = attrs.evolve(reply, **attrs.asdict(sections, recurse=False))
            entry.group = group
            await self._write(entry, reply, sections.plan_version)
            entry.plan_version = max(entry.plan_version, sections.plan_version)
            entry.fleet_version = sections.fleet_version
            entry.ranges_version = sections.ranges_version

    async def _write(self, entry: _AttachedEntry, reply: FeedReply, plan_version: int) -> None:
        """Write a reply; a plan in it is logged with its size, its number of copies and how long it took."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        entry.waiting_bytes = len(reply.sections)
        try:
            await entry.stream.send_message(reply)
        finally:
            entry.waiting_bytes = 0
        self.metrics.count("view_bytes_sent", len(reply.sections))
        if plan_version < 0:
            return
        entry.plan_copies = entry.plan_copies + 1 if plan_version == entry.sent_plan else 1
        entry.sent_plan = plan_version
        self.metrics.count("plans_sent")
        self.log.info(
            "plan_sent",
            entry=entry.entry_id,
            plan=plan_version,
            bytes=len(reply.sections),
            copy=entry.plan_copies,
            ms=round((loop.time() - started_at) * 1000, 1),
        )

    def waiting_bytes(self) -> int:
        """Return the size in bytes of the sections that entries have not taken yet."""
        return sum(entry.waiting_bytes for entry in self.attached_entries)

    def _is_behind(self, entry: _AttachedEntry) -> bool:
        return self.view.is_behind(entry.plan_version, entry.fleet_version, entry.ranges_version)
