"""Handles operator and announcement requests on the replicated state."""

import asyncio

from cranberrylever.consensus import RaftDriver
from cranberrylever.control._leader import LeaderLoop
from cranberrylever.control._operator import OperatorService
from cranberrylever.control._status import build_status
from cranberrylever.membership import Announcement
from cranberrylever.operator_api import AnnounceOutcome, ClusterStatus, TicketSummary
from cranberrylever.ownership import Coordinator
from cranberrylever.state import AcceptTicket, AnnounceTarget, ClusterState
from cranberrylever.tickets import AcceptedTicket, Configuration, TicketOutcome, parse_ticket


class ControlService(OperatorService):
    """Control member as seen by the operator API."""

    def __init__(
        self, cluster_id: str, driver: RaftDriver, leader: LeaderLoop, coordinator: Coordinator
    ) -> None:
        self.cluster_id = cluster_id
        self.driver = driver
        self.leader = leader
        self.coordinator = coordinator

    @property
    def state(self) -> ClusterState:
        """Replicated state of this member."""
        return self.coordinator.state

    async def submit_ticket(self, text: str) -> TicketOutcome:
        """Accept or refuse a ticket that has passed validation.

        A refused or repeated ticket adds no log entry, because the leader's state is current.
        """
        await self.leader.require_serving()
        ticket = parse_ticket(text).unwrap()
        outcome = self.state.tickets.check(ticket)
        if outcome is not None:
            return outcome
        return await self.leader.propose(AcceptTicket(text))

    async def announce(self, announcement: Announcement) -> AnnounceOutcome:
        """Record a target's announcement; an unchanged one adds no log entry."""
        await self.leader.require_serving()
        record = self.state.targets.get(announcement.target_id)
        if record is not None and record.announcement == announcement:
            return AnnounceOutcome(True)
        if announcement.service not in self.state.tickets.services:
            return AnnounceOutcome(
                False, f"no ticket declares the service {announcement.service!r}", "submit a ticket first"
            )
        accepted = await self.leader.propose(AnnounceTarget(announcement))
        if accepted:
            return AnnounceOutcome(True)
        return AnnounceOutcome(
            False,
            f"incarnation {announcement.incarnation!r} of {announcement.target_id!r} has been superseded",
            "announce the incarnation that is running now",
        )

    async def tickets(self) -> tuple[TicketSummary, ...]:
        """Return the accepted tickets in the history, in order of acceptance."""
        await self.leader.require_serving()
        history = self.state.tickets.history.values()
        return tuple(TicketSummary(item.number, item.digest, item.index) for item in history)

    async def ticket(self, number: int) -> AcceptedTicket | None:
        """Return an accepted ticket, or ``None`` if it is not in the history."""
        await self.leader.require_serving()
        return self.state.tickets.history.get(number)

    async def configuration(self) -> Configuration:
        """Return the accepted state of all objects."""
        await self.leader.require_serving()
        return self.state.tickets.configuration()

    async def status(self) -> ClusterStatus:
        """Return the state of the cluster."""
        await self.leader.require_serving()
        now = asyncio.get_running_loop().time()
        return build_status(self.cluster_id, self.driver, self.coordinator, now)

    async def ready(self) -> bool:
        """Return whether this member leads or knows a leader."""
        return self.leader.is_serving() or self.driver.leader_id is not None
