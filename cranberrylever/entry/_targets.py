"""Per-target state at this entry: outstanding requests, latency, limits, permits and cold marks."""

import attrs

from cranberrylever.invariants import check
from cranberrylever.limits import AdaptiveLimit, ColdMarks, LatencyJump, TargetLatency
from cranberrylever.routing import RoutingTable, TargetView
from cranberrylever.wire import TargetLoad

MIN_WEIGHT = 0.001
"""Lower bound of a target's weight in the estimated wait, which is divided by the weight."""


@attrs.define(eq=False)
class TargetState:
    """State of one incarnation of a target at this entry.

    ``started_at`` maps each attempt without a response to its start in loop time. ``requests`` counts the
    requests since the last report.
    """

    view: TargetView
    limit: AdaptiveLimit
    latency: TargetLatency = attrs.field(factory=TargetLatency)
    latency_jump: LatencyJump = attrs.field(factory=LatencyJump)
    started_at: dict[object, float] = attrs.field(factory=dict)
    outstanding: int = 0
    requests: int = 0

    def expected_latency(self, now: float) -> float:
        """Return the recent latency, or the age of the oldest unanswered request when that is greater.

        The age reveals a target that has become slow before its first slow response arrives.
        """
        recent = self.latency.recent(now)
        if not self.started_at:
            return recent
        return max(recent, now - next(iter(self.started_at.values())))

    def estimated_wait(self, now: float) -> float:
        """Return the expected seconds until the response to one more request."""
        return (self.outstanding + 1) * self.expected_latency(now) / max(self.view.weight, MIN_WEIGHT)


class TargetStates:
    """States of all targets in the view.

    Args:
        mark_lifetime: Seconds after which a cold mark without confirmation by a view expires.
    """

    def __init__(self, mark_lifetime: float) -> None:
        self.states: dict[str, TargetState] = {}
        self.permits: dict[str, int] = {}
        self.cold_marks = ColdMarks(mark_lifetime)

    def apply_view(self, table: RoutingTable) -> None:
        """Apply the targets of a new view; a new incarnation starts with a new state."""
        states: dict[str, TargetState] = {}
        entries = max(1, len(table.entries))
        for target_id, view in table.targets.items():
            state = self.states.get(target_id)
            if state is None or state.view.incarnation != view.incarnation:
                state = TargetState(view, AdaptiveLimit(view.slots, view.connections))
            # The limits of all entries together must not exceed the connections that the target accepts.
            state.limit.set_maximum(view.connections // entries)
            if view.phase == "cold":
                self.cold_marks.confirm(target_id)
            state.view = view
            states[target_id] = state
        self.states = states

    def needs_permit(self, target: TargetView, now: float) -> bool:
        """Return whether requests to the target need a permit."""
        return target.phase == "cold" or self.cold_marks.appears_cold(target.target_id, now)

    def has_capacity(self, target: TargetView, now: float) -> bool:
        """Return whether one more request may be sent to the target now."""
        state = self.states[target.target_id]
        if self.needs_permit(target, now):
            return state.outstanding < self.permits.get(target.target_id, 0)
        return state.outstanding < state.limit.value

    def exceeds_permits(self, state: TargetState, now: float) -> bool:
        """Return whether a cold target has more outstanding requests than this entry has permits for."""
        if not self.needs_permit(state.view, now):
            return False
        return state.outstanding > self.permits.get(state.view.target_id, 0)

    def begin_request(self, target_id: str, attempt: object, now: float) -> TargetState:
        """Count a request that is about to be sent and return the state of its target."""
        state = self.states[target_id]
        state.outstanding += 1
        state.requests += 1
        state.started_at[attempt] = now
        return state

    def record_response(self, state: TargetState, attempt: object, now: float) -> bool:
        """Record the latency of a response.

        Returns:
            Whether the target was newly marked as cold because of a lasting jump in latency.
        """
        started = state.started_at.pop(attempt, None)
        if started is None:
            return False
        latency = now - started
        state.latency.record(latency, now)
        baseline = state.latency.baseline
        state.limit.record_answer(latency, baseline, state.outstanding, now)
        if state.view.phase == "warm" and state.latency_jump.observe(
            latency, baseline, state.latency.samples, now
        ):
            state.latency_jump.since = None
            return self.cold_marks.mark(state.view.target_id, state.view.incarnation, now)
        return False

    def record_cancellation(self, state: TargetState, attempt: object, now: float) -> None:
        """Record the age of a cancelled request as a lower bound of its latency.

        A hedge cancels the slow attempt, so the latency of a straggler would otherwise never be recorded.
        """
        started = state.started_at.pop(attempt, None)
        if started is not None and now - started > state.latency.baseline:
            state.latency.record(now - started, now)

    def end_request(self, state: TargetState, attempt: object) -> None:
        """Remove a request that has ended from the counts."""
        state.started_at.pop(attempt, None)
        state.outstanding -= 1
        check(
            state.outstanding >= 0,
            f"outstanding requests of target {state.view.target_id} are negative: {state.outstanding}",
        )

    def take_loads(self, waiting: dict[str, int], now: float) -> tuple[TargetLoad, ...]:
        """Return the loads for a report and reset the request counts.

        Args:
            waiting: Requests per target that wait for permits; control allocates permits by demand.
            now: Loop time.
        """
        loads = []
        for target_id, state in self.states.items():
            cold = self.cold_marks.appears_cold(target_id, now)
            requests = state.requests + waiting.get(target_id, 0)
            if requests or state.outstanding or cold:
                latency_ms = state.latency.recent(now) * 1000
                load = TargetLoad(
                    target_id, state.view.incarnation, state.outstanding, requests, latency_ms, cold
                )
                loads.append(load)
                state.requests = 0
        return tuple(loads)

    def used_permits(self, now: float) -> dict[str, int]:
        """Return the outstanding requests at each target that needs permits."""
        return {
            target_id: state.outstanding
            for target_id, state in self.states.items()
            if state.outstanding and self.needs_permit(state.view, now)
        }
