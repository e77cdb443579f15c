"""A second attempt for a slow idempotent request; the first answer wins."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp

from cranberrylever.entry._exchange import Attempt
from cranberrylever.errors import NotRunError, UnknownOutcomeError

Answer = tuple[Attempt, aiohttp.ClientResponse]


class HedgedSend:
    """Sends an attempt in the current task and starts a second one after a delay.

    The first attempt needs no task of its own, so that a request that is answered in time costs one timer.

    Args:
        send: Sends an attempt and returns its answer.
        second: Returns a second attempt, or ``None`` when there is no budget or no target for it.
        discard: Closes an attempt, and its answer if there is one, that nobody takes.
    """

    def __init__(
        self,
        send: Callable[[Attempt], Awaitable[aiohttp.ClientResponse]],
        second: Callable[[], Attempt | None],
        discard: Callable[[Attempt, aiohttp.ClientResponse | None], None],
    ) -> None:
        self.send = send
        self.second = second
        self.discard = discard
        self.task = asyncio.current_task()
        self.hedge: asyncio.Task[Answer] | None = None
        self.hedge_attempt: Attempt | None = None
        self.won = False
        self.over = False

    async def run(self, attempt: Attempt, delay: float) -> Answer:
        """Return the first answer.

        Raises:
            NotRunError: As for a single attempt.
            UnknownOutcomeError: As for a single attempt.
        """
        timer = asyncio.get_running_loop().call_later(delay, self._start)
        try:
            return attempt, await self.send(attempt)
        except asyncio.CancelledError:
            if not self.won or self.task.uncancel() > 0:
                self.won = False
                raise
            return self.hedge.result()
        except (NotRunError, UnknownOutcomeError):
            if self.hedge is None:
                raise
            self.over = True
            answer = await self.hedge
            self.won = True
            return answer
        finally:
            self.over = True
            timer.cancel()
            if self.hedge is not None and not self.won:
                self._drop_hedge()

    def _start(self) -> None:
        self.hedge_attempt = self.second()
        if self.hedge_attempt is not None:
            self.hedge = asyncio.get_running_loop().create_task(self._send_second(self.hedge_attempt))
            self.hedge.add_done_callback(self._hedge_done)

    async def _send_second(self, attempt: Attempt) -> Answer:
        return attempt, await self.send(attempt)

    def _hedge_done(self, hedge: asyncio.Task[Answer]) -> None:
        if hedge.cancelled():
            # A task that is cancelled before its first step runs none of its own clean-up.
            self.discard(self.hedge_attempt, None)
            return
        if hedge.exception() is not None or self.over:
            return
        self.won = True
        self.task.cancel()

    def _drop_hedge(self) -> None:
        if not self.hedge.done():
            self.hedge.cancel()
            return
        if not self.hedge.cancelled() and self.hedge.exception() is None:
            self.discard(*self.hedge.result())
