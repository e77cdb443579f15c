"""Run loop of a program, with signal handling and graceful shutdown."""

import asyncio
import errno
import signal
from typing import Any

from cranberrylever.errors import StartError

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run_program(program: Any, name: str) -> None:
    """Run a program until SIGTERM or SIGINT, then shut it down gracefully.

    A second signal has its default effect and ends the process at once.

    Args:
        program: An object with ``async start()`` and ``async close()``. If it also has
            ``async wait_failure()``, an error raised there closes the program and is raised here.
        name: Name of the program in error messages.

    Raises:
        StartError: An address or directory cannot be used.
        CranberryleverError: The program failed at run time.
    """
    asyncio.run(_run(program, name))


async def _run(program: Any, name: str) -> None:
    stop = asyncio.Event()
    _install_signal_handlers(stop)
    try:
        await program.start()
    except OSError as error:
        raise _start_error(name, error) from error
    # A server library may replace the signal handlers during start.
    _install_signal_handlers(stop)
    try:
        await _wait_for_stop(program, stop)
    finally:
        await program.close()


def _install_signal_handlers(stop: asyncio.Event) -> None:
    loop = asyncio.get_running_loop()

    def request_stop() -> None:
        stop.set()
        for signal_number in STOP_SIGNALS:
            loop.remove_signal_handler(signal_number)
            signal.signal(signal_number, signal.SIG_DFL)

    if stop.is_set():
        return
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, request_stop)


async def _wait_for_stop(program: Any, stop: asyncio.Event) -> None:
    """Wait for a stop signal, or raise the error that the program failed with."""
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


def _start_error(name: str, error: OSError) -> StartError:
    if error.errno == errno.EADDRINUSE:
        return StartError(
            f"{name} cannot listen: {error.strerror or error}",
            "choose another port or stop the program that uses this one",
        )
    if error.errno == errno.EADDRNOTAVAIL:
        return StartError(
            f"{name} cannot listen: {error.strerror or error}", "use an address of this instance"
        )
    if error.errno in (errno.EACCES, errno.EPERM):
        return StartError(
            f"{name} cannot start: {error}", "use a port above 1023 and a folder that this user can write to"
        )
    return StartError(f"{name} cannot start: {error}", "correct the setting concerned")
