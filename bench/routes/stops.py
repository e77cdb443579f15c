"""Planned stops of entries and control members, in series that overlap."""

import asyncio
import contextlib
import os
import random
import signal

import attrs

from bench.processes import ManagedProcess
from bench.routes.caller_connection import open_caller_connection
from bench.routes.cluster import SoakCluster, SoakOptions
from bench.routes.faults import RouteFaults
from bench.routes.lost import Stop

GRACE_MARGIN_S = 0.2
"""Time after drain delay and finish time at which a platform kills an entry."""

STOP_OPTIONS = SoakOptions(entries=4, callers=100, drain_delay=0.5, finish_timeout=2.5, slots=32)
"""Size and times of a run with planned stops; targets have room for requests that last seconds."""

# Each pair is the range from which a random time is drawn.
ACTION_INTERVAL_S = (0.3, 1.8)
STOP_INTERVAL_S = (0.1, 1.0)
RELOAD_TIME_S = (0.0, 0.4)
DOWNTIME_S = (0.1, 1.0)
SILENCE_DURATION_S = (1.5, 4.0)
EXPECTED_STATUS = (0, -signal.SIGKILL, -signal.SIGTERM, -signal.SIGHUP)
"""Signals also end a process that has not set its handlers yet, or that has removed them at its end."""

SIGNAL_COUNT = 3
"""Signals during a stop after its SIGTERM."""


@attrs.define(eq=False)
class PlannedStops:
    """Stops and reloads processes and changes the plan from a seeded random source; nothing has a fault.

    Attributes:
        grace: Seconds between SIGTERM and SIGKILL of an entry.
        sends_more_signals: Whether entries get further signals before and during a stop.
        stops: Stops of entries that have begun.
        problems: Ends of processes that no signal explains.
        kills: Stops that ended by SIGKILL, after the grace time.
    """

    cluster: SoakCluster
    random: random.Random
    faults: RouteFaults
    grace: float
    sends_more_signals: bool = True
    stops: list[Stop] = attrs.field(factory=list)
    problems: list[str] = attrs.field(factory=list)
    kills: int = 0
    stopping: set[str] = attrs.field(factory=set)
    repairs: list[asyncio.Task[None]] = attrs.field(factory=list)

    async def run(self, seconds: float) -> None:
        """Begin actions for ``seconds``, then wait until all have ended."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        actions = (
            self.stop_in_turn,
            self.stop_together,
            self.stop_one,
            self.stop_member,
            self.silence_target,
            self.faults.change_plan,
            self.faults.withdraw_domain,
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(self.stop_in_turn())
            while loop.time() < end:
                await asyncio.sleep(self.random.uniform(*ACTION_INTERVAL_S))
                group.create_task(self.random.choice(actions)())
        for repair in self.repairs:
            repair.cancel()

    async def stop_in_turn(self) -> None:
        """Stop all entries one after the other, the next one before the last has ended."""
        async with asyncio.TaskGroup() as group:
            for process, _ in self.random.sample(self.cluster.entries, len(self.cluster.entries)):
                group.create_task(self.stop_entry(process))
                await asyncio.sleep(self.random.uniform(*STOP_INTERVAL_S))

    async def stop_together(self) -> None:
        """Stop half of the entries at the same time."""
        count = (len(self.cluster.entries) + 1) // 2
        async with asyncio.TaskGroup() as group:
            for process, _ in self.random.sample(self.cluster.entries, count):
                group.create_task(self.stop_entry(process))

    async def stop_one(self) -> None:
        """Stop one entry."""
        process, _ = self.random.choice(self.cluster.entries)
        await self.stop_entry(process)

    async def stop_entry(self, process: ManagedProcess) -> None:
        """Stop an entry as a platform does, and start it again at once or soon after."""
        if process.name in self.stopping:
            return
        self.stopping.add(process.name)
        if not process.running():
            self.problems.append(f"{process.name} has ended by itself with {process.process.returncode}")
        if self.sends_more_signals and self.random.random() < 0.3:
            await self._reload(process)
        asked_at = asyncio.get_running_loop().time()
        self.stops.append(Stop(process.name, asked_at))
        index = len(self.stops) - 1
        await self._end(process)
        self.stops[index] = attrs.evolve(self.stops[index], gone_at=asyncio.get_running_loop().time())
        status = process.process.returncode
        self._note(f"{process.name} has ended with {status}")
        if status not in EXPECTED_STATUS:
            self.problems.append(f"{process.name} ended with {status} around its SIGTERM at {asked_at:.2f}")
        if self.random.random() < 0.5:
            await asyncio.sleep(self.random.uniform(*DOWNTIME_S))
        await process.start()
        self.stopping.discard(process.name)

    async def _reload(self, process: ManagedProcess) -> None:
        """Send SIGHUP to an entry that takes connections, so that it has set its handlers."""
        pause = self.random.uniform(*RELOAD_TIME_S)
        address = next(listen for entry, listen in self.cluster.entries if entry is process)
        try:
            connection = await open_caller_connection(address, is_slow_reader=False)
        except OSError:
            return
        connection.close()
        self._signal(process, signal.SIGHUP)
        await asyncio.sleep(pause)
        if not process.running():
            self.problems.append(f"SIGHUP has ended {process.name} with {process.process.returncode}")

    async def _end(self, process: ManagedProcess) -> None:
        """Send SIGTERM, further signals in some stops, and SIGKILL after the grace time only."""
        self._signal(process, signal.SIGTERM)
        further = asyncio.get_running_loop().create_task(self._signal_again(process))
        try:
            async with asyncio.timeout(self.grace):
                await process.process.wait()
        except TimeoutError:
            self.kills += 1
            self._signal(process, signal.SIGKILL)
            await process.process.wait()
        finally:
            further.cancel()

    async def _signal_again(self, process: ManagedProcess) -> None:
        """Send further signals at random times of some stops."""
        if not self.sends_more_signals or self.random.random() < 0.5:
            return
        for _ in range(SIGNAL_COUNT):
            await asyncio.sleep(self.random.uniform(0.0, self.grace / SIGNAL_COUNT))
            self._signal(process, self.random.choice((signal.SIGTERM, signal.SIGHUP)))

    def _signal(self, process: ManagedProcess, number: signal.Signals) -> None:
        self._note(f"{number.name} to {process.name}")
        if process.running():
            # Popen.send_signal would reap a process that has just ended, and lose its exit status.
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.process.pid, number)

    async def stop_member(self) -> None:
        """Stop a control member and start it again."""
        members = self.faults.take_members(1)
        if not members:
            return
        process = members[0].process
        self._note(f"SIGTERM to {process.name}")
        await process.terminate()
        self._note(f"{process.name} has ended with {process.process.returncode}")
        await asyncio.sleep(self.random.uniform(*DOWNTIME_S))
        await members[0].start()
        self.repairs.append(asyncio.get_running_loop().create_task(self.faults.return_members(members)))

    async def silence_target(self) -> None:
        """Let a target run some requests and never answer them, with the connection left open."""
        target = self.random.choice(self.cluster.targets)
        duration = self.random.uniform(*SILENCE_DURATION_S)
        self._note(f"{target.name} is silent for {duration:.2f} s")
        target.is_silent = True
        await asyncio.sleep(duration)
        target.is_silent = False

    def _note(self, text: str) -> None:
        now = asyncio.get_running_loop().time()
        self.faults.history.append(f"{now:.2f} {text}")
        self.faults.disrupted_until = max(self.faults.disrupted_until, now)
