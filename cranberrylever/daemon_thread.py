"""Blocking calls in threads that neither the event loop nor the end of the process waits for."""

import asyncio
import contextlib
import threading
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")


def run_in_daemon_thread(function: Callable[[], Result], name: str) -> asyncio.Future[Result]:
    """Call a function in a thread of its own and return a future for its result or exception.

    An executor does not serve for a call that may never return: its threads are joined at the end of the
    process.

    Args:
        function: Function that may block.
        name: Name of the thread.
    """
    loop = asyncio.get_running_loop()
    future: asyncio.Future[Result] = loop.create_future()

    def finish(set_outcome: Callable[..., None], outcome: object) -> None:
        if not future.done():
            set_outcome(outcome)

    def run() -> None:
        try:
            outcome = (future.set_result, function())
        except Exception as error:
            outcome = (future.set_exception, error)
        # The loop is closed when the program has ended in the meantime.
        with contextlib.suppress(RuntimeError):
            loop.call_soon_threadsafe(finish, *outcome)

    try:
        threading.Thread(target=run, name=name, daemon=True).start()
    except RuntimeError as error:
        # No further thread can be started.
        future.set_exception(error)
    return future
