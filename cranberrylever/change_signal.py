"""Signal that wakes all tasks which wait for the next change."""

import asyncio
from collections.abc import Iterable


class ChangeSignal:
    """Wakes the tasks that wait at the time of a change; those that wait later wait for the next one."""

    def __init__(self) -> None:
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that wait."""
        self._changed.set()
        self._changed = asyncio.Event()

    def next_change(self) -> asyncio.Event:
        """Return the event that the next change sets."""
        return self._changed

    async def wait(self, timeout: float) -> None:
        """Wait for the next change, at most ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                await self._changed.wait()
        except TimeoutError:
            return


async def wait_for_any(signals: Iterable[ChangeSignal], timeout: float) -> None:
    """Wait for the next change of any of the signals, at most ``timeout`` seconds."""
    # The events are taken now, so that a change is not missed before the tasks run.
    waiters = [asyncio.ensure_future(signal.next_change().wait()) for signal in signals]
    try:
        await asyncio.wait(waiters, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for waiter in waiters:
            waiter.cancel()
