"""The replicated shard table of one keyed service."""

from collections.abc import Iterator

import attrs

from cranberrylever.invariants import check

OWNED = "owned"
RELEASING = "releasing"
FREE = "free"


@attrs.frozen
class ShardRecord:
    """State of one shard or pin.

    ``target_id`` and ``incarnation`` identify the owner, or the last owner of a releasing or free shard. A
    releasing shard with an empty ``incarnation`` needs no acknowledgement, because its owner is known to have
    ended. ``since_version`` is the log index of the last change.
    """

    phase: str
    target_id: str
    incarnation: str
    fence: int
    since_version: int


@attrs.frozen
class ShardTableRecord:
    """Content of a shard table in a snapshot; the record of a removed pin is ``None``."""

    shards: int
    records: tuple[ShardRecord | None, ...]
    pins: dict[int, int]


class ShardTable:
    """Phases of all shards and pins of a service, in the cycle ``owned → releasing → free → owned``.

    The fence of each change is passed in and must be greater than the shard's last fence.

    Args:
        shards: Number of hash shards; pins have ids from ``shards`` upwards.
        version: Log index at which the table is created.
    """

    def __init__(self, shards: int, version: int) -> None:
        self.shards = shards
        self.records: list[ShardRecord | None] = [ShardRecord(FREE, "", "", 0, version)] * shards
        self.pins: dict[int, int] = {}

    def get(self, shard: int) -> ShardRecord | None:
        """Return the record of ``shard``, ``None`` if it does not exist."""
        if 0 <= shard < len(self.records):
            return self.records[shard]
        return None

    def items(self) -> Iterator[tuple[int, ShardRecord]]:
        """Iterate over all shards and pins with their records."""
        return ((shard, record) for shard, record in enumerate(self.records) if record is not None)

    def owned_by(self, target_id: str, incarnation: str) -> list[int]:
        """Return the shards owned by one incarnation of a target."""
        return [
            shard
            for shard, record in self.items()
            if record.phase == OWNED and record.target_id == target_id and record.incarnation == incarnation
        ]

    def release(self, shard: int, fence: int, version: int, owner_ended: bool = False) -> None:
        """Move an owned shard to releasing.

        Args:
            shard: The shard.
            fence: Its new fence.
            version: Log index of the change.
            owner_ended: Whether the owner's process is known to have ended, so that its grant is void.
        """
        record = self._checked_record(shard, OWNED, fence)
        incarnation = "" if owner_ended else record.incarnation
        self.records[shard] = ShardRecord(RELEASING, record.target_id, incarnation, fence, version)

    def mark_owner_ended(self, shard: int, fence: int, version: int) -> None:
        """Record that the last owner of a releasing shard has ended."""
        record = self._checked_record(shard, RELEASING, fence)
        self.records[shard] = attrs.evolve(record, incarnation="", fence=fence)

    def free(self, shard: int, fence: int, version: int) -> None:
        """Move a releasing shard to free."""
        record = self._checked_record(shard, RELEASING, fence)
        self.records[shard] = ShardRecord(FREE, record.target_id, record.incarnation, fence, version)

    def assign(self, shard: int, fence: int, version: int, target_id: str, incarnation: str) -> None:
        """Move a free shard to owned."""
        self._checked_record(shard, FREE, fence)
        self.records[shard] = ShardRecord(OWNED, target_id, incarnation, fence, version)

    def hash_shard(self, key_hash: int) -> int:
        """Return the hash shard of a key."""
        return key_hash % self.shards

    def can_pin(self, key_hash: int) -> bool:
        """Return whether a key may get its own shard now.

        A pin is created only while the hash shard is free, so that no work runs for any of its keys: work for
        the key cannot be told apart from other work of its hash shard.
        """
        record = self.records[self.hash_shard(key_hash)]
        return key_hash not in self.pins and record.phase == FREE

    def pin(self, key_hash: int, fence: int, version: int) -> int:
        """Create a free shard for a key alone and return the shard's id."""
        check(
            self.can_pin(key_hash),
            f"cannot pin key {key_hash}: it is pinned already or its hash shard is not free",
        )
        hash_shard_record = self.records[self.hash_shard(key_hash)]
        shard = self._unused_id()
        self.records[shard] = attrs.evolve(hash_shard_record, fence=fence, since_version=version)
        self.pins[key_hash] = shard
        return shard

    def can_unpin(self, key_hash: int) -> bool:
        """Return whether a pin may be removed: pin and hash shard must be free, so that no work runs."""
        shard = self.pins.get(key_hash)
        if shard is None:
            return False
        return self.records[shard].phase == FREE and self.records[self.hash_shard(key_hash)].phase == FREE

    def unpin(self, key_hash: int) -> None:
        """Remove a pin, so that the key belongs to its hash shard again."""
        check(
            self.can_unpin(key_hash),
            f"cannot unpin key {key_hash}: it has no pin, or the pin or its hash shard is not free",
        )
        self.records[self.pins.pop(key_hash)] = None

    def to_record(self) -> ShardTableRecord:
        """Return the content for a snapshot."""
        return ShardTableRecord(self.shards, tuple(self.records), dict(self.pins))

    @classmethod
    def from_record(cls, content: ShardTableRecord) -> "ShardTable":
        """Return the table stored in a snapshot."""
        table = cls(content.shards, 0)
        table.records = list(content.records)
        table.pins = dict(content.pins)
        return table

    def _checked_record(self, shard: int, phase: str, fence: int) -> ShardRecord:
        record = self.records[shard]
        check(record is not None, f"shard {shard} does not exist")
        check(record.phase == phase, f"shard {shard} is {record.phase}, expected {phase}")
        check(
            fence > record.fence,
            f"fence {fence} of shard {shard} is not greater than its last fence {record.fence}",
        )
        return record

    def _unused_id(self) -> int:
        for shard in range(self.shards, len(self.records)):
            if self.records[shard] is None:
                return shard
        self.records.append(None)
        return len(self.records) - 1
