"""Acceptance of route plans; each names the plan that it is based on."""

import attrs

from cranberrylever.route_plan._changes import share_routes
from cranberrylever.route_plan._plan import RoutePlan
from cranberrylever.route_plan._rules import plan_problem


@attrs.frozen
class PlanOutcome:
    """Answer to a submitted plan; ``conflict`` is set when the plan in force is not its base."""

    accepted: bool
    repeated: bool = False
    conflict: bool = False
    error: str = ""
    remedy: str = ""


@attrs.frozen
class PlanRegistryRecord:
    """Content of a ``PlanRegistry`` in a snapshot."""

    current: RoutePlan | None
    digests: tuple[str, ...]


class PlanRegistry:
    """The plan in force and the digests of all accepted plans.

    The digests identify plans that are submitted again because their acknowledgement was lost.
    """

    def __init__(self, record: PlanRegistryRecord | None = None) -> None:
        self.current = record.current if record else None
        self.digests = set(record.digests) if record else set()

    @property
    def number(self) -> int:
        """Number of the plan in force, 0 before the first one."""
        return self.current.number if self.current else 0

    def check(self, plan: RoutePlan, base: int) -> PlanOutcome | None:
        """Return the answer to a repeated or rejected plan, or ``None`` when the plan can be accepted."""
        if plan.digest in self.digests:
            return PlanOutcome(True, repeated=True)
        problem = plan_problem(plan)
        if problem is not None:
            return PlanOutcome(False, error=problem.message, remedy=problem.remedy)
        if base != self.number:
            return PlanOutcome(
                False,
                conflict=True,
                error=f"the plan is based on plan {base}, but plan {self.number} is in force",
                remedy="read the plan in force and base the change on it",
            )
        if plan.number <= self.number:
            return PlanOutcome(
                False,
                error=f"plan number {plan.number} is not above {self.number}, which is in force",
                remedy=f"use a number above {self.number}",
            )
        return None

    def accept(self, plan: RoutePlan, base: int) -> PlanOutcome:
        """Put a plan in force unless it is repeated or rejected.

        Args:
            plan: The complete new configuration.
            base: Number of the plan that it is based on, 0 for the first one.
        """
        outcome = self.check(plan, base)
        if outcome is not None:
            return outcome
        self.current = share_routes(self.current, plan)
        self.digests.add(plan.digest)
        return PlanOutcome(True)

    def to_record(self) -> PlanRegistryRecord:
        """Return the content for a snapshot."""
        return PlanRegistryRecord(self.current, tuple(sorted(self.digests)))
