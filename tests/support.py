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


def end_slowly(is_ending: asyncio.Event) -> Callable[[object], Awaitable[None]]:
    """Return a sender of a stream that sets ``is_ending`` when it is cancelled and ends 50 ms later."""

    async def send(stream: object) -> None:
        try:
            await asyncio.sleep(60)
        finally:
            is_ending.set()
            await asyncio.sleep(0.05)

    return send
