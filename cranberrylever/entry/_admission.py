"""Admission of requests: selects a target with capacity or queues the request until there is one."""

import asyncio
import random

from cranberrylever.entry._exchange import Attempt, Exchange
from cranberrylever.entry._inflight import InFlightAttempts
from cranberrylever.entry._queues import WaitQueue
from cranberrylever.entry._reports import RequestCounts
from cranberrylever.entry._targets import TargetStates
from cranberrylever.entry._views import ViewStore
from cranberrylever.errors import NotRunError
from cranberrylever.limits import estimated_wait
from cranberrylever.logs import Log
from cranberrylever.routing import LeastWait, RoutingTable, ServiceView, TargetView

MAX_PERMIT_QUEUE_LENGTH = 256
"""Maximum number of requests that wait for permits of one target or service."""

COLD_REQUEST_SHARE = 0.5
"""Share of pooled requests sent to a cold target while this entry has an unused permit for it."""


class _NoCapacityError(Exception):
    """No target has capacity; the request waits in ``queue``, or for a new view when ``queue`` is ``None``.

    ``states`` are the states of the targets that the request may be sent to.
    """

    def __init__(self, queue: WaitQueue | None, states: list) -> None:  # noqa: ANN001
        super().__init__()
        self.queue = queue
        self.states = states


class Admission:
    """Selects the target of each attempt under routing, concurrency limits and permits.

    Args:
        entry_id: Id of this entry; it is excluded when a request is forwarded to a permit holder.
        views: The current view.
        targets: States of the targets.
        in_flight: Registry of attempts; an attempt is added in the event loop step that looked up its target.
        counts: Request counts for the reports to control.
        log: Program log.
    """

    def __init__(
        self,
        entry_id: str,
        views: ViewStore,
        targets: TargetStates,
        in_flight: InFlightAttempts,
        counts: RequestCounts,
        log: Log,
    ) -> None:
        self.entry_id = entry_id
        self.views = views
        self.targets = targets
        self.in_flight = in_flight
        self.counts = counts
        self.log = log
        self.queues: dict[str, WaitQueue] = {}
        self.chooser = LeastWait(
            lambda target, now: self.targets.states[target.target_id].estimated_wait(now)
        )

    async def acquire(self, exchange: Exchange, tried: set[str], reason: str = "") -> Attempt:
        """Wait for a target with capacity and return a registered attempt, to be ended with ``release``.

        Args:
            exchange: The request.
            tried: Targets to avoid while another has capacity.
            reason: Reason for the decision log; empty for the first attempt.

        Raises:
            NotRunError: No target can take the request before its deadline.
        """
        loop = asyncio.get_running_loop()
        has_waited = False
        at_front = False
        while True:
            now = loop.time()
            if now >= exchange.deadline:
                raise NotRunError(
                    "no target became available before the deadline of the request", "retry later"
                )
            table = self.views.current(now)
            try:
                return self._choose(exchange, table, tried, has_waited, reason, now)
            except _NoCapacityError as error:
                remaining = exchange.deadline - now
                if error.queue is None:
                    await self.views.wait_for_change(remaining)
                    continue
                if not has_waited:
                    self._check_queue_limits(error, remaining, now)
                at_front = await error.queue.wait(remaining, at_front)
                has_waited = True

    def try_acquire(self, exchange: Exchange, tried: set[str], reason: str) -> Attempt | None:
        """Return a registered attempt at a target outside ``tried`` that needs no permit, or ``None``."""
        now = asyncio.get_running_loop().time()
        if not self.views.is_valid(now):
            return None
        table = self.views.current(now)
        service = table.services.get(exchange.service.name)
        if service is None or self._find_queue(service.name):
            return None
        candidates = [
            target
            for target in table.pools[service.name]
            if target.target_id not in tried
            and not self.targets.needs_permit(target, now)
            and self.targets.has_capacity(target, now)
        ]
        if not candidates:
            return None
        target = self.chooser.choose(candidates, now)
        return self._register(exchange, table, target, reason, now)

    def release(self, attempt: Attempt) -> bool:
        """End an attempt and return whether the settled version may have advanced."""
        if attempt.finished:
            return False
        attempt.finished = True
        state = attempt.state
        if state is not None:
            self.targets.end_request(state, attempt)
            self._wake_waiting(state)
        return self.in_flight.remove(attempt)

    def waiting_for_permits(self, now: float) -> dict[str, int]:
        """Return the number of requests that wait for permits, per target."""
        waiting = {}
        for target_id, state in self.targets.states.items():
            queue = self.queues.get(state.view.service) or self.queues.get(
                f"{state.view.service}/{target_id}"
            )
            if queue and self.targets.needs_permit(state.view, now):
                waiting[target_id] = len(queue)
        return waiting

    def wake_all(self) -> None:
        """Resume all queued requests after a change of the view, the permits or the cold marks."""
        for queue in self.queues.values():
            queue.wake_all()

    def waiting_requests(self) -> int:
        """Return the number of queued requests."""
        return sum(len(queue) for queue in self.queues.values())

    def _wake_waiting(self, state) -> None:  # noqa: ANN001
        if not self.queues:
            return
        capacity = max(1, state.limit.value - state.outstanding)
        for name in (state.view.service, f"{state.view.service}/{state.view.target_id}"):
            queue = self.queues.get(name)
            if queue is not None:
                queue.wake(capacity)
                if not queue:
                    del self.queues[name]

    def _find_queue(self, name: str) -> WaitQueue | None:
        return self.queues.get(name)

    def _capacity_error(self, name: str, targets: list[TargetView]) -> _NoCapacityError:
        queue = self.queues.get(name)
        if queue is None:
            queue = self.queues[name] = WaitQueue()
        return _NoCapacityError(queue, [self.targets.states[target.target_id] for target in targets])

    def _check_queue_limits(self, error: _NoCapacityError, remaining: float, now: float) -> None:
        """Raise ``NotRunError`` when the queue is full or its estimated wait exceeds ``remaining``."""
        warm = [state for state in error.states if not self.targets.needs_permit(state.view, now)]
        if not warm:
            if len(error.queue) >= MAX_PERMIT_QUEUE_LENGTH:
                raise NotRunError("too many requests wait for permits of a cold target", "retry later")
            return
        limit = sum(state.limit.value for state in warm)
        latency = max(state.latency.recent(now) for state in warm)
        if len(error.queue) >= sum(state.limit.max_queue() for state in warm):
            raise NotRunError("the queue of the target is full", "retry later")
        if estimated_wait(len(error.queue), latency, limit) > remaining:
            raise NotRunError("the estimated wait for the target exceeds the deadline", "retry later")

    def _choose(
        self,
        exchange: Exchange,
        table: RoutingTable,
        tried: set[str],
        has_waited: bool,
        reason: str,
        now: float,
    ) -> Attempt:
        service = table.services.get(exchange.service.name)
        if service is None:
            raise NotRunError(f"service {exchange.service.name!r} was removed", "check the tickets")
        if exchange.is_keyed:
            return self._choose_owner(exchange, table, service, has_waited, reason, now)
        return self._choose_pooled(exchange, table, service, tried, has_waited, reason, now)

    def _choose_owner(
        self,
        exchange: Exchange,
        table: RoutingTable,
        service: ServiceView,
        has_waited: bool,
        reason: str,
        now: float,
    ) -> Attempt:
        if service.kind != "keyed":
            raise NotRunError(f"service {service.name!r} is no longer keyed", "retry")
        route = table.shard_owner(service, exchange.key_hash)
        target = route.target
        if target is None or target.phase == "lost":
            raise _NoCapacityError(None, [])
        queue_name = f"{service.name}/{target.target_id}"
        if self.targets.has_capacity(target, now) and (has_waited or not self._find_queue(queue_name)):
            return self._register(exchange, table, target, reason or "owner", now, route.shard, route.fence)
        if self.targets.needs_permit(target, now):
            forwarded = self._forward(exchange, table, target, now)
            if forwarded is not None:
                return forwarded
        raise self._capacity_error(queue_name, [target])

    def _choose_pooled(
        self,
        exchange: Exchange,
        table: RoutingTable,
        service: ServiceView,
        tried: set[str],
        has_waited: bool,
        reason: str,
        now: float,
    ) -> Attempt:
        pool = table.pools[service.name]
        if not pool:
            raise _NoCapacityError(None, [])
        if has_waited or not self._find_queue(service.name):
            available = [target for target in pool if self.targets.has_capacity(target, now)]
            untried = (
                [target for target in available if target.target_id not in tried] if tried else available
            )
            if untried or available:
                target = self._choose_target(untried or available, now)
                return self._register(exchange, table, target, reason or "pooled", now)
        if all(self.targets.needs_permit(target, now) for target in pool):
            forwarded = self._forward(exchange, table, random.choice(pool), now)
            if forwarded is not None:
                return forwarded
        raise self._capacity_error(service.name, list(pool))

    def _choose_target(self, candidates: list[TargetView], now: float) -> TargetView:
        """Return one of ``candidates``.

        A cold target is slow, so the chooser would avoid it, but only requests make it warm. A fixed share of
        requests is therefore sent to cold targets.
        """
        cold = [target for target in candidates if self.targets.needs_permit(target, now)]
        if cold and (len(cold) == len(candidates) or random.random() < COLD_REQUEST_SHARE):
            return random.choice(cold)
        return self.chooser.choose(candidates, now)

    def _forward(
        self, exchange: Exchange, table: RoutingTable, target: TargetView, now: float
    ) -> Attempt | None:
        """Return an attempt through another entry that holds permits for the cold target, if there is one."""
        if exchange.is_forwarded:
            return None
        holders = [
            entry_id
            for entry_id in table.view.permit_holders.get(target.target_id, ())
            if entry_id != self.entry_id and entry_id in table.entries
        ]
        if not holders:
            return None
        holder = random.choice(holders)
        self.log.decision(exchange.service.name, exchange.key_hash, holder, "permit holder", 0, table.version)
        attempt = Attempt(
            exchange, target.target_id, table.entries[holder], target.incarnation, table.version
        )
        self.in_flight.add(attempt)
        return attempt

    def _register(
        self,
        exchange: Exchange,
        table: RoutingTable,
        target: TargetView,
        reason: str,
        now: float,
        shard: int = -1,
        fence: int = 0,
    ) -> Attempt:
        self.log.decision(
            exchange.service.name, exchange.key_hash, target.target_id, reason, fence, table.version
        )
        attempt = Attempt(
            exchange, target.target_id, target.address, target.incarnation, table.version, shard, fence
        )
        self.counts.record(exchange.service.name, exchange.key_hash, shard)
        attempt.state = self.targets.begin_request(target.target_id, attempt, now)
        self.in_flight.add(attempt)
        return attempt
