"""Server of the feed: streams that send entries the sections of the view that they lack."""

import asyncio
import random

import attrs
import grpclib.server

from cranberrylever.consensus import RaftDriver
from cranberrylever.logs import Log
from cranberrylever.metrics import Metrics
from cranberrylever.route_control._attached_entry import AttachedEntry
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
    QuotaGrant,
    fill_sections,
)

MAX_PUSHES_PER_S = 1_000.0
"""Messages to all entries per second with changes that they have not asked for."""


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
        self.attached_entries: set[AttachedEntry] = set()
        self.suspects = SuspectTracker()
        self.view = PublishedView(leader, state, self.suspects)
        self.next_push_at = 0.0
        self.rng = random.Random()

    async def attach(self, stream: "grpclib.server.Stream[FeedReport, FeedReply]") -> None:
        """Serve one entry until its stream closes or names another cluster."""
        entry = AttachedEntry(stream)
        self.attached_entries.add(entry)
        try:
            async for report in stream:
                if report.cluster_id != self.cluster_id:
                    return
                await self._handle_report(entry, report)
        finally:
            self.attached_entries.discard(entry)
            entry.tasks.cancel()
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
                entry.tasks.start(self._push_to(entry))
            self._start_plan(entry)

    def _start_plan(self, entry: AttachedEntry) -> None:
        """Begin to send the plan to an entry that joins parts, unless it holds it or it is under way."""
        if entry.entry_id and self._needs_plan(entry) and not entry.is_plan_under_way:
            entry.is_plan_under_way = True
            entry.tasks.start(self._push_plan_to(entry))

    async def _handle_report(self, entry: AttachedEntry, report: FeedReport) -> None:
        if not await self.leader.wait_until_serving():
            entry.entry_id = ""
            reply = FeedReply(
                self.cluster_id, report.sequence, False, self.driver.leader_id or "", self.driver.group()
            )
            async with entry.lock:
                await entry.stream.send_message(reply)
            return
        # Replies name the last report that came before a moment at which this member held its lease.
        entry.sequence = report.sequence
        if not entry.entry_id:
            self.log.info("entry_attached", entry=report.entry_id, plan=report.plan_version)
            entry.record_first_report(report)
        now = asyncio.get_running_loop().time()
        entry.peer = Peer(report.peer_address, now)
        report, dropped = check_report(report)
        if dropped:
            self.log.warning("report_items_dropped", entry=report.entry_id, items=dropped)
        self.leader.record_report(report)
        self.suspects.record(report.crashed, now)
        self.view.refresh(now)
        peers = self._choose_peers(report, now) if report.wants_peers else None
        self._start_plan(entry)
        permits = self.leader.permits.grant(report.wishes, now)
        await self._send(entry, permits, peers, self.leader.grant_quota(report, now))

    def _choose_peers(self, report: FeedReport, now: float) -> tuple[str, ...]:
        attached = (entry for entry in self.attached_entries if entry.entry_id != report.entry_id)
        return choose_peers((entry.peer for entry in attached), now, self.rng)

    async def _push_to(self, entry: AttachedEntry) -> None:
        try:
            await self._send(entry)
        except Exception as error:
            # The loop that reads this stream also ends, and detaches the entry.
            self.log.write("debug", "push_failed", entry=entry.entry_id, error=repr(error))

    async def _push_plan_to(self, entry: AttachedEntry) -> None:
        """Send the plan in force to an entry that lacks it, and then that nothing is pending."""
        try:
            while self._needs_plan(entry):
                await self._send_plan(entry)
        except Exception as error:
            self.log.write("debug", "push_failed", entry=entry.entry_id, error=repr(error))
            return
        finally:
            entry.is_plan_under_way = False
        await self._push_to(entry)

    async def _send_plan(self, entry: AttachedEntry) -> None:
        started_at = asyncio.get_running_loop().time()
        version = self.state.plan_version
        data = self.view.compressed_plan(entry.plan_version)
        await entry.write_plan(self._reply(entry), data)
        entry.plan_version = version
        self._record_sent_plan(entry, version, len(data), started_at)

    async def _send(
        self,
        entry: AttachedEntry,
        permits: tuple[GrantedPermits, ...] = (),
        peers: tuple[str, ...] | None = None,
        quota: tuple[QuotaGrant, ...] = (),
    ) -> None:
        """Send the sections that an entry lacks; it counts as holding them once they are written."""
        async with entry.lock:
            started_at = asyncio.get_running_loop().time()
            versions = self._held_versions(entry)
            sections = self.view.sections_since(*versions)
            group = self.driver.group()
            reply = attrs.evolve(
                self._reply(entry),
                control=group if group != entry.group else (),
                permits=permits,
                peers=peers,
                quota=quota,
                is_plan_pending=self._needs_plan(entry),
            )
            if entry.reads_sections:
                reply = attrs.evolve(reply, sections=self.view.compressed_since(*versions))
            else:
                reply = fill_sections(reply, sections)
            entry.group = group
            await entry.write(reply)
            self.metrics.count("view_bytes_sent", len(reply.sections))
            entry.fleet_version = sections.fleet_version
            entry.ranges_version = sections.ranges_version
            if sections.plan is not None:
                entry.plan_version = sections.plan_version
                self._record_sent_plan(entry, sections.plan_version, len(reply.sections), started_at)

    def _reply(self, entry: AttachedEntry) -> FeedReply:
        """Return an empty reply to the last report of an entry."""
        return FeedReply(self.cluster_id, entry.sequence, True, self.driver.config.member_id)

    def _record_sent_plan(self, entry: AttachedEntry, version: int, size: int, started_at: float) -> None:
        """Count and log a plan that was written to an entry, with its size in bytes and how long it took."""
        self.metrics.count("plans_sent")
        self.metrics.count("plan_bytes_sent", size)
        elapsed = asyncio.get_running_loop().time() - started_at
        self.log.info(
            "plan_sent", entry=entry.entry_id, plan=version, bytes=size, ms=round(elapsed * 1000, 1)
        )

    def waiting_bytes(self) -> int:
        """Return the size in bytes of the sections that entries have not taken yet."""
        return sum(entry.waiting_bytes for entry in self.attached_entries)

    def _needs_plan(self, entry: AttachedEntry) -> bool:
        """Return whether an entry that joins parts lacks the plan in force, which it gets apart."""
        is_behind = self.state.plans.current is not None and entry.plan_version < self.state.plan_version
        return entry.reads_parts and is_behind

    def _held_versions(self, entry: AttachedEntry) -> tuple[int, int, int]:
        """Return what an entry holds of the sections that come together: not the plan if it comes apart."""
        plan_version = self.state.plan_version if entry.reads_parts else entry.plan_version
        return plan_version, entry.fleet_version, entry.ranges_version

    def _is_behind(self, entry: AttachedEntry) -> bool:
        return self.view.is_behind(*self._held_versions(entry))
