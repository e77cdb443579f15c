"""Lookup tables for routing, built once per view."""

import attrs

from cranberrylever.routing._view import ServiceView, TargetView, View

NO_OWNER = -1


@attrs.frozen
class ShardOwner:
    """Shard, fence and owner for a key; ``target`` is ``None`` while the shard must not be served."""

    shard: int
    fence: int
    target: TargetView | None


class RoutingTable:
    """A view indexed by the names of its services, targets and entries."""

    def __init__(self, view: View) -> None:
        self.view = view
        self.version = view.version
        self.services: dict[str, ServiceView] = {service.name: service for service in view.services}
        self.targets: dict[str, TargetView] = {target.target_id: target for target in view.targets}
        self.entries: dict[str, str] = {entry.entry_id: entry.address for entry in view.entries}
        self.owners = {service.name: self._owner_views(service) for service in view.services}
        self.pools = {service.name: self._pool(service) for service in view.services}

    def _owner_views(self, service: ServiceView) -> tuple[TargetView | None, ...]:
        return tuple(self.targets.get(target_id) for target_id in service.owner_ids)

    def _pool(self, service: ServiceView) -> tuple[TargetView, ...]:
        return tuple(
            target
            for target in self.view.targets
            if target.service == service.name and accepts_new_work(target)
        )

    def shard_owner(self, service: ServiceView, key_hash: int) -> ShardOwner:
        """Return the shard of ``key_hash`` with its fence and owner."""
        shard = service.pins.get(key_hash, -1) if service.pins else -1
        if shard < 0:
            shard = key_hash % service.shards
        if shard >= len(service.owners):
            return ShardOwner(shard, 0, None)
        owner = service.owners[shard]
        fence = service.fences[shard]
        if owner == NO_OWNER:
            return ShardOwner(shard, fence, None)
        return ShardOwner(shard, fence, self.owners[service.name][owner])


def accepts_new_work(target: TargetView) -> bool:
    """Return whether the phase of ``target`` and its ``routable`` flag allow pooled requests."""
    return target.routable and target.phase in ("cold", "warm")
