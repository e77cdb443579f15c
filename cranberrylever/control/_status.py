"""Builds the cluster status for operators."""

from collections import Counter

from cranberrylever import operator_api as api
from cranberrylever.consensus import RaftDriver
from cranberrylever.ownership import Coordinator, CoordinatorStatus, EntryStatus, TargetStatus
from cranberrylever.state import ClusterState


def build_status(
    cluster_id: str, driver: RaftDriver, coordinator: Coordinator, now: float
) -> api.ClusterStatus:
    """Return the leader's status of the cluster at event loop time ``now``, in seconds."""
    state = coordinator.state
    status = coordinator.status(now)
    entries = tuple(_entry_status(coordinator, entry, now) for entry in status.entries)
    in_force = min((entry.ticket for entry in entries), default=0)
    return api.ClusterStatus(
        cluster_id=cluster_id,
        leader=driver.leader_id or "",
        term=driver.term,
        commit_index=driver.commit_index,
        view_version=state.view_version,
        accepted_ticket=state.tickets.last_number,
        in_force_ticket=in_force,
        members=_member_statuses(driver, now),
        entries=entries,
        targets=tuple(_target_status(state, coordinator, target, now) for target in status.targets),
        failure_domains=_failure_domain_statuses(state, coordinator, status),
        services=_service_statuses(state, status),
    )


def _member_statuses(driver: RaftDriver, now: float) -> tuple[api.ControlMemberStatus, ...]:
    return tuple(
        api.ControlMemberStatus(
            member.member_id,
            member.role,
            member.match_index,
            -1.0 if member.heard_at is None else now - member.heard_at,
        )
        for member in driver.members()
    )


def _entry_status(coordinator: Coordinator, entry: EntryStatus, now: float) -> api.EntryStatus:
    timings = coordinator.timings
    return api.EntryStatus(
        entry_id=entry.entry_id,
        address=entry.address,
        failure_domain=coordinator.failure_domain_of((entry.entry_id, entry.incarnation)),
        ticket=_ticket_in_force(coordinator.state, entry.applied_version),
        view_version=entry.applied_version,
        settled_version=entry.settled_version,
        lease_s=max(0.0, timings.view_lifetime - entry.report_age),
    )


def _ticket_in_force(state: ClusterState, view_version: int) -> int:
    """Return the highest ticket accepted at or before a view version."""
    accepted = (ticket.number for ticket in state.tickets.history.values() if ticket.index <= view_version)
    return max(accepted, default=0)


def _target_status(
    state: ClusterState, coordinator: Coordinator, target: TargetStatus, now: float
) -> api.TargetStatus:
    directive = state.tickets.directives.get(target.target_id)
    return api.TargetStatus(
        target_id=target.target_id,
        service=target.service,
        address=target.address,
        failure_domain=target.failure_domain,
        phase=target.phase,
        incarnation=target.incarnation,
        shards=target.shards,
        drain=directive is not None and directive.drain,
        grant_s=coordinator.grants.remaining(target.target_id, target.incarnation, now),
    )


def _failure_domain_statuses(
    state: ClusterState, coordinator: Coordinator, status: CoordinatorStatus
) -> tuple[api.FailureDomainStatus, ...]:
    targets = Counter(target.failure_domain for target in status.targets)
    shards = Counter()
    for target in status.targets:
        shards[target.failure_domain] += target.shards
    entries = Counter(
        coordinator.failure_domain_of((entry.entry_id, entry.incarnation)) for entry in status.entries
    )
    return tuple(
        api.FailureDomainStatus(name, spec.state, targets[name], entries[name], shards[name])
        for name, spec in sorted(state.tickets.failure_domains.items())
    )


def _service_statuses(state: ClusterState, status: CoordinatorStatus) -> tuple[api.ServiceStatus, ...]:
    keyed_services = {service.name: service for service in status.services}
    statuses = []
    for name, spec in sorted(state.tickets.services.items()):
        service = keyed_services.get(name)
        if service is None:
            statuses.append(api.ServiceStatus(name, spec.kind))
            continue
        statuses.append(
            api.ServiceStatus(
                name=name,
                kind=spec.kind,
                shards=service.owned + service.releasing + service.free,
                owned=service.owned,
                releasing=service.releasing,
                free=service.free,
                moving=service.releasing + service.free,
            )
        )
    return tuple(statuses)
