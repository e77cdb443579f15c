"""The stream of one entry at the leader: what the entry holds, and the ordered sending of replies."""

import asyncio

import attrs
import grpclib.server

from cranberrylever.background_tasks import BackgroundTasks
from cranberrylever.route_control._peers import Peer
from cranberrylever.wire import FeedReply, FeedReport, split_parts


@attrs.define(eq=False)
class AttachedEntry:
    """Stream of one entry with the versions of the sections that it holds once all that is sent arrives.

    ``group`` are the control members that it was told. ``reads_sections`` and ``reads_parts`` are the forms
    of a view that it reads. ``peer`` is where it takes requests of other entries. ``waiting_bytes`` is the
    size of the sections that are being written. ``lock`` orders the replies.
    """

    stream: "grpclib.server.Stream[FeedReport, FeedReply]"
    entry_id: str = ""
    sequence: int = 0
    plan_version: int = -1
    fleet_version: int = -1
    ranges_version: int = -1
    group: tuple[str, ...] = ()
    reads_sections: bool = False
    reads_parts: bool = False
    is_plan_under_way: bool = False
    peer: Peer = Peer("", 0.0)
    waiting_bytes: int = 0
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    tasks: BackgroundTasks = attrs.field(factory=BackgroundTasks)

    def record_first_report(self, report: FeedReport) -> None:
        """Record what the entry holds at the start of its stream.

        Later reports may have been written before what is already under way arrived, and the stream delivers
        everything in order.
        """
        self.entry_id = report.entry_id
        self.plan_version = report.plan_version
        self.fleet_version = report.fleet_version
        self.ranges_version = report.ranges_version
        self.reads_sections = report.reads_sections
        self.reads_parts = report.reads_parts

    async def write(self, reply: FeedReply) -> None:
        """Write a reply, its sections in parts if the entry joins them; the caller holds ``lock``."""
        parts = split_parts(reply.sections) if self.reads_parts else [(reply.sections, 0)]
        # Permits and other fields are valid once all sections are known, so the last part has them.
        header = FeedReply(reply.cluster_id, reply.sequence, True, reply.leader)
        self.waiting_bytes += len(reply.sections)
        try:
            for part, left in parts:
                message = reply if left == 0 else header
                await self.stream.send_message(attrs.evolve(message, sections=part, sections_left=left))
        finally:
            self.waiting_bytes -= len(reply.sections)

    async def write_plan(self, header: FeedReply, data: bytes) -> None:
        """Write a compressed plan section in parts; other replies may be written between two of them."""
        self.waiting_bytes += len(data)
        try:
            for part, left in split_parts(data):
                async with self.lock:
                    await self.stream.send_message(
                        attrs.evolve(header, sequence=self.sequence, plan_part=part, plan_left=left)
                    )
        finally:
            self.waiting_bytes -= len(data)
