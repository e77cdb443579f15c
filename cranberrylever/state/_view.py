"""Builds the routing view for entries from the replicated state."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from cranberrylever.membership import PHASE_COLD, TargetRecord
from cranberrylever.ownership._shards import OWNED, ShardTable
from cranberrylever.routing import EntryAddress, ServiceView, TargetView, View
from cranberrylever.tickets import ServiceSpec

if TYPE_CHECKING:
    from cranberrylever.state._cluster import ClusterState

NO_OWNER = -1


def build_view(state: "ClusterState", entries: Iterable[EntryAddress]) -> View:
    """Return the routing view of the current state.

    Args:
        state: The replicated state.
        entries: Entries that a request for a cold target may be forwarded to.
    """
    services = (_service_view(state, state.tickets.services[name]) for name in sorted(state.tickets.services))
    targets = (_target_view(state, state.targets.records[name]) for name in sorted(state.targets.records))
    return View(
        version=state.view_version,
        ticket=state.tickets.last_number,
        services=tuple(services),
        targets=tuple(targets),
        entries=tuple(entries),
        permit_holders={
            record.target_id: tuple(record.allocations)
            for record in state.permits.to_record()
            if record.allocations
        },
    )


def _target_view(state: "ClusterState", record: TargetRecord) -> TargetView:
    announcement = record.announcement
    return TargetView(
        target_id=announcement.target_id,
        service=announcement.service,
        address=announcement.address,
        failure_domain=announcement.failure_domain,
        incarnation=announcement.incarnation,
        phase=record.phase,
        slots=announcement.slots,
        connections=announcement.connections,
        cold_budget=state.cold_budget(record) if record.phase == PHASE_COLD else 0,
        weight=announcement.weight,
        routable=state.may_receive_work(record),
    )


def _service_view(state: "ClusterState", spec: ServiceSpec) -> ServiceView:
    table = state.shards.get(spec.name)
    owner_ids, owners, fences = _ownership(state, table)
    return ServiceView(
        name=spec.name,
        kind=spec.kind,
        shards=table.shards if table else 0,
        key=spec.key,
        deadline_ms=spec.deadline_ms,
        max_body_bytes=spec.max_body_bytes,
        idempotent=spec.idempotent,
        non_idempotent=spec.non_idempotent,
        retry_ratio=spec.retry_ratio,
        hedge_ratio=spec.hedge_ratio,
        owner_ids=owner_ids,
        owners=owners,
        fences=fences,
        pins=dict(table.pins) if table else {},
    )


def _ownership(
    state: "ClusterState", table: ShardTable | None
) -> tuple[tuple[str, ...], tuple[int, ...], tuple[int, ...]]:
    """Return the owner ids, the index of the owner of each shard, and the fence of each shard."""
    if table is None:
        return (), (), ()
    owner_indexes: dict[str, int] = {}
    owners = [NO_OWNER] * len(table.records)
    fences = [0] * len(table.records)
    for shard, record in table.items():
        fences[shard] = record.fence
        # An owner of another incarnation is left out, because its requests would reach the current one.
        has_owner = record.phase == OWNED and state.targets.current(record.target_id, record.incarnation)
        if has_owner:
            owners[shard] = owner_indexes.setdefault(record.target_id, len(owner_indexes))
    return tuple(owner_indexes), tuple(owners), tuple(fences)
