"""Finds a target with room for a request, or lets the request wait for one."""

import asyncio
import random

from cranberrylever.entry._exchange import Attempt, Exchange
from cranberrylever.entry._inflight import InFlight
from cranberrylever.entry._queues import WaitQueue
from cranberrylever.entry._reports import RequestCounts
from cranberrylever.entry._targets import TargetStates
from cranberrylever.entry._views import ViewStore
from cranberrylever.errors import NotRunError
from cranberrylever.limits import estimated_wait
from cranberrylever.logs import Log
from cranberrylever.routing import LeastWait, RoutingTable, ServiceView, TargetView

MAX_PERMIT_QUEUE = 256
"""Requests that may wait for permits of one target or service."""


COLD_SHARE = 0.5
"""Share of pooled requests that go to a target in cold start while there is a free permit for it."""


class _NoRoomError(Exception):
    """No target has room now; the request may wait in ``queue``, or for a view when that is ``None``."""

    def __init__(self, queue: WaitQueue | None, states: list) -> None:  # noqa: ANN001
        super().__init__()
        self.queue = queue
        self.states = states


class Admission:
    """Applies routing, limits and permits to each attempt.

    Args:
        entry_id: Id of this entry, which is no permit holder to forward to.
        views: The view in force.
        targets: States of the targets.
        in_flight: Where attempts are registered in the same step as their look-up.
        counts: Counts for the reports to control.
        log: Program log.
    """

    def __init__(
        self,
        entry_id: str,
        views: ViewStore,
        targets: TargetStates,
        in_flight: InFlight,
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
        """Return a registered attempt; the caller must ``release`` it.

        Args:
            exchange: The request.
            tried: Targets that are avoided while another has room.
            reason: Reason for the decision log, when it is not the first attempt.

        Raises:
            NotRunError: No target can take the request before its deadline.
        """
        loop = asyncio.get_running_loop()
        had_turn = False
        at_front = False
        while True:
            now = loop.time()
            if now >= exchange.deadline:
                raise NotRunError("no target could take the request before its deadline", "retry later")
            table = self.views.current(now)
            try:
                return self._choose(exchange, table, tried, had_turn, reason, now)
            except _NoRoomError as wait:
                remaining = exchange.deadline - now
                if wait.queue is None:
                    await self.views.wait_for_change(remaining)
                    continue
                if not had_turn:
                    self._refuse_early(wait, remaining, now)
                at_front = await wait.queue.wait(remaining, at_front)
                had_turn = True

    def try_acquire(self, exchange: Exchange, tried: set[str], reason: str) -> Attempt | None:
        """Return a registered attempt at a target that is not in ``tried``, or ``None`` without waiting."""
        now = asyncio.get_running_loop().time()
        if not self.views.is_valid(now):
            return None
        table = self.views.current(now)
        service = table.services.get(exchange.service.name)
        if service is None or self._queue(service.name):
            return None
        candidates = [
            target
            for target in table.pools[service.name]
            if target.target_id not in tried
            and not self.targets.needs_permit(target, now)
            and self.targets.has_room(target, now)
        ]
        if not candidates:
            return None
        target = self.chooser.choose(candidates, now)
        return self._register(exchange, table, target, reason, now)

    def release(self, attempt: Attempt) -> bool:
        """Note that an attempt is over; returns whether the settled version may have advanced."""
        if attempt.finished:
            return False
        attempt.finished = True
        state = attempt.state
        if state is not None:
            self.targets.end(state, attempt)
            self._wake_for(state)
        return self.in_flight.remove(attempt)

    def waiting_for_permits(self, now: float) -> dict[str, int]:
        """Return the requests that wait for permits, per target."""
        waiting = {}
        for target_id, state in self.targets.states.items():
            queue = self.queues.get(state.view.service) or self.queues.get(
                f"{state.view.service}/{target_id}"
            )
            if queue and self.targets.needs_permit(state.view, now):
                waiting[target_id] = len(queue)
        return waiting

    def wake_all(self) -> None:
        """Let all waiting requests try again, after a change of view, permits or marks."""
        for queue in self.queues.values():
            queue.wake_all()

    def waiting(self) -> int:
        """Return the number of requests in queues."""
        return sum(len(queue) for queue in self.queues.values())

    def _wake_for(self, state) -> None:  # noqa: ANN001
        if not self.queues:
            return
        room = max(1, state.limit.value - state.outstanding)
        for name in (state.view.service, f"{state.view.service}/{state.view.target_id}"):
            queue = self.queues.get(name)
            if queue is not None:
                queue.wake(room)
                if not queue:
                    del self.queues[name]

    def _queue(self, name: str) -> WaitQueue | None:
        return self.queues.get(name)

    def _no_room(self, name: str, targets: list[TargetView]) -> _NoRoomError:
        queue = self.queues.get(name)
        if queue is None:
            queue = self.queues[name] = WaitQueue()
        return _NoRoomError(queue, [self.targets.states[target.target_id] for target in targets])

    def _refuse_early(self, wait: _NoRoomError, remaining: float, now: float) -> None:
        """Refuse a request that would wait in vain."""
        warm = [state for state in wait.states if not self.targets.needs_permit(state.view, now)]
        if not warm:
            if len(wait.queue) >= MAX_PERMIT_QUEUE:
                raise NotRunError("too many requests wait for a target in cold start", "retry later")
            return
        limit = sum(state.limit.value for state in warm)
        latency = max(state.latency.recent(now) for state in warm)
        if len(wait.queue) >= sum(state.limit.max_queue() for state in warm):
            raise NotRunError("the queue of the target is full", "retry later")
        if estimated_wait(len(wait.queue), latency, limit) > remaining:
            raise NotRunError("the queue of the target is longer than the deadline", "retry later")

    def _choose(
        self,
        exchange: Exchange,
        table: RoutingTable,
        tried: set[str],
        had_turn: bool,
        reason: str,
        now: float,
    ) -> Attempt:
        service = table.services.get(exchange.service.name)
        if service is None:
            raise NotRunError(f"service {exchange.service.name!r} was removed", "check the tickets")
        if exchange.is_keyed:
            return self._choose_owner(exchange, table, service, had_turn, reason, now)
        return self._choose_pooled(exchange, table, service, tried, had_turn, reason, now)

    def _choose_owner(
        self,
        exchange: Exchange,
        table: RoutingTable,
        service: ServiceView,
        had_turn: bool,
        reason: str,
        now: float,
    ) -> Attempt:
        if service.kind != "keyed":
            raise NotRunError(f"service {service.name!r} is no longer keyed", "retry")
        route = table.keyed_route(service, exchange.key_hash)
        target = route.target
        if target is None or target.phase == "lost":
            raise _NoRoomError(None, [])
        queue_name = f"{service.name}/{target.target_id}"
        if self.targets.has_room(target, now) and (had_turn or not self._queue(queue_name)):
            return self._register(exchange, table, target, reason or "owner", now, route.shard, route.fence)
        if self.targets.needs_permit(target, now):
            forwarded = self._forward(exchange, table, target, now)
            if forwarded is not None:
                return forwarded
        raise self._no_room(queue_name, [target])

    def _choose_pooled(
        self,
        exchange: Exchange,
        table: RoutingTable,
        service: ServiceView,
        tried: set[str],
        had_turn: bool,
        reason: str,
        now: float,
    ) -> Attempt:
        pool = table.pools[service.name]
        if not pool:
            raise _NoRoomError(None, [])
        if had_turn or not self._queue(service.name):
            roomy = [target for target in pool if self.targets.has_room(target, now)]
            fresh = [target for target in roomy if target.target_id not in tried] if tried else roomy
            if fresh or roomy:
                target = self._choose_among(fresh or roomy, now)
                return self._register(exchange, table, target, reason or "pooled", now)
        if all(self.targets.needs_permit(target, now) for target in pool):
            forwarded = self._forward(exchange, table, random.choice(pool), now)
            if forwarded is not None:
                return forwarded
        raise self._no_room(service.name, list(pool))

    def _choose_among(self, candidates: list[TargetView], now: float) -> TargetView:
        """Return a target with room.

        A target in cold start is slow and would be avoided, but it becomes warm only by work.
        """
        cold = [target for target in candidates if self.targets.needs_permit(target, now)]
        if cold and (len(cold) == len(candidates) or random.random() < COLD_SHARE):
            return random.choice(cold)
        return self.chooser.choose(candidates, now)

    def _forward(
        self, exchange: Exchange, table: RoutingTable, target: TargetView, now: float
    ) -> Attempt | None:
        """Return an attempt through another entry that holds permits for a cold target."""
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
        attempt.state = self.targets.begin(target.target_id, attempt, now)
        self.in_flight.add(attempt)
        return attempt
