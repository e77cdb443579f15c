"""Runs the requests of a target in its slots."""

import asyncio
import random
from collections import deque
from collections.abc import Callable

import attrs

from cranberrylever.target._admission import Admission, Decision
from cranberrylever.target._faults import Faults
from cranberrylever.target._grants import GrantHolder
from cranberrylever.target._load import LoadHistory
from cranberrylever.target._record import Run, RunRecord

# A cold target is slower as well as smaller, so that entries can see the latency jump.
COLD_SLOWDOWN = 2.0
SERVICE_TIME_SHAPE = 4.0


@attrs.frozen
class Work:
    """A request to run; ``deadline`` is in loop seconds and ``service_ms`` overrides the service time."""

    request_id: str
    idempotency_key: str
    incarnation: str
    method: str
    path: str
    key: str
    shard: int | None
    fence: int | None
    deadline: float | None
    service_ms: float | None


@attrs.define(eq=False)
class ActiveWork:
    """A request that is queued or runs; ``slot`` and ``stop`` resolve when it may start and when it ends."""

    work: Work
    slot: "asyncio.Future[str]"
    stop: "asyncio.Future[str]"
    running: bool = False

    def end(self, reason: str) -> None:
        """End the request for a reason, unless it has ended."""
        if not self.slot.done():
            self.slot.set_result(reason)
        if not self.stop.done():
            self.stop.set_result(reason)


class Executor:
    """Runs work within slots, deadlines and the grant.

    Args:
        target_id: Name of the target in its record.
        incarnation: Incarnation in its record.
        service_time_ms: Mean service time.
        holder: The grant.
        admission: Slots, queue and cold start.
        faults: Faults in force.
        record: Record of executions.
        load: Load history.
        crash: Called when a request crashes the target.
    """

    def __init__(
        self,
        target_id: str,
        incarnation: str,
        service_time_ms: float,
        holder: GrantHolder,
        admission: Admission,
        faults: Faults,
        record: RunRecord,
        load: LoadHistory,
        crash: Callable[[], None],
    ) -> None:
        self.target_id = target_id
        self.incarnation = incarnation
        self.service_time_ms = service_time_ms
        self.holder = holder
        self.admission = admission
        self.faults = faults
        self.record = record
        self.load = load
        self.crash = crash
        self.active: set[ActiveWork] = set()
        self.queue: deque[ActiveWork] = deque()
        self.random = random.Random(target_id)
        self.last_arrival = 0.0

    async def run(self, active: ActiveWork) -> str:
        """Run a request.

        Returns:
            ``done``, ``fence`` (refused), ``shed``, ``late`` (its deadline passed before it started), or the
            reason why it was stopped: ``cancelled``, ``deadline`` or ``fenced``.
        """
        await self.faults.thawed.wait()
        now = self.now()
        self.last_arrival = now
        if not self.admits(active.work):
            return "fence"
        if active.work.deadline is not None and now >= active.work.deadline:
            return "late"
        decision = self.admission.arrive()
        if decision is Decision.SHED:
            return "shed"
        self.active.add(active)
        self.note_load()
        try:
            if decision is Decision.QUEUE:
                refusal = await self.wait_for_slot(active)
                if refusal is not None:
                    return refusal
            return await self.execute(active)
        finally:
            self.active.discard(active)
            self.note_load()

    async def wait_for_slot(self, active: ActiveWork) -> str | None:
        """Wait in the queue; returns ``None`` with a slot held, or the reason for leaving without one."""
        self.queue.append(active)
        timer = None
        if active.work.deadline is not None:
            timer = asyncio.get_running_loop().call_at(active.work.deadline, active.end, "late")
        try:
            reason = await active.slot
        finally:
            if timer is not None:
                timer.cancel()
            if active in self.queue:
                self.queue.remove(active)
                self.admission.leave_queue()
        if reason != "slot":
            return reason
        if self.admits(active.work):
            return None
        self.release_slot(completed=False)
        return "fence"

    async def execute(self, active: ActiveWork) -> str:
        """Run a request in the slot that it holds."""
        active.running = True
        work = active.work
        run = Run(
            target_id=self.target_id,
            incarnation=self.incarnation,
            request_id=work.request_id,
            idempotency_key=work.idempotency_key,
            method=work.method,
            path=work.path,
            key=work.key,
            shard=work.shard,
            fence=work.fence,
            start_ms=self.now() * 1000,
        )
        self.record.start(run)
        outcome = "cancelled"
        try:
            if self.faults.crashes(work.path):
                self.crash()
            timer = self.start_timer(active)
            try:
                outcome = await active.stop
            finally:
                timer.cancel()
            await self.faults.thawed.wait()
            if self.grant_lost(work):
                outcome = "fenced"
            if outcome == "fenced":
                run.held_until_ms = min(self.holder.expires_at_ms, self.now() * 1000)
            return outcome
        finally:
            self.record.end(run, outcome, self.now() * 1000)
            self.release_slot(completed=outcome == "done")

    def start_timer(self, active: ActiveWork) -> asyncio.TimerHandle:
        """Schedule the end of a request that runs: its service time or its deadline, whichever is first."""
        now = self.now()
        end = now + self.service_seconds(active.work, now)
        reason = "done"
        if active.work.deadline is not None and active.work.deadline < end:
            end = active.work.deadline
            reason = "deadline"
        return asyncio.get_running_loop().call_at(end, active.end, reason)

    def service_seconds(self, work: Work, now: float) -> float:
        """Return how long a request takes, faults included."""
        milliseconds = work.service_ms
        if milliseconds is None:
            milliseconds = self.random.gammavariate(
                SERVICE_TIME_SHAPE, self.service_time_ms / SERVICE_TIME_SHAPE
            )
        factor = self.faults.current_factor(now)
        if self.admission.cold:
            factor *= COLD_SLOWDOWN
        return milliseconds * factor / 1000

    def release_slot(self, completed: bool) -> None:
        """Free a slot and start the next queued request."""
        self.admission.finish(completed)
        while self.queue and self.admission.has_free_slot():
            waiting = self.queue.popleft()
            if waiting.slot.done():
                self.admission.leave_queue()
                continue
            self.admission.start_queued()
            waiting.slot.set_result("slot")

    def admits(self, work: Work) -> bool:
        """Return whether the grant covers a request now."""
        return self.holder.admits(work.shard, work.fence, work.incarnation, self.now() * 1000)

    def grant_lost(self, work: Work) -> bool:
        """Return whether running work must stop because another target may own its shard by now.

        Work on a shard that was released meanwhile continues: control waits while it is reported as busy.
        """
        if not self.holder.checks_fence or work.shard is None:
            return False
        return not self.holder.valid(self.now() * 1000)

    def stop_fenced(self) -> None:
        """Stop all work whose grant has expired."""
        for active in list(self.active):
            if self.grant_lost(active.work):
                active.end("fenced")

    def cancel(self, request_id: str) -> bool:
        """Cancel a request by its id; returns whether it was found."""
        found = False
        for active in list(self.active):
            if active.work.request_id == request_id:
                active.end("cancelled")
                found = True
        return found

    def busy_shards(self) -> tuple[int, ...]:
        """Return the shards that have work but are not in the grant."""
        shards = {active.work.shard for active in self.active}
        return tuple(
            sorted(shard for shard in shards if shard is not None and shard not in self.holder.shards)
        )

    def note_load(self) -> None:
        """Record the load after a change."""
        self.load.record(self.admission.running, self.admission.queued, self.now())

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()
