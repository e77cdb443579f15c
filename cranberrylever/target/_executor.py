"""Execution of requests in the slots of a target."""

import asyncio
import random
from collections import deque
from collections.abc import Callable

import attrs

from cranberrylever.target._admission import Admission, Decision
from cranberrylever.target._faults import Faults
from cranberrylever.target._grants import HeldGrant
from cranberrylever.target._load import LoadHistory
from cranberrylever.target._record import Run, RunRecord

# A cold target is slower in addition to its lower capacity, so that entries can detect the latency jump.
COLD_SLOWDOWN_FACTOR = 2.0
# Shape of the gamma distribution of service times; their standard deviation is half the mean.
SERVICE_TIME_GAMMA_SHAPE = 4.0


@attrs.frozen
class Work:
    """A request to run; ``deadline`` is a loop time in seconds, ``service_ms`` overrides the service time."""

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
    """A queued or running request; ``slot`` resolves when it may start and ``stop`` when it ends."""

    work: Work
    slot: "asyncio.Future[str]"
    stop: "asyncio.Future[str]"
    running: bool = False

    def end(self, reason: str) -> None:
        """End the request with a reason, unless it has already ended."""
        if not self.slot.done():
            self.slot.set_result(reason)
        if not self.stop.done():
            self.stop.set_result(reason)


class Executor:
    """Runs requests within the slots, their deadlines and the grant.

    Args:
        target_id: Target id in the record.
        incarnation: Incarnation in the record.
        service_time_ms: Mean service time in milliseconds.
        holder: The grant of the target.
        admission: Slots, queue and cold state.
        faults: Active faults.
        record: Record of executions.
        load: History of the load.
        crash: Called when a request crashes the target.
    """

    def __init__(
        self,
        target_id: str,
        incarnation: str,
        service_time_ms: float,
        holder: HeldGrant,
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
            ``done``, ``fence`` (not covered by the grant), ``shed``, ``late`` (its deadline passed before it
            started), or the reason why it was stopped: ``cancelled``, ``deadline`` or ``fenced``.
        """
        await self.faults.unfrozen.wait()
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
        self.record_load()
        try:
            if decision is Decision.QUEUE:
                refusal = await self.wait_for_slot(active)
                if refusal is not None:
                    return refusal
            return await self.execute(active)
        finally:
            self.active.discard(active)
            self.record_load()

    async def wait_for_slot(self, active: ActiveWork) -> str | None:
        """Wait in the queue; return ``None`` once a slot is held, or the reason why there is none."""
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
            await self.faults.unfrozen.wait()
            if self.must_stop(work):
                outcome = "fenced"
            if outcome == "fenced":
                run.held_until_ms = min(self.holder.expires_at_ms, self.now() * 1000)
            return outcome
        finally:
            self.record.end(run, outcome, self.now() * 1000)
            self.release_slot(completed=outcome == "done")

    def start_timer(self, active: ActiveWork) -> asyncio.TimerHandle:
        """Schedule the end of a running request: its service time or its deadline, whichever is earlier."""
        now = self.now()
        end = now + self.service_time_s(active.work, now)
        reason = "done"
        if active.work.deadline is not None and active.work.deadline < end:
            end = active.work.deadline
            reason = "deadline"
        return asyncio.get_running_loop().call_at(end, active.end, reason)

    def service_time_s(self, work: Work, now: float) -> float:
        """Return the service time of a request in seconds, with active faults applied."""
        service_ms = work.service_ms
        if service_ms is None:
            service_ms = self.random.gammavariate(
                SERVICE_TIME_GAMMA_SHAPE, self.service_time_ms / SERVICE_TIME_GAMMA_SHAPE
            )
        factor = self.faults.current_factor(now)
        if self.admission.cold:
            factor *= COLD_SLOWDOWN_FACTOR
        return service_ms * factor / 1000

    def release_slot(self, completed: bool) -> None:
        """Free a slot and start the next queued request."""
        self.admission.finish(completed)
        while self.queue and self.admission.can_start_queued():
            waiting = self.queue.popleft()
            if waiting.slot.done():
                self.admission.leave_queue()
                continue
            self.admission.start_queued()
            waiting.slot.set_result("slot")

    def admits(self, work: Work) -> bool:
        """Return whether the grant covers a request now."""
        return self.holder.admits(work.shard, work.fence, work.incarnation, self.now() * 1000)

    def must_stop(self, work: Work) -> bool:
        """Return whether running work must stop because another target may already own its shard.

        Work on a shard that was released in the meantime continues, because control waits while the target
        reports the shard as busy.
        """
        if not self.holder.checks_fence or work.shard is None:
            return False
        return not self.holder.valid(self.now() * 1000)

    def stop_fenced(self) -> None:
        """Stop all work whose grant has expired."""
        for active in list(self.active):
            if self.must_stop(active.work):
                active.end("fenced")

    def cancel(self, request_id: str) -> bool:
        """Cancel a request by its id and return whether it was found."""
        found = False
        for active in list(self.active):
            if active.work.request_id == request_id:
                active.end("cancelled")
                found = True
        return found

    def busy_shards(self) -> tuple[int, ...]:
        """Return the shards that have active work but are not in the grant."""
        shards = {active.work.shard for active in self.active}
        return tuple(
            sorted(shard for shard in shards if shard is not None and shard not in self.holder.shards)
        )

    def record_load(self) -> None:
        """Record the load after a change."""
        self.load.record(self.admission.running, self.admission.queued, self.now())

    def now(self) -> float:
        """Return the loop time in seconds."""
        return asyncio.get_running_loop().time()
