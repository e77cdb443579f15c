"""Waits for the end of a program: signals that stop it, and its failure."""

import asyncio
import contextlib
import signal
from collections.abc import Callable, Iterator
from types import FrameType
from typing import Any

SignalHandler = Callable[[int, FrameType | None], None]


def call_at_signal(number: signal.Signals, function: Callable[[], None]) -> SignalHandler:
    """Call a function on the running loop at each of these signals, and return the handler.

    A handler of the loop would be replaced at the close of the loop by the default effect, which ends the
    process. This one is to be replaced before, by one that ignores the signal until the end of the process.
    """
    loop = asyncio.get_running_loop()

    def handle(received: int, frame: FrameType | None) -> None:
        loop.call_soon_threadsafe(function)

    signal.signal(number, handle)
    signal.siginterrupt(number, False)
    return handle


@contextlib.contextmanager
def set_at_stop_signal(stop: asyncio.Event) -> Iterator[None]:
    """Set ``stop`` at SIGTERM or SIGINT, in the main thread; the context includes the shutdown.

    After the first signal SIGTERM has no effect until the process has ended, as service managers repeat it.
    SIGINT then ends the process at once, for a person who presses Ctrl-C again.
    """
    loop = asyncio.get_running_loop()

    def request_stop() -> None:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        loop.remove_signal_handler(signal.SIGINT)
        signal.signal(signal.SIGINT, signal.SIG_DFL)
        stop.set()

    # This also makes the loop wake up for signals that it has no handler for.
    loop.add_signal_handler(signal.SIGINT, request_stop)
    on_sigterm = call_at_signal(signal.SIGTERM, request_stop)
    try:
        yield
    finally:
        if signal.getsignal(signal.SIGTERM) is on_sigterm:
            signal.signal(signal.SIGTERM, signal.SIG_DFL)
            loop.remove_signal_handler(signal.SIGINT)


async def wait_for_stop(program: Any, stop: asyncio.Event) -> None:
    """Wait until ``stop`` is set, or raise the error that the program failed with.

    Args:
        program: A program; it may have ``async wait_failure()``, which raises its error.
        stop: Event that ends the wait.
    """
    wait_failure = getattr(program, "wait_failure", None)
    if wait_failure is None:
        await stop.wait()
        return
    stopped = asyncio.ensure_future(stop.wait())
    failed = asyncio.ensure_future(wait_failure())
    try:
        await asyncio.wait({stopped, failed}, return_when=asyncio.FIRST_COMPLETED)
        if failed.done():
            failed.result()
    finally:
        stopped.cancel()
        failed.cancel()
