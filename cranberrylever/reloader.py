"""Reads changed settings again while a program runs, without making it wait for a file that blocks."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

from cranberrylever.daemon_thread import run_in_daemon_thread
from cranberrylever.errors import CranberryleverError, SettingError
from cranberrylever.logs import Log

Settings = TypeVar("Settings")

READ_TIMEOUT_S = 2.0
"""Time after which a read counts as blocked and requests no longer wait for its end."""

MAX_BLOCKED_READS = 4
"""Limit on blocked reads, each of which takes a thread; with as many, a request waits for the end of one."""


class Reloader(Generic[Settings]):
    """Reads settings on request in a thread and applies them; after a failure the old ones stay in force.

    Args:
        read: Blocking function that returns valid settings or raises an error.
        apply: Called on the loop with settings that were read, never with older ones than before.
        log: Program log; ``settings_reload_failed`` tells why settings were not applied.
    """

    def __init__(self, read: Callable[[], Settings], apply: Callable[[Settings], None], log: Log) -> None:
        self.read = read
        self.apply = apply
        self.log = log
        self.is_requested = False
        self.is_reading = False
        self.blocked_reads = 0
        self.reads_started = 0
        self.newest_ended_read = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def request(self) -> None:
        """Read the settings again; all requests during a read share the one that follows it."""
        self.is_requested = True
        if self.blocked_reads >= MAX_BLOCKED_READS:
            self._log_failure(
                SettingError(
                    f"{self.blocked_reads} earlier reads of the settings block",
                    "check their file system; the settings are read when one of these reads ends",
                )
            )
        self._start_requested_read()

    def _start_requested_read(self) -> None:
        if not self.is_requested or self.is_reading or self.blocked_reads >= MAX_BLOCKED_READS:
            return
        self.is_requested = False
        self.is_reading = True
        self.reads_started += 1
        task = asyncio.get_running_loop().create_task(self._reload(self.reads_started))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _reload(self, number: int) -> None:
        read = run_in_daemon_thread(self.read, "settings-reader")
        await asyncio.wait({read}, timeout=READ_TIMEOUT_S)
        self.is_reading = False
        if not read.done():
            await self._wait_for_blocked(read)
        if number > self.newest_ended_read:
            self.newest_ended_read = number
            self._apply_result(read)
        elif read.exception() is not None:
            self._log_failure(read.exception())
        self._start_requested_read()

    async def _wait_for_blocked(self, read: asyncio.Future[Settings]) -> None:
        self._log_failure(
            SettingError(
                f"the settings were not read within {READ_TIMEOUT_S:g} s",
                "check their file system; the old settings stay in force until the read ends",
            )
        )
        self.blocked_reads += 1
        self._start_requested_read()
        await asyncio.wait({read})
        self.blocked_reads -= 1

    def _apply_result(self, read: asyncio.Future[Settings]) -> None:
        try:
            self.apply(read.result())
        except Exception as error:
            self._log_failure(error)

    def _log_failure(self, error: BaseException) -> None:
        if isinstance(error, CranberryleverError):
            self.log.warning("settings_reload_failed", error=str(error))
        else:
            self.log.failure("settings_reload_failed", error)
