"""Requests with an idempotency key: claim, dispatch and completion."""

import asyncio

import aiohttp

from cranberrylever.entry import _headers
from cranberrylever.entry._claims import ClaimClient, ClaimHandle
from cranberrylever.entry._dispatcher import Dispatcher
from cranberrylever.entry._exchange import Exchange
from cranberrylever.entry._responses import RefusalError, ResponseWriter, has_unknown_outcome
from cranberrylever.entry._tuning import EntryTuning
from cranberrylever.errors import NotRunError, UnknownOutcomeError
from cranberrylever.wire import ClaimAnswer, ClaimResult

_UNKNOWN_ANSWER = ClaimAnswer(_headers.UNKNOWN)


class ClaimedRunner:
    """Runs requests under a claim.

    A request is sent only after its claim is committed. The caller gets the response after the outcome is
    committed or after ``claim_commit_wait``; a response too large to store is streamed without that wait.

    Args:
        claims: Client for the claims at control.
        dispatcher: Sends the request to a target.
        tuning: Size limits and intervals.
    """

    def __init__(self, claims: ClaimClient, dispatcher: Dispatcher, tuning: EntryTuning) -> None:
        self.claims = claims
        self.dispatcher = dispatcher
        self.tuning = tuning

    async def run(self, exchange: Exchange, key: str, writer: ResponseWriter) -> None:
        """Serve one request.

        Raises:
            RefusalError: The key was used for another request, or the claim table of control is full.
        """
        attempt = f"{exchange.request_id}/{id(exchange):x}/{asyncio.get_running_loop().time():.6f}"
        claim = ClaimHandle(f"{exchange.service.name}:{key}", exchange.fingerprint, attempt)
        result = await self._acquire_claim(exchange, claim)
        if result.state == "won":
            await self._execute(exchange, claim, writer)
            return
        exchange.claimed_elsewhere = True
        answer = result.answer
        if answer is None or answer.outcome != _headers.DONE:
            error = UnknownOutcomeError(
                "a request with this key may have run; its response is not stored", "check its effect"
            )
            await writer.send_error(502, _headers.UNKNOWN, error)
            return
        await writer.send_stored(answer)

    async def _acquire_claim(self, exchange: Exchange, claim: ClaimHandle) -> ClaimResult:
        """Open the claim and return the result; polls while another request holds the claim."""
        while True:
            result = await self.claims.open(claim)
            if result.state == "mismatch":
                raise RefusalError(
                    422, "the idempotency key was already used for a different request", "use a new key"
                )
            if result.state == "full":
                raise RefusalError(503, "the claim table of control is full", "retry later")
            if result.state != "open":
                return result
            exchange.claimed_elsewhere = True
            await asyncio.sleep(self.tuning.claim_poll_interval)

    async def _execute(self, exchange: Exchange, claim: ClaimHandle, writer: ResponseWriter) -> None:
        exchange.claimed_elsewhere = False
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
                await writer.send_stored(answer)
            else:
                await writer.send_error(502, _headers.UNKNOWN, _unknown_error())

    async def _dispatch(
        self, exchange: Exchange, claim: ClaimHandle, writer: ResponseWriter
    ) -> ClaimAnswer | None:
        """Return the response to store, or ``None`` when it was too large and was streamed to the caller."""
        attempt, response = await self.dispatcher.run(exchange)
        try:
            body = await self._read_body(response)
            if len(body) > self.tuning.max_stored_answer_bytes:
                self.claims.complete(claim, _UNKNOWN_ANSWER)
                await writer.stream(exchange, response, body)
                return None
        except aiohttp.ClientError as error:
            await self.dispatcher.handle_truncated_response(attempt)
            raise _unknown_error() from error
        finally:
            response.close()
            self.dispatcher.finish(attempt)
        if has_unknown_outcome(response):
            return _UNKNOWN_ANSWER
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in _headers.filter_response_headers(response.raw_headers)
        )
        return ClaimAnswer(_headers.DONE, response.status, headers, body)

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes:
        """Return the body; reading stops once it exceeds ``max_stored_answer_bytes``."""
        chunks = []
        size = 0
        while not response.content.at_eof() and size <= self.tuning.max_stored_answer_bytes:
            chunk = await response.content.readany()
            chunks.append(chunk)
            size += len(chunk)
        return b"".join(chunks)


def _unknown_error() -> UnknownOutcomeError:
    return UnknownOutcomeError("the target's response was lost", "resend with the same idempotency key")
