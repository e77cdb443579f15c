"""What this entry knows about each target: outstanding work, latency, limits, permits and cold marks."""

import attrs

from cranberrylever.limits import AdaptiveLimit, ColdMarks, LatencyJump, TargetLatency
from cranberrylever.routing import RoutingTable, TargetView
from cranberrylever.wire import TargetLoad

MIN_WEIGHT = 0.001


@attrs.define(eq=False)
class TargetState:
    """One incarnation of a target as seen from this entry; ``requests`` counts since the last report."""

    view: TargetView
    limit: AdaptiveLimit
    latency: TargetLatency = attrs.field(factory=TargetLatency)
    jump: LatencyJump = attrs.field(factory=LatencyJump)
    starts: dict[object, float] = attrs.field(factory=dict)
    outstanding: int = 0
    requests: int = 0

    def expected_latency(self, now: float) -> float:
        """Return the latency to expect: the recent one, or the age of the oldest request without an answer.

        A target that becomes slow is noticed by the age of its requests before its first slow answer.
        """
        recent = self.latency.recent(now)
        if not self.starts:
            return recent
        return max(recent, now - next(iter(self.starts.values())))

    def estimated_wait(self, now: float) -> float:
        """Return the expected time until one more request would be answered."""
        return (self.outstanding + 1) * self.expected_latency(now) / max(self.view.weight, MIN_WEIGHT)


class TargetStates:
    """States of all targets in the view.

    Args:
        mark_lifetime: Seconds after which an unconfirmed cold mark expires.
    """

    def __init__(self, mark_lifetime: float) -> None:
        self.states: dict[str, TargetState] = {}
        self.permits: dict[str, int] = {}
        self.marks = ColdMarks(mark_lifetime)

    def apply_view(self, table: RoutingTable) -> None:
        """Take over the targets of a new view; a new incarnation starts with a fresh state."""
        states: dict[str, TargetState] = {}
        entries = max(1, len(table.entries))
        for target_id, view in table.targets.items():
            state = self.states.get(target_id)
            if state is None or state.view.incarnation != view.incarnation:
                state = TargetState(view, AdaptiveLimit(view.slots, view.connections))
            # All entries together must not open more connections than the target accepts.
            state.limit.set_maximum(view.connections // entries)
            if view.phase == "cold":
                self.marks.confirm(target_id)
            state.view = view
            states[target_id] = state
        self.states = states

    def needs_permit(self, target: TargetView, now: float) -> bool:
        """Tell whether work for the target needs a permit."""
        return target.phase == "cold" or self.marks.appears_cold(target.target_id, now)

    def has_room(self, target: TargetView, now: float) -> bool:
        """Tell whether one more request may be sent to the target now."""
        state = self.states[target.target_id]
        if self.needs_permit(target, now):
            return state.outstanding < self.permits.get(target.target_id, 0)
        return state.outstanding < state.limit.value

    def exceeds_permits(self, state: TargetState, now: float) -> bool:
        """Tell whether more work is at a target in cold start than this entry has permits for."""
        if not self.needs_permit(state.view, now):
            return False
        return state.outstanding > self.permits.get(state.view.target_id, 0)

    def begin(self, target_id: str, token: object, now: float) -> TargetState:
        """Count a request that is about to be sent."""
        state = self.states[target_id]
        state.outstanding += 1
        state.requests += 1
        state.starts[token] = now
        return state

    def record_answer(self, state: TargetState, token: object, now: float) -> bool:
        """Record the latency of an answer.

        Returns:
            Whether the target newly looks cold, because its latency jumped.
        """
        started = state.starts.pop(token, None)
        if started is None:
            return False
        latency = now - started
        state.latency.record(latency, now)
        baseline = state.latency.baseline
        state.limit.record_answer(latency, baseline, state.outstanding, now)
        if state.view.phase == "warm" and state.jump.observe(latency, baseline, state.latency.samples, now):
            state.jump.since = None
            return self.marks.mark(state.view.target_id, state.view.incarnation, now)
        return False

    def record_abandoned(self, state: TargetState, token: object, now: float) -> None:
        """Record the age of a request that is given up without an answer, as the least latency it had.

        Otherwise the slow answers of a straggler would never be seen, because a hedge replaces them.
        """
        started = state.starts.pop(token, None)
        if started is not None and now - started > state.latency.baseline:
            state.latency.record(now - started, now)

    def end(self, state: TargetState, token: object) -> None:
        """Note that a request is over."""
        state.starts.pop(token, None)
        state.outstanding -= 1

    def take_loads(self, waiting: dict[str, int], now: float) -> tuple[TargetLoad, ...]:
        """Return the loads for a report and start to count again.

        Args:
            waiting: Requests per target that wait for permits; control divides permits by demand.
            now: Loop time.
        """
        loads = []
        for target_id, state in self.states.items():
            cold = self.marks.appears_cold(target_id, now)
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
        """Return the requests at each target that needs permits."""
        return {
            target_id: state.outstanding
            for target_id, state in self.states.items()
            if state.outstanding and self.needs_permit(state.view, now)
        }
