"""Run loop of a program, with signal handling and graceful shutdown."""

import asyncio
import errno
import signal
from typing import Any

from cranberrylever.errors import StartError
from cranberrylever.stop_signals import set_at_stop_signal, wait_for_stop


def run_program(program: Any, name: str) -> None:
    """Run a program until SIGTERM or SIGINT, then shut it down gracefully.

    A repeated SIGTERM has no effect; SIGINT during the shutdown ends the process at once. SIGHUP has no
    effect, as settings are read at the start only.

    Args:
        program: An object with ``async start()`` and ``async close()``. If it also has
            ``async wait_failure()``, an error raised there closes the program and is raised here.
        name: Name of the program in error messages.

    Raises:
        StartError: An address or directory cannot be used.
        CranberryleverError: The program failed at run time.
    """
    # Its default effect would end the process with all running requests.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    asyncio.run(_run(program, name))


async def _run(program: Any, name: str) -> None:
    stop = asyncio.Event()
    with set_at_stop_signal(stop):
        try:
            await program.start()
        except OSError as error:
            raise _start_error(name, error) from error
        try:
            await wait_for_stop(program, stop)
        finally:
            await program.close()


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
