"""Ends a request at its deadline or when its caller goes away."""

import asyncio
from collections.abc import Awaitable, Callable

DEADLINE = "deadline"
CALLER_GONE = "caller gone"


class RequestGuard:
    """Cancels the current task with a reason.

    The watch on the caller starts after a delay, because it costs a task and most answers arrive earlier.

    Args:
        receive: ASGI ``receive`` of the request, whose body has been read.
        deadline: Loop time.
        check_delay: Seconds after which the caller is watched.
    """

    def __init__(self, receive: Callable[[], Awaitable[dict]], deadline: float, check_delay: float) -> None:
        self.receive = receive
        self.reason = ""
        self.loop = asyncio.get_running_loop()
        self.task = asyncio.current_task()
        self.deadline = deadline
        self.watcher: asyncio.Task[None] | None = None
        self.timer = self.loop.call_at(min(deadline, self.loop.time() + check_delay), self._start_watch)

    def close(self) -> None:
        """Stop watching."""
        self.timer.cancel()
        if self.watcher is not None:
            self.watcher.cancel()

    def suppress_cancellation(self) -> bool:
        """Tell whether this guard caused a cancellation, and take it back if so."""
        if not self.reason:
            return False
        self.task.uncancel()
        return True

    def _cancel(self, reason: str) -> None:
        if not self.reason:
            self.reason = reason
            self.task.cancel()

    def _start_watch(self) -> None:
        # One timer serves both purposes, because most requests end before it fires.
        if self.loop.time() >= self.deadline:
            self._cancel(DEADLINE)
            return
        self.timer = self.loop.call_at(self.deadline, self._cancel, DEADLINE)
        self.watcher = self.loop.create_task(self._watch())

    async def _watch(self) -> None:
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                self._cancel(CALLER_GONE)
                return


async def wait_with_timeout(waiter: asyncio.Future, timeout: float) -> bool:
    """Wait for a future without raising on timeout.

    Returns:
        Whether the future has a result.
    """
    done, _ = await asyncio.wait({waiter}, timeout=max(0.0, timeout))
    return bool(done)
