"""gRPC service for entries: views, permits and execution claims."""

import asyncio
from collections.abc import Coroutine, Sequence
from functools import partial

import attrs
import grpclib.server

from cranberrylever.claims import ClaimOutcome
from cranberrylever.control._batches import Batcher
from cranberrylever.control._leader import LeaderLoop
from cranberrylever.errors import NotLeaderError, ProposalLostError
from cranberrylever.ownership import Coordinator
from cranberrylever.state import ClaimCompletion, ClaimOpening, CompleteClaims, OpenClaims
from cranberrylever.wire import (
    ClaimResult,
    CompleteClaim,
    EntryControlBase,
    EntryFrame,
    EntryReply,
    EntryReport,
    NotLeader,
    OpenClaim,
    ViewAnswer,
)


@attrs.define(eq=False)
class EntryStream:
    """Stream of one attached entry.

    ``report`` is the entry's latest report, and ``pushed_version`` the latest view version sent to it. A view
    that is sent without a new report repeats the sequence of the latest one, so it does not extend the
    entry's lease.
    """

    stream: "grpclib.server.Stream[EntryFrame, EntryReply]"
    report: EntryReport | None = None
    pushed_version: int = 0
    send_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)


class EntryService(EntryControlBase):
    """Serves the streams of all entries attached to one control member."""

    def __init__(self, cluster_id: str, leader: LeaderLoop, coordinator: Coordinator) -> None:
        self.cluster_id = cluster_id
        self.leader = leader
        self.coordinator = coordinator
        self.streams: set[EntryStream] = set()
        self.opening_batcher: Batcher[ClaimOpening, ClaimOutcome] = Batcher(self._commit_openings)
        self.completion_batcher: Batcher[ClaimCompletion, ClaimOutcome] = Batcher(self._commit_completions)

    async def attach(self, stream: "grpclib.server.Stream[EntryFrame, EntryReply]") -> None:
        """Serve one entry until its stream closes or a frame names another cluster."""
        entry = EntryStream(stream)
        self.streams.add(entry)
        try:
            async for frame in stream:
                if frame.cluster_id != self.cluster_id:
                    return
                await self._handle_frame(entry, frame)
        finally:
            self.streams.discard(entry)
            for task in entry.tasks:
                task.cancel()

    def push_view(self) -> None:
        """Send the current view to every entry that has reported and has not been sent this version."""
        if not self.leader.is_serving():
            return
        for entry in list(self.streams):
            report = entry.report
            if report is None or entry.pushed_version >= self.coordinator.state.view_version:
                continue
            # The previous answer is still being sent: without this check, each new version would queue one
            # more answer for an entry that does not read.
            if entry.send_lock.locked():
                continue
            self._spawn(entry, self._answer_report(entry, report))

    async def close(self) -> None:
        """Cancel the claim batches."""
        await self.opening_batcher.close()
        await self.completion_batcher.close()

    async def _handle_frame(self, entry: EntryStream, frame: EntryFrame) -> None:
        if frame.hello is not None:
            self.coordinator.record_hello(frame.hello)
        elif not await self.leader.wait_until_serving():
            await self._reject_frame(entry, frame)
        elif frame.report is not None:
            now = asyncio.get_running_loop().time()
            entry.report = frame.report
            self.coordinator.record_report(frame.report, now)
            await self._answer_report(entry, frame.report)
        elif frame.open_claim is not None:
            self._spawn(entry, self._open_claim(entry, frame.open_claim))
        elif frame.complete_claim is not None:
            self._spawn(entry, self._complete_claim(entry, frame.complete_claim))

    def _spawn(self, entry: EntryStream, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        entry.tasks.add(task)
        task.add_done_callback(partial(self._on_task_done, entry))

    def _on_task_done(self, entry: EntryStream, task: "asyncio.Task[None]") -> None:
        entry.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # Not raised: the loop that reads this stream also sees that it has ended.
            self.leader.log.write("debug", "entry_answer_failed", error=repr(task.exception()))

    async def _reject_frame(self, entry: EntryStream, frame: EntryFrame) -> None:
        call = 0
        if frame.open_claim is not None:
            call = frame.open_claim.call
        elif frame.complete_claim is not None:
            call = frame.complete_claim.call
        await self._send_not_leader(entry, call)

    async def _send_not_leader(self, entry: EntryStream, call: int) -> None:
        not_leader = NotLeader(self.leader.driver.leader_id or "", call)
        await self._send(entry, EntryReply(self.cluster_id, not_leader=not_leader))

    async def _answer_report(self, entry: EntryStream, report: EntryReport) -> None:
        answer: ViewAnswer = self.coordinator.view_answer(report, asyncio.get_running_loop().time())
        entry.pushed_version = max(entry.pushed_version, answer.version)
        await self._send(entry, EntryReply(self.cluster_id, view_answer=answer))

    async def _open_claim(self, entry: EntryStream, request: OpenClaim) -> None:
        opening = ClaimOpening(
            claim_id=request.claim_id,
            fingerprint=request.fingerprint,
            entry_id=request.entry_id,
            attempt=request.attempt,
        )
        await self._submit_claim(entry, request.call, self.opening_batcher, opening)

    async def _complete_claim(self, entry: EntryStream, request: CompleteClaim) -> None:
        completion = ClaimCompletion(
            claim_id=request.claim_id,
            entry_id=request.entry_id,
            answer=request.answer,
            attempt=request.attempt,
        )
        await self._submit_claim(entry, request.call, self.completion_batcher, completion)

    async def _submit_claim(self, entry: EntryStream, call: int, batcher: Batcher, item: object) -> None:
        try:
            outcome = await batcher.add(item)
        except (NotLeaderError, ProposalLostError):
            await self._send_not_leader(entry, call)
            return
        result = ClaimResult(call, outcome.state, outcome.answer)
        await self._send(entry, EntryReply(self.cluster_id, claim_result=result))

    async def _commit_openings(self, items: Sequence[ClaimOpening]) -> Sequence[ClaimOutcome]:
        return await self.leader.propose(OpenClaims(tuple(items)))

    async def _commit_completions(self, items: Sequence[ClaimCompletion]) -> Sequence[ClaimOutcome]:
        return await self.leader.propose(CompleteClaims(tuple(items)))

    async def _send(self, entry: EntryStream, reply: EntryReply) -> None:
        async with entry.send_lock:
            await entry.stream.send_message(reply)
