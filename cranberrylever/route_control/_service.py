"""Service of a route control member for operators and targets."""

import abc
import asyncio

from cranberrylever.consensus import RaftDriver
from cranberrylever.errors import NotLeaderError
from cranberrylever.logs import Log
from cranberrylever.metrics import Metrics
from cranberrylever.route_control._announced_grants import MAX_ANSWER_DELAY_S, AnsweredGrants, KeyReport
from cranberrylever.route_control._announcement_relay import AnnouncementBatch, AnnouncementRelay
from cranberrylever.route_control._commands import (
    EndTarget,
    RecordTarget,
    RouteControlCommand,
    SetDomainState,
    SubmitPlan,
)
from cranberrylever.route_control._leader import RouteControlLeader
from cranberrylever.route_control._lease_manager import RELEASE_DELAY_S
from cranberrylever.route_control._state import RouteControlState
from cranberrylever.route_plan import PlanOutcome, RoutePlan
from cranberrylever.target_registry import TargetAnnouncement

MIN_EDIT_WAIT_S = 0.001


class RouteControlService(abc.ABC):
    """Requests of operators and announcements of targets.

    Each method raises ``NotLeaderError`` on a member that does not lead, and ``ProposalLostError`` when the
    outcome of a change is unknown.
    """

    @abc.abstractmethod
    async def announce(
        self, announcement: TargetAnnouncement, report: KeyReport | None = None
    ) -> AnsweredGrants | None:
        """Record an announcement of a target; a change in it is committed once this returns.

        Args:
            announcement: State of the target.
            report: Keys that it holds and has released, ``None`` when it states none.

        Returns:
            The keys that the target is to hold, ``None`` when the answer changes nothing about them.
        """

    @abc.abstractmethod
    def announcement_member(self, target_id: str) -> str:
        """Return the id of the member to which a target should send its later announcements."""

    @abc.abstractmethod
    def record_batch(self, batch: AnnouncementBatch) -> None:
        """Record announcements that a follower took, none of which changes anything."""

    @abc.abstractmethod
    async def deregister(self, target_id: str, started_ms: int | None) -> None:
        """Mark an incarnation of a target as leaving; without ``started_ms`` the current one."""

    @abc.abstractmethod
    async def submit_plan(self, plan: RoutePlan, base: int) -> PlanOutcome:
        """Put a plan in force, or return why it was rejected."""

    @abc.abstractmethod
    async def plan(self) -> RoutePlan | None:
        """Return the plan in force as confirmed by a majority, ``None`` before the first."""

    @abc.abstractmethod
    async def set_domain(self, failure_domain: str, withdrawn: bool) -> None:
        """Withdraw a failure domain, or restore it."""


class LeaderRouteControlService(RouteControlService):
    """Service of one control member that handles calls while it leads.

    Args:
        driver: Consensus driver.
        leader: Leader loop.
        state: The replicated state.
        relay: Passes announcements on while this member follows.
        metrics: Metrics of the process.
        log: Program log.
    """

    def __init__(
        self,
        driver: RaftDriver,
        leader: RouteControlLeader,
        state: RouteControlState,
        relay: AnnouncementRelay,
        metrics: Metrics,
        log: Log,
    ) -> None:
        self.driver = driver
        self.leader = leader
        self.state = state
        self.relay = relay
        self.metrics = metrics
        self.log = log

    async def announce(
        self, announcement: TargetAnnouncement, report: KeyReport | None = None
    ) -> AnsweredGrants | None:
        """Record an announcement; one without changes is not written to the replicated log.

        A follower takes one without changes and without keys, and passes it on to the leader.
        """
        if report is None and not self.leader.is_serving() and self.relay.accept(announcement):
            self.metrics.count("notices_relayed")
            return None
        await self.leader.require_serving()
        self.metrics.count("notices")
        is_latest = self.leader.measurements.liveness.is_latest(announcement)
        self.leader.record_announcement(announcement)
        if is_latest and self.state.fleet.would_change(announcement):
            self.log.info(
                "target_recorded",
                target=announcement.target_id,
                started_ms=announcement.started_ms,
                service=announcement.service,
                address=announcement.address,
                draining=announcement.draining,
                sequence=announcement.sequence,
            )
            await self._commit(RecordTarget(announcement))
        if report is None or not is_latest:
            return None
        return await self._answer_key_report(announcement, report)

    def announcement_member(self, target_id: str) -> str:
        """Return the member that took an announcement, or the one that the leader has chosen."""
        if not self.leader.is_serving():
            return self.driver.config.member_id
        return self.relay.member_for(target_id)

    def record_batch(self, batch: AnnouncementBatch) -> None:
        """Record the announcements in a batch as of when they came."""
        self._check_leader()
        self.metrics.count("notices", len(batch.announcements))
        for relayed in batch.announcements:
            self.leader.record_announcement(relayed.announcement, relayed.age)

    async def _answer_key_report(
        self, announcement: TargetAnnouncement, report: KeyReport
    ) -> AnsweredGrants | None:
        """Record the keys that a target states, and return those that it is to hold.

        A target that is not registered, has sent a later announcement since or gets its keys by calls is
        told nothing.
        """
        leader = self.leader
        target = self.state.fleet.targets.get(announcement.target_id)
        service = leader.service(announcement.service)
        table = self.state.tables.get(announcement.service)
        if target is None or target.started_ms != announcement.started_ms:
            return None
        if service is None or not service.granted_in_answers or table is None:
            return None
        loop = asyncio.get_running_loop()
        leader.granter.record_report(table.ranges, target, report, loop.time())
        answer_by = loop.time() + MAX_ANSWER_DELAY_S
        while loop.time() < answer_by and leader.granter.awaits_edits(table.ranges, target, report):
            await leader.applied.wait(max(MIN_EDIT_WAIT_S, answer_by - loop.time()))
        if leader.granter.end_releasing(table.ranges, target):
            await asyncio.sleep(RELEASE_DELAY_S)
        self._check_leader()
        if not leader.measurements.liveness.is_latest(announcement):
            return None
        return leader.granter.build_answer(table.ranges, target, report, loop.time())

    async def deregister(self, target_id: str, started_ms: int | None) -> None:
        """Mark a target as leaving."""
        await self.leader.require_serving()
        target = self.state.fleet.targets.get(target_id)
        if target is None or started_ms not in (None, target.started_ms):
            return
        self.log.info("target_leaves", target=target_id, started_ms=target.started_ms)
        await self._commit(EndTarget(*target.incarnation))

    async def submit_plan(self, plan: RoutePlan, base: int) -> PlanOutcome:
        """Put a plan in force, or return why it was rejected."""
        await self.leader.require_serving()
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
        """Return the plan in force."""
        await self.leader.require_serving()
        await self.driver.read_barrier()
        return self.state.plans.current

    async def set_domain(self, failure_domain: str, withdrawn: bool) -> None:
        """Withdraw a failure domain, or restore it; a request that changes nothing is committed as well."""
        await self.leader.require_serving()
        await self._commit(SetDomainState(failure_domain, withdrawn))
        self.log.info("domain_set", failure_domain=failure_domain, withdrawn=withdrawn)

    async def _commit(self, command: RouteControlCommand) -> object:
        """Commit a command and record its duration in milliseconds."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        self.metrics.count("commands")
        result = await self.leader.propose(command)
        self.metrics.timing("commit_ms", (loop.time() - started) * 1000)
        return result

    def _check_leader(self) -> None:
        if not self.leader.is_serving():
            raise NotLeaderError(self.driver.leader_id)
