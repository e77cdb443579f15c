"""Stream to the control leader: reports go up, changed sections of the view come down."""

import asyncio
import contextlib
from collections.abc import Callable

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from cranberrylever.errors import CodecError
from cranberrylever.logs import Log
from cranberrylever.settings import split_address
from cranberrylever.wire import FeedReply, FeedReport, FeedStub, MsgpackCodec

REPORT_INTERVAL_S = 0.25
REPORTS_PER_S = 160.0
"""Reports that all entries send together; many entries report less often, up to the longest interval."""

MAX_REPORT_INTERVAL_S = 0.45
GATHER_TIME_S = 0.002
"""Time in which requests that need a report at once are gathered into one."""

SILENCE_LIMIT_S = 0.9
"""Seconds without a reply after which another member is asked; a cut stream gives no other sign."""

CONNECT_TIMEOUT_S = 0.4
RETRY_DELAY_S = 0.05
HINT_DELAY_S = 0.02

_STREAM_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError, CodecError, TimeoutError)


class FeedClient:
    """Keeps one stream open, to the leader as soon as it is known.

    Args:
        contacts: Rpc addresses of control members to begin with.
        build_report: Returns the next report by its sequence number; the flag marks the first on a stream.
        on_reply: Takes each reply of the leader.
        log: Program log.
    """

    def __init__(
        self,
        contacts: tuple[str, ...],
        build_report: Callable[[int, bool], FeedReport],
        on_reply: Callable[[FeedReply], None],
        log: Log,
    ) -> None:
        self.contacts = contacts
        self.members: tuple[str, ...] = contacts
        self.build_report = build_report
        self.on_reply = on_reply
        self.log = log
        self.report_interval = REPORT_INTERVAL_S
        self.is_urgent = asyncio.Event()
        self.sequence = 0
        self.hint = ""
        self.position = 0
        self.attached_to = ""
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to connect."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Close the stream."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            address = self._next_address()
            try:
                await self._attach(address)
            except _STREAM_ERRORS as error:
                self._note_loss(address, repr(error))
            except Exception as error:
                # The view stays in force; another stream is tried.
                self.log.failure("feed_failed", error, address=address)
            # Two members that each name the other must not be asked in a tight loop.
            await asyncio.sleep(HINT_DELAY_S if self.hint else RETRY_DELAY_S)

    def _next_address(self) -> str:
        """Return the leader if one was named, else the next member in turn."""
        if self.hint:
            address, self.hint = self.hint, ""
            return address
        known = tuple(dict.fromkeys((*self.members, *self.contacts)))
        self.position += 1
        return known[self.position % len(known)]

    def _note_loss(self, address: str, reason: str) -> None:
        if self.attached_to == address:
            self.attached_to = ""
            self.log.warning("control_lost", address=address, reason=reason)

    async def _attach(self, address: str) -> None:
        host, port = split_address(address)
        channel = Channel(host, port, codec=MsgpackCodec())
        try:
            async with FeedStub(channel).attach.open() as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await stream.send_message(self._report(is_first=True))
                sender = asyncio.get_running_loop().create_task(self._send_reports(stream))
                try:
                    await self._receive(stream, address)
                finally:
                    sender.cancel()
                    with contextlib.suppress(asyncio.CancelledError, *_STREAM_ERRORS):
                        await sender
        finally:
            channel.close()

    async def _receive(self, stream, address: str) -> None:  # noqa: ANN001 - grpclib's generic stream type
        while True:
            async with asyncio.timeout(SILENCE_LIMIT_S):
                reply = await stream.recv_message()
            if reply is None:
                raise ConnectionError("the member closed the stream")
            if reply.control:
                self.members = reply.control
            if not reply.is_leader:
                self.hint = reply.leader if reply.leader != address else ""
                return
            if self.attached_to != address:
                self.attached_to = address
                self.log.info("control_attached", address=address, sequence=reply.sequence)
            self.on_reply(reply)

    async def _send_reports(self, stream) -> None:  # noqa: ANN001
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.report_interval):
                    await self.is_urgent.wait()
                await asyncio.sleep(GATHER_TIME_S)
            self.is_urgent.clear()
            await stream.send_message(self._report())

    def report_soon(self) -> None:
        """Send the next report at once."""
        self.is_urgent.set()

    def set_entries(self, entries: int) -> None:
        """Choose how often to report when ``entries`` of them do."""
        self.report_interval = min(MAX_REPORT_INTERVAL_S, max(REPORT_INTERVAL_S, entries / REPORTS_PER_S))

    def _report(self, is_first: bool = False) -> FeedReport:
        self.sequence += 1
        return self.build_report(self.sequence, is_first)
