"""Runs a program until a signal asks it to stop."""

import asyncio
import errno
import signal
from typing import Any

from cranberrylever.errors import StartError

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run_program(program: Any, name: str) -> None:
    """Start a program, wait for SIGTERM or SIGINT and close it gracefully.

    A second signal has its default effect and ends the process at once.

    Args:
        program: An object with ``async start()`` and ``async close()``. When it has ``async wait_failure()``,
            an error raised there closes the program and ends the command with that error.
        name: Name of the program for messages.

    Raises:
        StartError: An address or folder can't be used.
        CranberryleverError: The program failed while it ran.
    """
    asyncio.run(_run(program, name))


async def _run(program: Any, name: str) -> None:
    stop = asyncio.Event()
    _install_handlers(stop)
    try:
        await program.start()
    except OSError as error:
        raise _start_error(name, error) from error
    # A server library may have replaced the handlers while it started.
    _install_handlers(stop)
    try:
        await _wait(program, stop)
    finally:
        await program.close()


def _install_handlers(stop: asyncio.Event) -> None:
    loop = asyncio.get_running_loop()

    def request_stop() -> None:
        stop.set()
        for number in STOP_SIGNALS:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_DFL)

    if stop.is_set():
        return
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, request_stop)


async def _wait(program: Any, stop: asyncio.Event) -> None:
    """Wait for a stop signal, or raise the error with which the program fails."""
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
            f"{name} can't listen: {error.strerror or error}",
            "choose another port or stop the program that uses it",
        )
    if error.errno == errno.EADDRNOTAVAIL:
        return StartError(
            f"{name} can't listen: {error.strerror or error}", "use an address of this instance"
        )
    if error.errno in (errno.EACCES, errno.EPERM):
        return StartError(
            f"{name} can't start: {error}", "use a port above 1023 and a folder that this user can write"
        )
    return StartError(f"{name} can't start: {error}", "correct the setting concerned")
