"""Runs requests with an idempotency key: claim, dispatch, completion."""

import asyncio

import aiohttp

from cranberrylever.entry import _headers
from cranberrylever.entry._answers import AnswerWriter, RefusalError, is_unknown
from cranberrylever.entry._claims import ClaimClient, ClaimHandle
from cranberrylever.entry._dispatcher import Dispatcher
from cranberrylever.entry._exchange import Exchange
from cranberrylever.entry._tuning import EntryTuning
from cranberrylever.errors import NotRunError, UnknownOutcomeError
from cranberrylever.wire import ClaimAnswer, ClaimResult

_UNKNOWN_ANSWER = ClaimAnswer(_headers.UNKNOWN)


class ClaimedRunner:
    """Runs a request only after its claim is committed, and answers only after its outcome is stored.

    Args:
        claims: Claims at control.
        dispatcher: Runs the request.
        tuning: Sizes and intervals.
    """

    def __init__(self, claims: ClaimClient, dispatcher: Dispatcher, tuning: EntryTuning) -> None:
        self.claims = claims
        self.dispatcher = dispatcher
        self.tuning = tuning

    async def run(self, exchange: Exchange, key: str, writer: AnswerWriter) -> None:
        """Serve one request.

        Raises:
            RefusalError: The key belongs to another request, or control has no room for the claim.
        """
        attempt = f"{exchange.request_id}/{id(exchange):x}/{asyncio.get_running_loop().time():.6f}"
        claim = ClaimHandle(f"{exchange.service.name}:{key}", exchange.fingerprint, attempt)
        result = await self._win(exchange, claim)
        if result.state == "won":
            await self._execute(exchange, claim, writer)
            return
        exchange.held_elsewhere = True
        answer = result.answer
        if answer is None or answer.outcome != _headers.DONE:
            error = UnknownOutcomeError(
                "a request with this key may have run; its answer is not kept", "check its effect"
            )
            await writer.refuse(502, _headers.UNKNOWN, error)
            return
        await writer.replay(answer)

    async def _win(self, exchange: Exchange, claim: ClaimHandle) -> ClaimResult:
        """Return the result of the claim; while another request holds it, wait for its stored answer."""
        while True:
            result = await self.claims.open(claim)
            if result.state == "mismatch":
                raise RefusalError(422, "the idempotency key was used for another request", "use a new key")
            if result.state == "full":
                raise RefusalError(503, "control has no room for more claims", "retry later")
            if result.state != "open":
                return result
            exchange.held_elsewhere = True
            await asyncio.sleep(self.tuning.claim_poll_interval)

    async def _execute(self, exchange: Exchange, claim: ClaimHandle, writer: AnswerWriter) -> None:
        exchange.held_elsewhere = False
        try:
            answer = await self._dispatch(exchange, claim, writer)
        except asyncio.CancelledError:
            self.claims.complete(claim, ClaimAnswer(exchange.outcome))
            raise
        except (NotRunError, UnknownOutcomeError):
            await self.claims.complete_and_wait(claim, ClaimAnswer(exchange.outcome))
            raise
        if answer is not None:
            await self.claims.complete_and_wait(claim, answer)
            if answer.outcome == _headers.DONE:
                await writer.replay(answer)
            else:
                await writer.refuse(502, _headers.UNKNOWN, _unknown_error())

    async def _dispatch(
        self, exchange: Exchange, claim: ClaimHandle, writer: AnswerWriter
    ) -> ClaimAnswer | None:
        """Return the answer to store, or ``None`` when it was too large and has been passed on."""
        attempt, response = await self.dispatcher.run(exchange)
        try:
            body = await self._read(response)
            if len(body) > self.tuning.max_stored_answer_bytes:
                self.claims.complete(claim, _UNKNOWN_ANSWER)
                await writer.stream(exchange, response, body)
                return None
        except aiohttp.ClientError as error:
            await self.dispatcher.examine_truncated(attempt)
            raise _unknown_error() from error
        finally:
            response.close()
            self.dispatcher.finish(attempt)
        if is_unknown(response):
            return _UNKNOWN_ANSWER
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in _headers.answer_headers(response.raw_headers)
        )
        return ClaimAnswer(_headers.DONE, response.status, headers, body)

    async def _read(self, response: aiohttp.ClientResponse) -> bytes:
        """Return the body, or its beginning when it is larger than what is stored."""
        chunks = []
        size = 0
        while not response.content.at_eof() and size <= self.tuning.max_stored_answer_bytes:
            chunk = await response.content.readany()
            chunks.append(chunk)
            size += len(chunk)
        return b"".join(chunks)


def _unknown_error() -> UnknownOutcomeError:
    return UnknownOutcomeError("the target's answer was lost", "resend with the same idempotency key")
