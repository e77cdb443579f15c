"""FIFO queues of requests that wait for capacity at a target."""

import asyncio
from collections import deque

from cranberrylever.caller_http import wait_with_timeout


class WaitQueue:
    """FIFO queue of the requests for one target, or for any target of one pooled service."""

    def __init__(self) -> None:
        self.waiters: deque[asyncio.Future[bool]] = deque()

    def __len__(self) -> int:
        return len(self.waiters)

    async def wait(self, timeout: float, at_front: bool) -> bool:
        """Wait until this request may try again, at most ``timeout`` seconds.

        Args:
            timeout: Seconds.
            at_front: Queue at the front, for a request that was resumed by ``wake`` but found no capacity.

        Returns:
            Whether the request was resumed by ``wake``, not by ``wake_all`` or the timeout.
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
                # The next request is resumed in place of a cancelled one; the capacity would stay unused.
                self.wake(1)
            raise
        finally:
            if not waiter.done() or waiter.cancelled():
                self._remove(waiter)

    def wake(self, count: int) -> None:
        """Resume the first ``count`` requests."""
        while count > 0 and self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(True)
                count -= 1

    def wake_all(self) -> None:
        """Resume all requests, in order."""
        waiters, self.waiters = self.waiters, deque()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(False)

    def _remove(self, waiter: asyncio.Future[bool]) -> None:
        if waiter in self.waiters:
            self.waiters.remove(waiter)
