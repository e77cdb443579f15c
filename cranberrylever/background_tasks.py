"""Tasks that run in the background of the object that starts them."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Keeps the tasks of one object until they end or it is closed; its length is the number that run."""

    def __init__(self) -> None:
        self._running: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._running)

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in a task of its own."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    def cancel(self) -> None:
        """Cancel all tasks without waiting for their ends."""
        for task in list(self._running):
            task.cancel()

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        self.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
