"""First-in first-out queues of requests that wait for room at a target."""

import asyncio
from collections import deque

from cranberrylever.caller_http import wait_with_timeout


class WaitQueue:
    """Requests waiting for one target, or for any target of one pooled service."""

    def __init__(self) -> None:
        self.waiters: deque[asyncio.Future[bool]] = deque()

    def __len__(self) -> int:
        return len(self.waiters)

    async def wait(self, timeout: float, at_front: bool) -> bool:
        """Return when this request may try again, or after ``timeout`` seconds.

        Args:
            timeout: Seconds.
            at_front: Whether this request had its turn already and another took its place.

        Returns:
            Whether this was the turn of this request, not of all.
        """
        waiter = asyncio.get_running_loop().create_future()
        if at_front:
            self.waiters.appendleft(waiter)
        else:
            self.waiters.append(waiter)
        try:
            return await wait_with_timeout(waiter, timeout) and waiter.result()
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                # The turn of a cancelled request goes to the next one, or the room would stay unused.
                self.wake(1)
            raise
        finally:
            if not waiter.done() or waiter.cancelled():
                self._forget(waiter)

    def wake(self, count: int) -> None:
        """Let the first ``count`` requests try again."""
        while count > 0 and self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(True)
                count -= 1

    def wake_all(self) -> None:
        """Let all requests try again, in order."""
        waiters, self.waiters = self.waiters, deque()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(False)

    def _forget(self, waiter: asyncio.Future[bool]) -> None:
        if waiter in self.waiters:
            self.waiters.remove(waiter)
