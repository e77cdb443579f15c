"""Shards of one keyed service by phase."""

import attrs

from cranberrylever.ownership._shards import OWNED, RELEASING, ShardTable


@attrs.define
class ShardGroups:
    """Shards of a service by phase: owned shards by target, free shards with their fence."""

    owned: dict[str, list[int]] = attrs.field(factory=dict)
    releasing: set[int] = attrs.field(factory=set)
    free: dict[int, int] = attrs.field(factory=dict)


class ShardGrouper:
    """Groups the shards of a table, again only once the view has changed."""

    def __init__(self) -> None:
        self._groups: ShardGroups | None = None
        self._view_version = -1

    def group(self, table: ShardTable, view_version: int) -> ShardGroups:
        """Return the shards by phase; the caller may modify the sets of releasing and free shards."""
        if self._groups is None or self._view_version != view_version:
            self._groups = group_shards(table)
            self._view_version = view_version
        groups = self._groups
        return ShardGroups(groups.owned, set(groups.releasing), dict(groups.free))


def group_shards(table: ShardTable) -> ShardGroups:
    """Return the shards of a table by phase."""
    groups = ShardGroups()
    for shard, record in table.items():
        if record.phase == OWNED:
            groups.owned.setdefault(record.target_id, []).append(shard)
        elif record.phase == RELEASING:
            groups.releasing.add(shard)
        else:
            groups.free[shard] = record.fence
    return groups
