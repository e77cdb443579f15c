"""Requests that an entry works on, which it ends with an answer of its own when it stops."""

import asyncio

END_OF_STOP_MESSAGE = "the entry stops"


class RunningRequests:
    """The tasks of requests that are not answered yet.

    A request is removed before its answer is sent, so that the end of a stop never interrupts an answer.
    """

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task] = set()
        self.ended: set[asyncio.Task] = set()

    def add_current(self) -> None:
        """Add the request that the current task works on."""
        self.tasks.add(asyncio.current_task())

    def remove_current(self) -> None:
        """Remove the request of the current task."""
        self.tasks.discard(asyncio.current_task())

    def end_all(self) -> int:
        """Cancel all tasks so that each answers its caller; return how many there are."""
        tasks, self.tasks = self.tasks, set()
        self.ended |= tasks
        for task in tasks:
            task.cancel(END_OF_STOP_MESSAGE)
        return len(tasks)

    def suppress_cancellation(self) -> bool:
        """Return whether ``end_all`` caused the cancellation of the current task; undo it if so."""
        task = asyncio.current_task()
        if task not in self.ended:
            return False
        self.ended.discard(task)
        task.uncancel()
        return True
