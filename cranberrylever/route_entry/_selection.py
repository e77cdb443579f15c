"""Selection of the target for a request: waits for the owner of its key and for permits, or refuses it."""

import asyncio
import itertools

from cranberrylever.change_signal import wait_for_any
from cranberrylever.route_entry._admission import (
    MIN_RETRY_AFTER_S,
    AdmissionDecision,
    AdmissionRequest,
    Verdict,
    admit,
)
from cranberrylever.route_entry._choice import PooledChooser, candidate_count
from cranberrylever.route_entry._dispatch_state import DispatchState
from cranberrylever.route_entry._estimates import DispatchEstimate, ServiceTimeEstimator
from cranberrylever.route_entry._permit_gate import PermitGate
from cranberrylever.route_entry._request import RoutedRequest, raise_failure
from cranberrylever.route_entry._target_bodies import MAX_ROOM_WAIT_S, MIN_ROOM_WAIT_S, TargetBodies
from cranberrylever.route_entry._view import EntryView, TargetState

MAX_OWNER_WAIT_S = 0.6
"""Longest time that a request waits for a target to serve its key; a planned move takes less."""

OWNER_RECOVERY_TIME_S = 3.5
"""Time within which the keys of a lost target get another owner: its lease and the steps after it."""

MIN_OWNER_RETRY_AFTER_S = 0.2
"""Shortest delay after which a caller may retry a request whose key no target serves."""

MAX_WAIT_SHARE = 0.5
"""Limit on the wait for an owner or a permit, as a share of the request's remaining time."""

MAX_PERMIT_WAIT_S = 0.3
"""Longest time that a request waits for a permit."""

PERMIT_CHECK_INTERVAL_S = 0.01
"""Shortest time between two checks of a waiting request for a permit."""


class TargetSelector:
    """Selects targets by the view in force, their load and the permits for them.

    Args:
        view: The view in force.
        permits: Permits for targets in cold start or with a rate limit.
        chooser: Chooses among the targets of a pooled service.
        service_times: Expected service times by route.
        bodies: Bytes of request bodies at targets.
    """

    def __init__(
        self,
        view: EntryView,
        permits: PermitGate,
        chooser: PooledChooser,
        service_times: ServiceTimeEstimator,
        bodies: TargetBodies,
    ) -> None:
        self.view = view
        self.permits = permits
        self.chooser = chooser
        self.service_times = service_times
        self.bodies = bodies

    async def select(self, request: RoutedRequest, state: DispatchState) -> TargetState:
        """Return the target to which the request is sent now.

        Raises:
            RefusedError: No target is available in time, and no earlier attempt has run.
            OutcomeUnknownError: No target is available in time, and an earlier attempt may have run.
        """
        while True:
            target = await self._choose_target(request, state)
            if not self._has_room(request, target):
                await self._wait_for_room(request, state)
                continue
            now = _now()
            request.estimate = self._estimate(request, target, now)
            decision = self._admit(request, target, request.estimate, now)
            if decision.verdict is Verdict.REFUSE and request.key is None:
                other_target = self._find_other_target(request, state, now)
                if other_target is not None:
                    target, decision = other_target, AdmissionDecision(Verdict.SEND)
                    request.estimate = self._estimate(request, target, now)
            if decision.verdict is Verdict.REFUSE:
                raise_failure(request, f"{decision.reason} ({target.info.target_id})", decision.delay)
            if decision.verdict is Verdict.SEND and self.permits.try_acquire(target, now):
                return target
            await self._wait_for_permit(request, target, decision.delay, state)

    def _admit(
        self, request: RoutedRequest, target: TargetState, estimate: DispatchEstimate, now: float
    ) -> AdmissionDecision:
        """Decide on the request for a target by the estimates for it."""
        return admit(
            AdmissionRequest(
                request.priority,
                request.route.objective,
                request.remaining(now),
                estimate.queue_time,
                estimate.completion_time,
                self.permits.delay(target, now),
                self.permits.reason(target),
                request.is_caller_retry,
                estimate.service_time,
            )
        )

    def _estimate(self, request: RoutedRequest, target: TargetState, now: float) -> DispatchEstimate:
        return target.estimate.dispatch_estimate(self.service_times.expected(request.route.name), now)

    def _find_other_target(
        self, request: RoutedRequest, state: DispatchState, now: float
    ) -> TargetState | None:
        """Return a target that can serve a request which the chosen one cannot, ``None`` without one.

        The chosen one has the least cost of a few candidates only. The search ends with as many targets, so
        that it is short unless all are full.
        """
        targets = self._awake_targets(request, state, now)
        found = itertools.islice(
            (target for target in self.chooser.shuffled(targets) if self._can_serve(request, target, now)),
            candidate_count(self.view.entries),
        )
        service_time = self.service_times.expected(request.route.name)
        candidates = list(found)
        return self.chooser.choose(candidates, self.view.entries, service_time, now) if candidates else None

    def _can_serve(self, request: RoutedRequest, target: TargetState, now: float) -> bool:
        """Return whether a target has a free slot or admits the request, and answers it in time."""
        estimate = self._estimate(request, target, now)
        if self.permits.delay(target, now) > 0 or estimate.completion_time > request.remaining(now):
            return False
        if target.estimate.expected_load(now) < target.estimate.slots:
            return True
        return self._admit(request, target, estimate, now).verdict is Verdict.SEND

    async def _choose_target(self, request: RoutedRequest, state: DispatchState) -> TargetState:
        if request.key is not None:
            return await self._wait_for_owner(request)
        now = _now()
        awake = self._awake_targets(request, state, now)
        if state.permit_target in awake and self.permits.delay(state.permit_target, now) == 0.0:
            # A permit that came for this request would expire unused if it went elsewhere.
            return state.permit_target
        service_time = self.service_times.expected(request.route.name)
        return self.chooser.choose(awake, self.view.entries, service_time, now)

    def _awake_targets(self, request: RoutedRequest, state: DispatchState, now: float) -> list[TargetState]:
        """Return the targets that may get the request now.

        Those that were not tried go before others, then those with room for its body.
        """
        candidates = self.view.usable_targets(request.service.name)
        untried = [target for target in candidates if target.info.target_id not in state.excluded_targets]
        if not (untried or candidates):
            raise_failure(request, "the service has no usable target", 0.5)
        awake = [target for target in untried or candidates if not target.is_resting(now)]
        if not awake:
            rest_end = min(target.rests_until for target in untried or candidates)
            raise_failure(request, "all targets of the service asked for a pause", rest_end - now)
        return [target for target in awake if self._has_room(request, target)] or awake

    async def _wait_for_owner(self, request: RoutedRequest) -> TargetState:
        """Return the owner of the request's key; wait briefly while the key moves."""
        now = _now()
        max_wait = min(MAX_OWNER_WAIT_S, MAX_WAIT_SHARE * request.remaining(now))
        while True:
            current_time = _now()
            target = self.view.owner(request.service.name, request.key, current_time)
            if target is not None:
                if target.is_resting(current_time):
                    reason = f"the owner of the key asked for a pause ({target.info.target_id})"
                    raise_failure(request, reason, target.rests_until - current_time)
                return target
            unserved_since = self.view.unserved_since(request.service.name, request.key)
            wait_until = min(now + max_wait, unserved_since + MAX_OWNER_WAIT_S)
            if current_time >= wait_until:
                recovery_time = unserved_since + OWNER_RECOVERY_TIME_S - current_time
                retry_after = max(MIN_OWNER_RETRY_AFTER_S, recovery_time)
                raise_failure(request, "no target serves the key at present", retry_after)
            await self.view.changed.wait(wait_until - current_time)

    def _has_room(self, request: RoutedRequest, target: TargetState) -> bool:
        """Return whether this entry may have the body of the request at the target beside others."""
        if not request.route.large_bodies:
            return True
        return self.bodies.has_room(target.info.incarnation, len(request.body), self.view.entries)

    async def _wait_for_room(self, request: RoutedRequest, state: DispatchState) -> None:
        """Wait until a large body has ended or the view changes; refuse this request after too long."""
        now = _now()
        if state.room_deadline is None:
            state.room_deadline = now + min(MAX_ROOM_WAIT_S, MAX_WAIT_SHARE * request.remaining(now))
        wait_time = state.room_deadline - now
        if wait_time < MIN_ROOM_WAIT_S:
            reason = "this entry has as many bytes of request bodies at the service's targets as it may"
            retry_after = max(MIN_RETRY_AFTER_S, self.service_times.expected(request.route.name))
            raise_failure(request, reason, retry_after)
        await wait_for_any((self.bodies.released, self.view.changed), wait_time)

    async def _wait_for_permit(
        self, request: RoutedRequest, target: TargetState, delay: float, state: DispatchState
    ) -> None:
        now = _now()
        if state.permit_deadline is None:
            state.permit_deadline = now + min(MAX_PERMIT_WAIT_S, MAX_WAIT_SHARE * request.remaining(now))
        if now >= state.permit_deadline:
            reason = f"{self.permits.reason(target)} ({target.info.target_id})"
            raise_failure(request, reason, max(delay, MIN_RETRY_AFTER_S))
        state.permit_target = target
        with self.permits.waiting(target, request.service, now):
            await self.view.changed.wait(max(delay, PERMIT_CHECK_INTERVAL_S))


def _now() -> float:
    return asyncio.get_running_loop().time()
