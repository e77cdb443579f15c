"""Acceptance of route plans: each names the plan that it builds on."""

import attrs

from cranberrylever.route_plan._plan import RoutePlan
from cranberrylever.route_plan._rules import plan_problem


@attrs.frozen
class PlanOutcome:
    """Answer to a submitted plan; ``conflict`` tells that another plan than its base is in force."""

    accepted: bool
    repeated: bool = False
    conflict: bool = False
    error: str = ""
    remedy: str = ""


@attrs.frozen
class PlanRegistryRecord:
    """Snapshot form of ``PlanRegistry``."""

    current: RoutePlan | None
    digests: tuple[str, ...]


class PlanRegistry:
    """The plan in force and the digests of all plans that were accepted."""

    def __init__(self, record: PlanRegistryRecord | None = None) -> None:
        self.current = record.current if record else None
        self.digests = set(record.digests) if record else set()

    @property
    def number(self) -> int:
        """Number of the plan in force, 0 before the first."""
        return self.current.number if self.current else 0

    def check(self, plan: RoutePlan, base: int) -> PlanOutcome | None:
        """Return the answer to a plan that changes nothing, or ``None`` when it can be accepted."""
        if plan.digest in self.digests:
            return PlanOutcome(True, repeated=True)
        problem = plan_problem(plan)
        if problem is not None:
            return PlanOutcome(False, error=problem.message, remedy=problem.remedy)
        if base != self.number:
            return PlanOutcome(
                False,
                conflict=True,
                error=f"the plan builds on {base}, but {self.number} is in force",
                remedy="read the plan in force and build on it",
            )
        if plan.number <= self.number:
            return PlanOutcome(
                False,
                error=f"number {plan.number} is not above {self.number}, which is in force",
                remedy=f"use a number above {self.number}",
            )
        return None

    def accept(self, plan: RoutePlan, base: int) -> PlanOutcome:
        """Put a plan in force unless a rule forbids it.

        Args:
            plan: The whole new configuration.
            base: Number of the plan that it was made from, 0 for the first.
        """
        outcome = self.check(plan, base)
        if outcome is not None:
            return outcome
        self.current = plan
        self.digests.add(plan.digest)
        return PlanOutcome(True)

    def to_record(self) -> PlanRegistryRecord:
        """Return the content for a snapshot."""
        return PlanRegistryRecord(self.current, tuple(sorted(self.digests)))
