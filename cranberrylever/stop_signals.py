"""Signals that stop a program."""

import asyncio
import contextlib
import signal
from collections.abc import Iterator


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

    def on_sigterm(*_: object) -> None:
        loop.call_soon_threadsafe(request_stop)

    # This also makes the loop wake up for signals that it has no handler for.
    loop.add_signal_handler(signal.SIGINT, request_stop)
    # Not a handler of the loop: that would be replaced by the default, which ends the process, with its loop.
    signal.signal(signal.SIGTERM, on_sigterm)
    try:
        yield
    finally:
        if signal.getsignal(signal.SIGTERM) is on_sigterm:
            signal.signal(signal.SIGTERM, signal.SIG_DFL)
            loop.remove_signal_handler(signal.SIGINT)
