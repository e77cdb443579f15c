"""Client for claims, which control commits."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs

from cranberrylever.caller_http import wait_with_timeout
from cranberrylever.entry import _headers
from cranberrylever.entry._tuning import EntryTuning
from cranberrylever.wire import ClaimAnswer, ClaimResult, CompleteClaim, OpenClaim

_NOT_RUN_ANSWER = ClaimAnswer(_headers.NOT_RUN)


@attrs.frozen
class ClaimHandle:
    """A claim of one request with an idempotency key; ``attempt`` is its execution token."""

    claim_id: str
    fingerprint: str
    attempt: str


@attrs.define(eq=False)
class _PendingCall:
    """A claim message that awaits its reply; ``fields`` are the fields of its frame."""

    future: asyncio.Future[ClaimResult]
    fields: dict[str, Any]


class ClaimClient:
    """Opens and completes claims; each message is resent until control replies.

    Args:
        entry_id: Id of this entry.
        tuning: Intervals.
        send: Sends a frame with the given fields to the control leader; returns whether it was accepted.
    """

    def __init__(self, entry_id: str, tuning: EntryTuning, send: Callable[..., bool]) -> None:
        self.entry_id = entry_id
        self.tuning = tuning
        self.send = send
        self.next_call = 0
        self.pending: dict[int, _PendingCall] = {}
        self.completions: set[asyncio.Task[None]] = set()

    async def open(self, claim: ClaimHandle) -> ClaimResult:
        """Open a claim and return the result from control.

        When the task is cancelled before the result, the opening may still be committed. The claim is then
        completed as not run in the background, so that a resend can open it again.
        """
        try:
            return await self._call(
                lambda call: {
                    "open_claim": OpenClaim(
                        call, claim.claim_id, claim.fingerprint, self.entry_id, claim.attempt
                    )
                }
            )
        except asyncio.CancelledError:
            self.complete(claim, _NOT_RUN_ANSWER)
            raise

    def complete(self, claim: ClaimHandle, answer: ClaimAnswer) -> asyncio.Task[None]:
        """Store the outcome of a claim in the background; the task ends when control has committed it."""
        task = asyncio.get_running_loop().create_task(self._complete(claim, answer))
        self.completions.add(task)
        task.add_done_callback(self.completions.discard)
        return task

    async def complete_and_wait(self, claim: ClaimHandle, answer: ClaimAnswer) -> bool:
        """Store the outcome of a claim and wait up to ``claim_commit_wait`` for its commit.

        Returns:
            Whether the outcome is committed; if not, the completion continues in the background.
        """
        return await wait_with_timeout(self.complete(claim, answer), self.tuning.claim_commit_wait)

    def receive(self, result: ClaimResult) -> None:
        """Process a claim result from control; results of unknown calls are ignored."""
        call = self.pending.get(result.call)
        if call is not None and not call.future.done():
            call.future.set_result(result)

    def resend(self) -> None:
        """Resend all messages that await a reply, after a change of leader."""
        for call in self.pending.values():
            self.send(**call.fields)

    async def close(self, timeout: float) -> None:
        """Wait up to ``timeout`` seconds until all outcomes are committed, then cancel the rest."""
        if self.completions:
            await asyncio.wait(self.completions, timeout=timeout)
        for task in list(self.completions):
            task.cancel()

    async def _complete(self, claim: ClaimHandle, answer: ClaimAnswer) -> None:
        await self._call(
            lambda call: {
                "complete_claim": CompleteClaim(call, claim.claim_id, self.entry_id, answer, claim.attempt)
            }
        )

    async def _call(self, fields: Callable[[int], dict[str, Any]]) -> ClaimResult:
        self.next_call += 1
        number = self.next_call
        call = _PendingCall(asyncio.get_running_loop().create_future(), fields(number))
        self.pending[number] = call
        try:
            while True:
                self.send(**call.fields)
                if await wait_with_timeout(call.future, self.tuning.claim_resend_interval):
                    return call.future.result()
        finally:
            del self.pending[number]
