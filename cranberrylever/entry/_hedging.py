"""Hedging: a second attempt for a slow idempotent request; the first response is used."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp

from cranberrylever.entry._exchange import Attempt
from cranberrylever.errors import NotRunError, UnknownOutcomeError

AttemptResponse = tuple[Attempt, aiohttp.ClientResponse]


class HedgedSend:
    """Sends an attempt in the current task and a hedge in a second task after a delay.

    The first attempt needs no task of its own, so a request answered before the delay costs only a timer.

    Args:
        send: Sends an attempt and returns its response.
        create_hedge: Returns a second attempt, or ``None`` without budget or target for it.
        discard: Ends an unused attempt and closes its response, if any.
    """

    def __init__(
        self,
        send: Callable[[Attempt], Awaitable[aiohttp.ClientResponse]],
        create_hedge: Callable[[], Attempt | None],
        discard: Callable[[Attempt, aiohttp.ClientResponse | None], None],
    ) -> None:
        self.send = send
        self.create_hedge = create_hedge
        self.discard = discard
        self.task = asyncio.current_task()
        self.hedge_task: asyncio.Task[AttemptResponse] | None = None
        self.hedge_attempt: Attempt | None = None
        self.hedge_won = False
        self.finished = False

    async def run(self, attempt: Attempt, delay: float) -> AttemptResponse:
        """Return the attempt that is answered first and its response.

        Raises:
            NotRunError: As for a single attempt.
            UnknownOutcomeError: As for a single attempt.
        """
        timer = asyncio.get_running_loop().call_later(delay, self._start_hedge)
        try:
            return attempt, await self.send(attempt)
        except asyncio.CancelledError:
            if not self.hedge_won or self.task.uncancel() > 0:
                self.hedge_won = False
                raise
            return self.hedge_task.result()
        except (NotRunError, UnknownOutcomeError):
            if self.hedge_task is None:
                raise
            self.finished = True
            result = await self.hedge_task
            self.hedge_won = True
            return result
        finally:
            self.finished = True
            timer.cancel()
            if self.hedge_task is not None and not self.hedge_won:
                self._discard_hedge()

    def _start_hedge(self) -> None:
        self.hedge_attempt = self.create_hedge()
        if self.hedge_attempt is not None:
            self.hedge_task = asyncio.get_running_loop().create_task(self._send_hedge(self.hedge_attempt))
            self.hedge_task.add_done_callback(self._on_hedge_done)

    async def _send_hedge(self, attempt: Attempt) -> AttemptResponse:
        return attempt, await self.send(attempt)

    def _on_hedge_done(self, hedge: asyncio.Task[AttemptResponse]) -> None:
        if hedge.cancelled():
            # A task cancelled before its first step does not run its own cleanup.
            self.discard(self.hedge_attempt, None)
            return
        if hedge.exception() is not None or self.finished:
            return
        self.hedge_won = True
        self.task.cancel()

    def _discard_hedge(self) -> None:
        if not self.hedge_task.done():
            self.hedge_task.cancel()
            return
        if not self.hedge_task.cancelled() and self.hedge_task.exception() is None:
            self.discard(*self.hedge_task.result())
