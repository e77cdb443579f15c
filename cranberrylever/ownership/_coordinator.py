"""The leader's decisions: derives the commands to propose from state, reports and time."""

from typing import TYPE_CHECKING

from cranberrylever.invariants import check
from cranberrylever.membership import PHASE_LOST, Announcement, EntryLeases, TargetRecord
from cranberrylever.ownership._grants import GrantAck, GrantLedger, GrantRenewal
from cranberrylever.ownership._loads import LoadTracker
from cranberrylever.ownership._mover import FencePredictor, ShardMover
from cranberrylever.ownership._permit_allocator import PermitAllocator
from cranberrylever.ownership._phases import PhaseProposer, TargetHealth
from cranberrylever.ownership._proposals import PendingProposals
from cranberrylever.ownership._status import CoordinatorStatus, EntryStatus, TargetStatus
from cranberrylever.ownership._suspects import SuspectTable
from cranberrylever.ownership._timings import Timings
from cranberrylever.ownership._views import ViewCache
from cranberrylever.state._commands import Command, SetTargetPhase
from cranberrylever.wire import EntryHello, EntryReport, ViewAnswer

if TYPE_CHECKING:
    from cranberrylever.state._cluster import ClusterState


class Coordinator:
    """Coordinates targets and entries while this member is the leader.

    All times are loop seconds. Call ``start_term`` each time this member has become leader and applied a log
    entry of its term. Commands returned by ``step`` may be lost; they are proposed again after
    ``Timings.proposal_timeout``.
    """

    def __init__(self, state: "ClusterState", timings: Timings | None = None) -> None:
        self.state = state
        self.timings = timings or Timings()
        self.grants = GrantLedger(self.timings)
        self.leases = EntryLeases(self.timings.view_bound)
        self.pending = PendingProposals(self.timings.proposal_timeout)
        self.loads = LoadTracker(self.timings.load_time_constant)
        self.health = TargetHealth(state, self.grants, self.timings)
        self.phases = PhaseProposer(state, self.health, self.pending)
        self.permits = PermitAllocator(state, self.timings, self.leases, self.pending)
        self.suspects = SuspectTable(self.timings.suspect_retention)
        self.views = ViewCache(state)
        self.movers: dict[str, ShardMover] = {}
        self.hellos: dict[tuple[str, str], EntryHello] = {}
        self.reports: dict[tuple[str, str], EntryReport] = {}
        self.is_started = False

    def start_term(self, term: int, now: float) -> None:
        """Start a term as leader and discard the in-memory records of earlier terms.

        Grants and views of the previous leader count as valid for one lifetime from ``now``.
        """
        self.is_started = True
        self.grants.start_term(term, now)
        self.leases.start_term(now)
        self.health.start_term(now)
        self.phases.start_term()
        self.permits.start_term()
        self.pending.clear()
        self.loads.reset(now)
        self.views.reset()
        self.movers.clear()
        self.reports.clear()

    def needs_proposal(self, announcement: Announcement) -> bool:
        """Return whether an announcement has to be proposed because it changes the directory."""
        if self.state.targets.is_superseded(announcement):
            return False
        record = self.state.targets.get(announcement.target_id)
        return record is None or record.announcement != announcement

    def record_hello(self, hello: EntryHello) -> None:
        """Record the hello of an entry that has opened a stream."""
        key = (hello.entry_id, hello.incarnation)
        self.hellos[key] = hello
        self.views.discard_sent(key)

    def address_of(self, entry: tuple[str, str]) -> str:
        """Return the address of an entry process (id, incarnation), empty if it sent no hello."""
        hello = self.hellos.get(entry)
        return hello.address if hello is not None else ""

    def failure_domain_of(self, entry: tuple[str, str]) -> str:
        """Return the failure domain of an entry process (id, incarnation), empty if it sent no hello."""
        hello = self.hellos.get(entry)
        return hello.failure_domain if hello is not None else ""

    def record_report(self, report: EntryReport, now: float) -> None:
        """Renew an entry's lease and record its loads, permits in use and suspects."""
        key = (report.entry_id, report.incarnation)
        previous = self.reports.get(key)
        self.leases.renew(
            report.entry_id,
            report.incarnation,
            self.address_of(key),
            now,
            report.applied_version,
            report.settled_version,
        )
        if previous is not None and report.sequence <= previous.sequence:
            return
        self.reports[key] = report
        self.loads.record(report)
        self.permits.record_report(report)
        self.suspects.record(report.suspects, now)

    def view_answer(self, report: EntryReport, now: float) -> ViewAnswer:
        """Return the answer to a report; a report may be answered again when the view changes.

        The entry's lease counts from the report, so a second answer does not extend it.
        """
        return ViewAnswer(
            sequence=report.sequence,
            version=self.state.view_version,
            view=self.views.view_for(report, self.leases.live(now)),
            permits=self.permits.permits_of(report.entry_id, report.incarnation, now),
            suspects=self.suspects.current(now),
        )

    def next_renewal(self, target_id: str, now: float) -> GrantRenewal | None:
        """Return the renewal to send to a target now, or ``None`` if none is due."""
        record = self.state.targets.get(target_id)
        if record is None or not self.is_started:
            return None
        holder = self.grants.holder(target_id, record.incarnation, now)
        if not self.grants.is_due(holder, record.grant_version, self._renewal_interval(record, now), now):
            return None
        return self.grants.renew(
            target_id,
            record.incarnation,
            record.announcement.address,
            record.grant_version,
            lambda: self.state.owned_shards(record),
            self.state.tickets.last_number,
            now,
        )

    def record_grant_ack(
        self, target_id: str, renewal: GrantRenewal, ack: GrantAck, received_at: float
    ) -> None:
        """Record a target's reply to a renewal."""
        check(
            target_id == renewal.target_id,
            f"reply of {target_id} is recorded for a renewal of {renewal.target_id}",
        )
        self.grants.record_ack(renewal, ack, received_at)

    def record_grant_failure(self, target_id: str, renewal: GrantRenewal, now: float) -> None:
        """Record that a renewal failed, was refused or timed out."""
        check(
            target_id == renewal.target_id,
            f"failure of {target_id} is recorded for a renewal of {renewal.target_id}",
        )
        self.grants.record_failure(renewal)

    def step(self, now: float) -> list[Command]:
        """Return the commands to propose now, in the order in which they must be applied."""
        if not self.is_started:
            return []
        self.health.record_step(now)
        self.pending.drop_expired(now)
        self.loads.decay_counts(now)
        self._drop_ended(now)
        commands = self.phases.step(now, self._targets_appearing_cold())
        fences = FencePredictor(self.state.next_fence + self._count_fences(commands))
        settled_version = self.leases.settled_version(now)
        for service in sorted(self.state.shards):
            commands.extend(self._mover(service, now).step(now, settled_version, fences))
        commands.extend(self.permits.step(now, self.reports))
        return commands

    def status(self, now: float) -> CoordinatorStatus:
        """Return the status for operators."""
        records = self.state.targets.to_record()
        return CoordinatorStatus(
            term=self.grants.term,
            view_version=self.state.view_version,
            last_ticket=self.state.tickets.last_number,
            targets=tuple(self._target_status(record, now) for record in records),
            services=tuple(self._mover(name, now).status() for name in sorted(self.state.shards)),
            entries=tuple(
                EntryStatus(
                    lease.entry_id,
                    lease.incarnation,
                    lease.address,
                    lease.applied_version,
                    lease.settled_version,
                    now - lease.received_at,
                )
                for lease in sorted(self.leases.live(now), key=lambda lease: lease.entry_id)
            ),
        )

    def _renewal_interval(self, record: TargetRecord, now: float) -> float:
        """Return the seconds between renewals, shorter while a releasing shard waits for the target."""
        if record.phase == PHASE_LOST and not self.health.is_answering(record, now):
            return self.timings.lost_probe_interval
        mover = self.movers.get(record.announcement.service)
        is_awaited = mover is not None and record.target_id in mover.releasing.awaited_targets
        holder = self.grants.holder(record.target_id, record.incarnation, now)
        if is_awaited and holder.failures == 0:
            return self.timings.awaited_interval
        return self.timings.grant_interval

    def _mover(self, service: str, now: float) -> ShardMover:
        if service not in self.movers:
            load = self.loads.service(service)
            self.movers[service] = ShardMover(
                service, self.state, self.timings, self.grants, self.health, load, self.pending, now
            )
        return self.movers[service]

    def _drop_ended(self, now: float) -> None:
        live = {(lease.entry_id, lease.incarnation) for lease in self.leases.live(now)}
        self.reports = {key: report for key, report in self.reports.items() if key in live}
        if len(self.hellos) > 2 * len(live) + 64:
            self.hellos = {key: hello for key, hello in self.hellos.items() if key in live}
        records = self.state.targets.records.values()
        self.grants.drop_expired({(record.target_id, record.incarnation) for record in records}, now)

    def _targets_appearing_cold(self) -> set[tuple[str, str]]:
        return {
            (load.target_id, load.incarnation)
            for report in self.reports.values()
            for load in report.target_loads
            if load.appears_cold
        }

    def _count_fences(self, commands: list[Command]) -> int:
        """Return the number of fences that the pending changes to lost will consume, one per owned shard."""
        lost = [
            self.state.targets.get(command.target_id)
            for command in commands
            if isinstance(command, SetTargetPhase) and command.phase == PHASE_LOST
        ]
        return sum(len(self.state.owned_shards(record)) for record in lost)

    def _target_status(self, record: TargetRecord, now: float) -> TargetStatus:
        holder = self.grants.holder(record.target_id, record.incarnation, now)
        announcement = record.announcement
        return TargetStatus(
            target_id=record.target_id,
            service=announcement.service,
            address=announcement.address,
            failure_domain=announcement.failure_domain,
            incarnation=record.incarnation,
            phase=record.phase,
            leaving_reason=self.state.leaving_reason(record),
            shards=len(self.state.owned_shards(record)),
            running=holder.ack.running if holder.ack else 0,
            queued=holder.ack.queued if holder.ack else 0,
            ack_age=now - holder.ack_received_at if holder.ack else -1.0,
        )
