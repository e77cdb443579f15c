"""Signal that wakes all tasks which wait for the next change."""

import asyncio


class ChangeSignal:
    """Wakes the tasks that wait at the time of a change; those that wait later wait for the next one."""

    def __init__(self) -> None:
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that wait."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, timeout: float) -> None:
        """Wait for the next change, at most ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                await self._changed.wait()
        except TimeoutError:
            return
