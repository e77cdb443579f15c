"""Program of the stand-in target."""

import asyncio
import contextlib
import os
import uuid

import attrs

from cranberrylever.http_server import HttpServer
from cranberrylever.logs import Log, install_log
from cranberrylever.membership import Announcement
from cranberrylever.settings import TargetSettings
from cranberrylever.target._admission import Admission
from cranberrylever.target._announcer import Announcer
from cranberrylever.target._app import create_app
from cranberrylever.target._executor import Executor
from cranberrylever.target._faults import FaultOrder, Faults
from cranberrylever.target._grants import GrantReply, HeldGrant
from cranberrylever.target._load import LoadHistory
from cranberrylever.target._record import Run, RunRecord

GRANT_CHECK_INTERVAL_S = 0.02
LEAVE_POLL_INTERVAL_S = 0.05
# Exceeds the lifetime of a routing view plus its margin, after which no entry routes to this target.
LEAVE_IDLE_TIME_S = 1.5
LEAVE_TIMEOUT_S = 15.0
CRASH_EXIT_STATUS = 70
# Connections beyond the limit for requests, for grants, load probes and operators.
RESERVED_CONNECTIONS = 10


@attrs.frozen
class RunReport:
    """Response to ``GET /-/runs``."""

    target_id: str
    incarnation: str
    runs: tuple[Run, ...]
    started: int
    most_work: int
    cold_peak: int
    overloads: int
    shed: int


class TargetProgram:
    """One stand-in target.

    Attributes:
        bound_address: ``host:port`` of the listener once started.
        crashed: Set when a fault has crashed the target.
    """

    def __init__(self, settings: TargetSettings, exit_on_crash: bool = False) -> None:
        self.settings = settings
        self.exit_on_crash = exit_on_crash
        self.incarnation = uuid.uuid4().hex
        self.log = Log("target", settings.target_id, settings.log.level)
        self.leaving = False
        self.crashed = asyncio.Event()
        self.faults = Faults()
        self.record = RunRecord(settings.record)
        self.load = LoadHistory(settings.load_lag_s)
        self.admission = Admission(
            slots=settings.slots,
            queue_limit=settings.queue_limit,
            cold_capacity=settings.cold_capacity,
            warmup_requests=settings.warmup_requests,
            cold=settings.starts_cold,
        )
        self.holder = HeldGrant(settings.target_id, self.incarnation, settings.checks_fence)
        self.executor = Executor(
            target_id=settings.target_id,
            incarnation=self.incarnation,
            service_time_ms=settings.service_time_ms,
            holder=self.holder,
            admission=self.admission,
            faults=self.faults,
            record=self.record,
            load=self.load,
            crash=self.crash,
        )
        self.server = HttpServer(create_app(self), settings.listen)
        self.announcer = Announcer(settings.control, settings.token, self.announcement, self.faults.unfrozen)
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def bound_address(self) -> str:
        """The address on which the target listens."""
        return self.server.bound_address

    async def start(self) -> None:
        """Start the listener, then the announcements."""
        self.installed_log = install_log(self.settings.log)
        await self.server.start()
        self.log.info("target_started", address=self.bound_address, incarnation=self.incarnation)
        self.tasks.append(asyncio.create_task(self.watch_grant()))
        if self.settings.control:
            self.tasks.append(asyncio.create_task(self.announcer.run()))

    async def close(self) -> None:
        """Announce that the target leaves, finish all work, then stop."""
        if not self.crashed.is_set():
            self.drain()
            await self.wait_until_left()
        await self.stop()

    async def stop(self) -> None:
        """Stop without announcing that the target leaves."""
        for task in self.tasks:
            task.cancel()
        for task in self.tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self.tasks.clear()
        cut_off = await self.server.close()
        cut_off.write_to(self.log)
        self.record.close()
        self.log.info("target_stopped")
        self.installed_log.close()

    async def wait_until_left(self) -> None:
        """Wait until control has released all shards, no work is left and no entry sends requests.

        Returns at once if no announcement was acknowledged, else after ``LEAVE_TIMEOUT_S`` at the latest.
        """
        if self.announcer.acknowledged is None:
            return
        now = asyncio.get_running_loop().time
        deadline = now() + LEAVE_TIMEOUT_S
        idle_since = now()
        while now() < deadline and now() - idle_since < LEAVE_IDLE_TIME_S:
            holds_shards = self.holder.valid(now() * 1000) and bool(self.holder.shards)
            if holds_shards or self.executor.active or not self.announcer.acknowledged.leaving:
                idle_since = now()
            idle_since = max(idle_since, self.executor.last_arrival)
            await asyncio.sleep(LEAVE_POLL_INTERVAL_S)

    def drain(self) -> None:
        """Announce that the target is leaving; it still serves requests."""
        self.leaving = True
        self.log.info("target_leaving")
        self.announcer.changed.set()

    def crash(self) -> None:
        """Simulate a crash: exit the process, or abort all connections and stop listening."""
        if self.exit_on_crash:
            os._exit(CRASH_EXIT_STATUS)
        self.crashed.set()
        self.record.close()
        self.server.abort()
        for task in self.tasks:
            task.cancel()

    def apply_fault(self, order: FaultOrder) -> None:
        """Inject or clear faults."""
        now = asyncio.get_running_loop().time()
        self.log.warning("fault_set", fault=attrs.asdict(order))
        if order.slow_factor is not None:
            self.faults.slow(order.slow_factor, order.for_ms, now)
        if order.cold is not None:
            if order.cold:
                self.admission.become_cold()
            else:
                self.admission.cold = False
        if order.crash_path is not None:
            self.faults.crash_path = order.crash_path
        if order.load_lag_s is not None:
            self.load.lag = order.load_lag_s
        if order.freeze_ms is not None:
            self.faults.freeze(order.freeze_ms / 1000)

    async def watch_grant(self) -> None:
        """Stop work whose grant has expired."""
        while True:
            await asyncio.sleep(GRANT_CHECK_INTERVAL_S)
            await self.faults.unfrozen.wait()
            self.executor.stop_fenced()

    def connections_exceeded(self) -> bool:
        """Return whether more connections are open than the target supports."""
        return self.server.connection_count() > self.settings.connections + RESERVED_CONNECTIONS

    def state(self) -> str:
        """Return ``cold``, ``warm`` or ``leaving``."""
        if self.leaving:
            return "leaving"
        return "cold" if self.admission.cold else "warm"

    def announcement(self) -> Announcement:
        """Return the current announcement of the target."""
        return Announcement(
            target_id=self.settings.target_id,
            service=self.settings.service,
            address=self.settings.advertise or self.bound_address,
            failure_domain=self.settings.failure_domain,
            incarnation=self.incarnation,
            slots=self.settings.slots,
            connections=self.settings.connections,
            cold_capacity=self.settings.cold_capacity,
            checks_fence=self.settings.checks_fence,
            weight=self.settings.weight,
            leaving=self.leaving,
        )

    def grant_reply(self) -> GrantReply:
        """Return the response to an accepted grant call."""
        now = asyncio.get_running_loop().time()
        sample = self.load.report(now)
        return GrantReply(
            incarnation=self.incarnation,
            clock_ms=now * 1000,
            sequence=self.holder.sequence,
            version=self.holder.version,
            busy_shards=self.executor.busy_shards(),
            state=self.state(),
            running=sample.running,
            queued=sample.queued,
            slots=self.settings.slots,
        )

    def run_report(self) -> RunReport:
        """Return the record of executed requests with the admission counters."""
        return RunReport(
            target_id=self.settings.target_id,
            incarnation=self.incarnation,
            runs=tuple(self.record.runs),
            started=self.admission.started,
            most_work=self.admission.most_work,
            cold_peak=self.admission.cold_peak,
            overloads=self.admission.overloads,
            shed=self.admission.shed,
        )


def create_target(settings: TargetSettings, exit_on_crash: bool = False) -> TargetProgram:
    """Return a stand-in target that is not started yet.

    Args:
        settings: Settings of the target.
        exit_on_crash: Whether a crash fault ends the process; ``False`` for several targets in one process.
    """
    return TargetProgram(settings, exit_on_crash)
