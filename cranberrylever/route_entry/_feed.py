"""Client for the feed, a stream to the control leader: sends reports, receives changes of the view."""

import asyncio
import contextlib
import math
import random
from collections.abc import AsyncIterator, Callable

from grpclib.client import Channel, Stream
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from cranberrylever.background_tasks import BackgroundTasks
from cranberrylever.errors import CodecError
from cranberrylever.logs import Log
from cranberrylever.settings import split_address
from cranberrylever.wire import FeedReply, FeedReport, FeedStub, MsgpackCodec, ReplyAssembler

REPORT_INTERVAL_S = 0.25
"""Time between two reports of an entry in a cluster of few entries."""

TOTAL_REPORTS_PER_S = 160.0
"""Regular reports of all entries per second; more entries report less often, up to the longest interval."""

MAX_REPORT_INTERVAL_S = 0.9
"""Longest report interval, also when the reports of all entries then exceed ``TOTAL_REPORTS_PER_S``."""

MIN_BATCH_DELAY_S = 0.002
"""Delay of an immediate report, so that the requests that need one share it."""

IMMEDIATE_REPORTS_PER_S = 1_000.0
"""Immediate reports of all entries per second at most; more entries delay theirs longer."""

MIN_REPLY_TIMEOUT_S = 0.9
"""Time without a reply after which another member is asked; a network cut causes no error on the stream."""

REPLY_TIMEOUT_FACTOR = 2.0
"""The same as a multiple of the report interval, if that is longer."""

CONNECT_TIMEOUT_S = 0.4
"""Time to connect to a control member and send it the first report."""

MIN_RECONNECT_DELAY_S = 0.05
"""Mean time after the end of a stream until the next member is asked; it doubles with each failure."""

MAX_RECONNECT_DELAY_S = 0.5
"""Longest mean time, so that a new leader has all entries within a few of them."""

RECONNECTS_PER_S = 400.0
"""New streams of all entries per second from which the mean time grows no further."""

LEADER_HINT_DELAY_S = 0.02
"""Time until the leader that a member named is asked, the first time in a row."""

MAX_DOUBLINGS = 8

MAX_REPLY_TIMEOUT_S = 3.0

LEADER_KNOWN_S = 1.5
"""Time after a member has named a leader for which one is taken to exist."""

LEADER_SEARCH_S = 0.6
"""Time after the loss of a stream to the leader for which one is taken to exist; by then members name it."""

_STREAM_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError, CodecError, TimeoutError)


@contextlib.asynccontextmanager
async def open_feed_stream(address: str) -> AsyncIterator[Stream]:
    """Open a stream to a control member on a connection of its own."""
    host, port = split_address(address)
    channel = Channel(host, port, codec=MsgpackCodec())
    try:
        async with FeedStub(channel).attach.open() as stream:
            yield stream
    finally:
        channel.close()


class FeedClient:
    """Keeps one stream to control open, to the leader once it is known.

    Args:
        contacts: RPC addresses of control members to ask first.
        build_report: Builds a report from its sequence number and whether it is the first on its stream.
        on_reply: Called with each reply of the leader, and the loop time as of which the view is complete
            with it: when the report that it answers was sent, minus infinity while something is pending.
        log: Program log.
        open_stream: Opens a stream to the control member at an address.

    Attributes:
        leader_hint: Address of the leader that was named last, until it is asked.
        named_leader: The same, kept until another leader is named.
        is_at_leader: Whether the open stream goes to the named leader.
        leader_lost_at: Loop time at which the last such stream ended.
        sent_at: Loop times of the reports on the open stream that a reply may still name.
    """

    def __init__(
        self,
        contacts: tuple[str, ...],
        build_report: Callable[[int, bool], FeedReport],
        on_reply: Callable[[FeedReply, float], None],
        log: Log,
        open_stream: Callable[[str], contextlib.AbstractAsyncContextManager[Stream]] = open_feed_stream,
    ) -> None:
        self.contacts = contacts
        self.members: tuple[str, ...] = contacts
        self.build_report = build_report
        self.on_reply = on_reply
        self.log = log
        self.open_stream = open_stream
        self.report_interval = REPORT_INTERVAL_S
        self.batch_delay = MIN_BATCH_DELAY_S
        self.max_reconnect_delay = MAX_RECONNECT_DELAY_S
        self.leader_named_at = -math.inf
        self.leader_lost_at = -math.inf
        self.report_requested = asyncio.Event()
        self.sequence = 0
        self.sent_at: dict[int, float] = {}
        self.leader_hint = ""
        self.named_leader = ""
        self.is_at_leader = False
        self.member_index = 0
        self.attached_address = ""
        self.failed_streams = 0
        self.rng = random.Random()
        self.tasks = BackgroundTasks()

    def start(self) -> None:
        """Start the task that keeps the stream open."""
        self.tasks.start(self._run())

    async def close(self) -> None:
        """Close the stream."""
        await self.tasks.close()

    async def _run(self) -> None:
        while True:
            address = self._next_address()
            try:
                await self._attach(address)
            except _STREAM_ERRORS as error:
                self._record_loss(address, repr(error))
            except Exception as error:
                # The view stays in force while another stream is opened.
                self.log.failure("feed_failed", error, address=address)
            await asyncio.sleep(self._reconnect_delay())

    def _reconnect_delay(self) -> float:
        """Return the time until the next member is asked.

        All entries lose their streams at once when the leader is lost or busy. The delay is random and grows,
        so that they do not keep a leader busy that has just begun.
        """
        self.failed_streams += 1
        if self.leader_hint and self.failed_streams == 1:
            return LEADER_HINT_DELAY_S
        doublings = min(self.failed_streams - 1, MAX_DOUBLINGS)
        mean_delay = min(self.max_reconnect_delay, MIN_RECONNECT_DELAY_S * 2**doublings)
        return mean_delay * self.rng.uniform(0.5, 1.5)

    def _next_address(self) -> str:
        """Return the address of the leader if a member named one, else the next member in turn."""
        if self.leader_hint:
            address, self.leader_hint = self.leader_hint, ""
            return address
        addresses = tuple(dict.fromkeys((*self.members, *self.contacts)))
        self.member_index += 1
        return addresses[self.member_index % len(addresses)]

    def _record_loss(self, address: str, reason: str) -> None:
        if self.attached_address == address:
            self.attached_address = ""
            self.log.warning("control_lost", address=address, reason=reason)

    async def _attach(self, address: str) -> None:
        async with self.open_stream(address) as stream:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.send_message(self._next_report(is_first=True))
            self.is_at_leader = address == self.named_leader
            sender = asyncio.get_running_loop().create_task(self._send_reports(stream))
            try:
                await self._receive(stream, address)
            finally:
                if self.is_at_leader:
                    self.leader_lost_at = asyncio.get_running_loop().time()
                self.is_at_leader = False
                sender.cancel()
                # Unlike a suppressed error, gather does not hide the cancellation of this task.
                (error,) = await asyncio.gather(sender, return_exceptions=True)
                if isinstance(error, Exception) and not isinstance(error, _STREAM_ERRORS):
                    raise error

    async def _receive(self, stream: Stream, address: str) -> None:
        assembler = ReplyAssembler()
        while True:
            async with asyncio.timeout(self._reply_timeout()):
                reply = await stream.recv_message()
            if reply is None:
                raise ConnectionError("the control member closed the stream")
            if reply.control:
                self.members = reply.control
            if reply.is_leader or reply.leader:
                self.leader_named_at = asyncio.get_running_loop().time()
                self.named_leader = address if reply.is_leader else reply.leader
            if not reply.is_leader:
                self.leader_hint = reply.leader if reply.leader != address else ""
                raise ConnectionError(f"the member does not lead, it names {reply.leader or 'no leader'}")
            self.is_at_leader = True
            if self.attached_address != address:
                self.attached_address = address
                self.log.info("control_attached", address=address, sequence=reply.sequence)
            self.failed_streams = 0
            complete_reply = assembler.add(reply)
            if complete_reply is not None:
                self.on_reply(complete_reply, self._confirmed_at(reply))
            self._forget_reports_before(reply.sequence)

    def _forget_reports_before(self, sequence: int) -> None:
        """Drop the times of reports that no later reply on this stream names."""
        for answered in [number for number in self.sent_at if number < sequence]:
            del self.sent_at[answered]

    def _confirmed_at(self, reply: FeedReply) -> float:
        """Return the loop time as of which an entry with this reply holds all that is in force."""
        is_complete = not (reply.is_plan_pending or reply.plan_part)
        return self.sent_at.get(reply.sequence, -math.inf) if is_complete else -math.inf

    def _reply_timeout(self) -> float:
        """Return the time to wait for a reply, longer after each failure: a busy leader answers late."""
        timeout = max(MIN_REPLY_TIMEOUT_S, REPLY_TIMEOUT_FACTOR * self.report_interval)
        return min(MAX_REPLY_TIMEOUT_S, timeout * (1.0 + self.failed_streams / 2))

    async def _send_reports(self, stream: Stream) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.report_interval):
                    await self.report_requested.wait()
                await asyncio.sleep(self.batch_delay)
            self.report_requested.clear()
            await stream.send_message(self._next_report())

    def request_report(self) -> None:
        """Send the next report at once."""
        self.report_requested.set()

    def set_entry_count(self, entries: int) -> None:
        """Set the intervals of reports and new streams for a cluster of ``entries`` entries."""
        self.report_interval = min(
            MAX_REPORT_INTERVAL_S, max(REPORT_INTERVAL_S, entries / TOTAL_REPORTS_PER_S)
        )
        self.batch_delay = max(MIN_BATCH_DELAY_S, entries / IMMEDIATE_REPORTS_PER_S)
        self.max_reconnect_delay = min(
            MAX_RECONNECT_DELAY_S, max(MIN_RECONNECT_DELAY_S, entries / RECONNECTS_PER_S)
        )

    def knows_leader(self, now: float) -> bool:
        """Return whether a leader is taken to exist at the loop time ``now``.

        A member has named it shortly before, or a stream to it is open, however late it answers, or has
        just been given up: by then another one may lead and have changed the view.
        """
        return (
            self.is_at_leader
            or now - self.leader_named_at < LEADER_KNOWN_S
            or now - self.leader_lost_at < LEADER_SEARCH_S
        )

    def _next_report(self, is_first: bool = False) -> FeedReport:
        self.sequence += 1
        if is_first:
            self.sent_at.clear()
        self.sent_at[self.sequence] = asyncio.get_running_loop().time()
        return self.build_report(self.sequence, is_first)
