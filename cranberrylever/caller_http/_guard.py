"""Guard that ends a request at its deadline or when its caller disconnects."""

import asyncio
from collections.abc import Awaitable, Callable

DEADLINE = "deadline"
CALLER_GONE = "caller gone"


class RequestGuard:
    """Cancels the task that creates it at the deadline or when the caller disconnects.

    ``reason`` is ``DEADLINE`` or ``CALLER_GONE`` then and empty otherwise. The check for a disconnect starts
    after a delay, because it needs a task and most answers arrive earlier.

    Args:
        receive: ASGI ``receive`` of the request, whose body has been read.
        deadline: Loop time of the deadline.
        check_delay: Seconds after which the check for a disconnect starts.
    """

    def __init__(self, receive: Callable[[], Awaitable[dict]], deadline: float, check_delay: float) -> None:
        self.receive = receive
        self.reason = ""
        self.loop = asyncio.get_running_loop()
        self.task = asyncio.current_task()
        self.deadline = deadline
        self.watcher: asyncio.Task[None] | None = None
        self.timer = self.loop.call_at(min(deadline, self.loop.time() + check_delay), self._start_watcher)

    def close(self) -> None:
        """Stop the timer and the check for a disconnect."""
        self.timer.cancel()
        if self.watcher is not None:
            self.watcher.cancel()

    def suppress_cancellation(self) -> bool:
        """Return whether this guard caused the cancellation; undo it if so."""
        if not self.reason:
            return False
        self.task.uncancel()
        return True

    def _cancel(self, reason: str) -> None:
        if not self.reason:
            self.reason = reason
            self.task.cancel()

    def _start_watcher(self) -> None:
        # One timer serves the check delay and the deadline, because most requests end before it fires.
        if self.loop.time() >= self.deadline:
            self._on_deadline()
            return
        self.timer = self.loop.call_at(self.deadline, self._on_deadline)
        self.watcher = self.loop.create_task(self._watch_caller())

    def _on_deadline(self) -> None:
        # An answer that was read in this iteration of the loop resumes the task before it is cancelled.
        self.timer = self.loop.call_soon(self._cancel, DEADLINE)

    async def _watch_caller(self) -> None:
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
