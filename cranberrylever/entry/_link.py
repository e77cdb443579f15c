"""Streams to the control members, for view polls and claim messages."""

import asyncio
import contextlib
from collections.abc import Callable

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from cranberrylever.background_tasks import BackgroundTasks
from cranberrylever.entry._tuning import EntryTuning
from cranberrylever.errors import CodecError
from cranberrylever.logs import Log
from cranberrylever.settings import split_address
from cranberrylever.wire import (
    ClaimResult,
    EntryControlStub,
    EntryFrame,
    EntryHello,
    EntryReply,
    EntryReport,
    MsgpackCodec,
    ViewAnswer,
)

_STREAM_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError, CodecError, asyncio.TimeoutError)
_MAX_QUEUED_FRAMES = 10_000
"""Frames that wait to be sent on one stream; further frames are not accepted."""

_MAX_TRACKED_POLLS = 64
"""Latest polls whose send time is kept; answers to earlier polls are ignored."""


class MemberStream:
    """Stream to one control member; reconnects after each failure."""

    def __init__(self, address: str, link: "ControlLink") -> None:
        self.address = address
        self.link = link
        self.connected = False
        self.channel: Channel | None = None
        self.unanswered_since: float | None = None
        self.outgoing_frames: asyncio.Queue[EntryFrame] = asyncio.Queue(_MAX_QUEUED_FRAMES)

    def poll(self, frame: EntryFrame, now: float) -> None:
        """Send a report and close the stream when the member has not replied within ``stream_timeout``.

        After a partition a connection can stay silent for minutes, because TCP retransmits at growing
        intervals. ``run`` reconnects a closed stream.
        """
        if not self.send(frame):
            return
        if self.unanswered_since is None:
            self.unanswered_since = now
        elif now - self.unanswered_since > self.link.tuning.stream_timeout:
            self.channel.close()

    def send(self, frame: EntryFrame) -> bool:
        """Queue a frame; return ``False`` when the stream is down or its queue is full."""
        if not self.connected:
            return False
        try:
            self.outgoing_frames.put_nowait(frame)
        except asyncio.QueueFull:
            return False
        return True

    async def run(self) -> None:
        """Keep the stream open until cancelled."""
        while True:
            try:
                await self._attach()
            except _STREAM_ERRORS as error:
                self.link.log.write("debug", "control_stream_lost", address=self.address, error=repr(error))
            except Exception as error:
                # Safe to continue: without a stream the view expires and the entry refuses requests.
                self.link.log.failure("control_stream_failed", error, address=self.address)
            await asyncio.sleep(self.link.tuning.reconnect_delay)

    async def _attach(self) -> None:
        host, port = split_address(self.address)
        channel = self.channel = Channel(host, port, codec=MsgpackCodec())
        try:
            async with EntryControlStub(channel).attach.open() as stream:
                async with asyncio.timeout(self.link.tuning.connect_timeout):
                    await stream.send_message(self.link.frame(hello=self.link.hello))
                await self._exchange(stream)
        finally:
            self.connected = False
            channel.close()

    async def _exchange(self, stream) -> None:  # noqa: ANN001 - grpclib's generic stream type
        self.outgoing_frames = asyncio.Queue(_MAX_QUEUED_FRAMES)
        self.connected = True
        self.unanswered_since = None
        self.link.member_connected(self)
        sender = asyncio.create_task(self._send_frames(stream))
        try:
            while (reply := await stream.recv_message()) is not None:
                self.unanswered_since = None
                self.link.receive(self, reply)
        finally:
            sender.cancel()
            # Unlike a suppressed error, gather does not hide the cancellation of this task.
            (error,) = await asyncio.gather(sender, return_exceptions=True)
            if isinstance(error, Exception) and not isinstance(error, _STREAM_ERRORS):
                raise error

    async def _send_frames(self, stream) -> None:  # noqa: ANN001
        while True:
            await stream.send_message(await self.outgoing_frames.get())


class ControlLink:
    """Connection to control: polls the leader for the view and sends claim messages.

    Args:
        cluster_id: Cluster id in all frames; replies with a different id are ignored.
        addresses: Addresses of all control members.
        hello: First message on each stream.
        tuning: Intervals and timeouts.
        log: Program log.
    """

    def __init__(
        self, cluster_id: str, addresses: tuple[str, ...], hello: EntryHello, tuning: EntryTuning, log: Log
    ) -> None:
        self.cluster_id = cluster_id
        self.hello = hello
        self.tuning = tuning
        self.log = log
        self.members = [MemberStream(address, self) for address in addresses]
        self.leader: MemberStream | None = None
        self.leader_replied_at = 0.0
        self.build_report: Callable[[int], EntryReport] | None = None
        self.on_view_answer: Callable[[ViewAnswer, float], None] | None = None
        self.on_claim_result: Callable[[ClaimResult], None] | None = None
        self.on_leader_change: Callable[[], None] | None = None
        self.is_urgent: Callable[[], bool] = lambda: False
        self.poll_requested = asyncio.Event()
        self.sequence = 0
        self.poll_times: dict[int, float] = {}
        self.tasks = BackgroundTasks()

    def frame(self, **fields: object) -> EntryFrame:
        """Return a frame with the id of this cluster."""
        return EntryFrame(self.cluster_id, **fields)

    def start(self) -> None:
        """Open all streams and start polling."""
        for member in self.members:
            self.tasks.start(member.run())
        self.tasks.start(self._poll())

    async def close(self) -> None:
        """Stop polling and close all streams."""
        await self.tasks.close()

    def send(self, **fields: object) -> bool:
        """Send a frame to the leader, or to all members while the leader is unknown or silent.

        Returns:
            Whether at least one stream accepted the frame.
        """
        frame = self.frame(**fields)
        now = asyncio.get_running_loop().time()
        return sum(member.send(frame) for member in self._destinations(now)) > 0

    def member_connected(self, member: MemberStream) -> None:
        """Poll immediately when the leader is unknown."""
        if self.leader is None:
            self.poll_requested.set()

    def receive(self, member: MemberStream, reply: EntryReply) -> None:
        """Process a reply from a control member."""
        if reply.cluster_id != self.cluster_id:
            self.log.warning("foreign_cluster_reply", address=member.address, cluster_id=reply.cluster_id)
            return
        if reply.view_answer is not None:
            self._receive_view(member, reply.view_answer)
        if reply.claim_result is not None and self.on_claim_result is not None:
            self.on_claim_result(reply.claim_result)
        if reply.not_leader is not None and self.leader is member:
            self.leader = None
            self.poll_requested.set()

    def _receive_view(self, member: MemberStream, answer: ViewAnswer) -> None:
        poll_sent_at = self.poll_times.get(answer.sequence)
        if poll_sent_at is None:
            return
        self.leader_replied_at = asyncio.get_running_loop().time()
        if self.leader is not member:
            self.leader = member
            if self.on_leader_change is not None:
                self.on_leader_change()
        if self.on_view_answer is not None:
            self.on_view_answer(answer, poll_sent_at)

    def _destinations(self, now: float) -> list[MemberStream]:
        leader = self.leader
        silent = now - self.leader_replied_at > self.tuning.leader_timeout
        if leader is None or silent or not leader.connected:
            return self.members
        return [leader]

    async def _poll(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                self.send_poll(loop.time())
            except Exception as error:
                # Safe to continue: without polls the view expires and the entry refuses requests.
                self.log.failure("poll_failed", error)
            interval = self.tuning.urgent_poll_interval if self.is_urgent() else self.tuning.poll_interval
            self.poll_requested.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval):
                    await self.poll_requested.wait()
            # Bounds the poll rate when immediate polls are requested in bursts, e.g. by several NotLeader
            # replies.
            elapsed = loop.time() - self.poll_times.get(self.sequence, 0.0)
            if elapsed < self.tuning.urgent_poll_interval:
                await asyncio.sleep(self.tuning.urgent_poll_interval - elapsed)

    def send_poll(self, now: float) -> None:
        """Send a report to the leader, or to all members while the leader is unknown or silent."""
        if self.build_report is None:
            return
        self.sequence += 1
        self.poll_times[self.sequence] = now
        self.poll_times.pop(self.sequence - _MAX_TRACKED_POLLS, None)
        report = self.build_report(self.sequence)
        frame = self.frame(report=report)
        for member in self._destinations(now):
            member.poll(frame, now)
