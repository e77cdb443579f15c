"""Batches concurrent claim requests into one log entry."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Generic, TypeVar

Item = TypeVar("Item")
ItemResult = TypeVar("ItemResult")

MAX_BATCH_ITEMS = 512
"""Maximum number of claim requests in one log entry."""


class Batcher(Generic[Item, ItemResult]):
    """Collects items while the previous batch is being committed and submits them as one batch.

    Args:
        submit: Commits a batch and returns one result per item, in the order of the items.
    """

    def __init__(self, submit: Callable[[Sequence[Item]], Awaitable[Sequence[ItemResult]]]) -> None:
        self.submit = submit
        self._pending: list[tuple[Item, asyncio.Future[ItemResult]]] = []
        self._task: asyncio.Task[None] | None = None

    async def add(self, item: Item) -> ItemResult:
        """Submit ``item`` with the next batch and return its result once the batch is committed.

        Raises:
            NotLeaderError: This member cannot commit.
            ProposalLostError: It is unknown whether the batch is committed.
        """
        future: asyncio.Future[ItemResult] = asyncio.get_running_loop().create_future()
        self._pending.append((item, future))
        if self._task is None:
            self._task = asyncio.create_task(self._submit_batches())
        return await future

    async def close(self) -> None:
        """Cancel the batch in flight and all pending items."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for _, future in self._pending:
            future.cancel()

    async def _submit_batches(self) -> None:
        try:
            while self._pending:
                batch = self._pending[:MAX_BATCH_ITEMS]
                del self._pending[:MAX_BATCH_ITEMS]
                await self._submit_batch(batch)
        finally:
            self._task = None

    async def _submit_batch(self, batch: list[tuple[Item, "asyncio.Future[ItemResult]"]]) -> None:
        try:
            results = await self.submit([item for item, _ in batch])
        except asyncio.CancelledError:
            for _, future in batch:
                future.cancel()
            raise
        except Exception as error:
            for _, future in batch:
                if not future.done():
                    future.set_exception(error)
            return
        for (_, future), result in zip(batch, results, strict=True):
            if not future.done():
                future.set_result(result)
