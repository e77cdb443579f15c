"""Helpers shared by tests."""

import asyncio
from collections.abc import Awaitable, Callable

import looptime


def run_in_simulated_time(main: Callable[[], Awaitable[object]]) -> object:
    """Run a coroutine function on a loop whose clock advances only when no callback is ready.

    Returns:
        The result of the coroutine.
    """
    loop = looptime.new_event_loop(start=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(main())
    finally:
        loop.close()
        asyncio.set_event_loop(None)
