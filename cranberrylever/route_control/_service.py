"""What operators and targets ask of a control member that steers routes."""

import abc
import asyncio

from cranberrylever.consensus import RaftDriver
from cranberrylever.errors import NotLeaderError
from cranberrylever.logs import Log
from cranberrylever.metrics import Metrics
from cranberrylever.route_control._commands import (
    EndTarget,
    RecordTarget,
    RouteControlCommand,
    SetDomainState,
    SubmitPlan,
)
from cranberrylever.route_control._leader import RouteControlLeader
from cranberrylever.route_control._state import RouteControlState
from cranberrylever.route_plan import PlanOutcome, RoutePlan
from cranberrylever.target_registry import TargetAnnouncement


class RouteControlService(abc.ABC):
    """Orders of operators and notices of targets.

    Each method raises ``NotLeaderError`` on a member that does not lead, and ``ProposalLostError`` when the
    outcome of a change is not known.
    """

    @abc.abstractmethod
    async def notice(self, notice: TargetAnnouncement) -> None:
        """Take over what a target says about itself; it holds once this returns."""

    @abc.abstractmethod
    async def leave(self, target_id: str, started_ms: int | None) -> None:
        """Note that a life of a target ends; ``None`` stands for its present life."""

    @abc.abstractmethod
    async def submit_plan(self, plan: RoutePlan, base: int) -> PlanOutcome:
        """Put a plan in force, or say why not."""

    @abc.abstractmethod
    async def plan(self) -> RoutePlan | None:
        """Return the newest plan in force, ``None`` before the first; a majority has confirmed it."""

    @abc.abstractmethod
    async def set_domain(self, failure_domain: str, withdrawn: bool) -> None:
        """Withdraw a failure domain, or restore it."""


class LeaderRouteControlService(RouteControlService):
    """The service of one control member.

    Args:
        driver: Consensus driver.
        leader: Duties of the leader.
        state: The replicated state.
        metrics: Metrics of the process.
        log: Program log.
    """

    def __init__(
        self,
        driver: RaftDriver,
        leader: RouteControlLeader,
        state: RouteControlState,
        metrics: Metrics,
        log: Log,
    ) -> None:
        self.driver = driver
        self.leader = leader
        self.state = state
        self.metrics = metrics
        self.log = log

    async def notice(self, notice: TargetAnnouncement) -> None:
        """Take over a notice; one that says nothing new costs no log entry."""
        self._check_leader()
        self.metrics.count("notices")
        is_latest = self.leader.liveness.is_latest(notice)
        self.leader.record_announcement(notice)
        if is_latest and self.state.fleet.is_change(notice):
            self.log.info(
                "target_recorded",
                target=notice.target_id,
                started_ms=notice.started_ms,
                service=notice.service,
                address=notice.address,
                draining=notice.draining,
                sequence=notice.sequence,
            )
            await self._commit(RecordTarget(notice))

    async def leave(self, target_id: str, started_ms: int | None) -> None:
        """Note that a target ends."""
        self._check_leader()
        target = self.state.fleet.targets.get(target_id)
        if target is None or started_ms not in (None, target.started_ms):
            return
        self.log.info("target_leaves", target=target_id, started_ms=target.started_ms)
        await self._commit(EndTarget(*target.incarnation))

    async def submit_plan(self, plan: RoutePlan, base: int) -> PlanOutcome:
        """Put a plan in force, or say why not."""
        self._check_leader()
        outcome = await self._commit(SubmitPlan(plan, base))
        self.log.info(
            "plan_submitted",
            number=plan.number,
            base=base,
            digest=plan.digest,
            accepted=outcome.accepted,
            repeated=outcome.repeated,
            error=outcome.error,
        )
        return outcome

    async def plan(self) -> RoutePlan | None:
        """Return the newest plan in force."""
        self._check_leader()
        await self.driver.barrier()
        return self.state.plans.current

    async def set_domain(self, failure_domain: str, withdrawn: bool) -> None:
        """Withdraw a failure domain, or restore it; an order that changes nothing is confirmed as well."""
        self._check_leader()
        await self._commit(SetDomainState(failure_domain, withdrawn))
        self.log.info("domain_set", failure_domain=failure_domain, withdrawn=withdrawn)

    async def _commit(self, command: RouteControlCommand) -> object:
        """Commit a command and note how long that took."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        self.metrics.count("commands")
        result = await self.leader.propose(command)
        self.metrics.timing("commit_ms", (loop.time() - started) * 1000)
        return result

    def _check_leader(self) -> None:
        if not self.leader.is_serving():
            raise NotLeaderError(self.driver.leader_id)
