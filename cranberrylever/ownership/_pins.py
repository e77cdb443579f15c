"""Pinning of hot keys to shards of their own."""

from collections.abc import Iterable

from cranberrylever.ownership._loads import ServiceLoad
from cranberrylever.ownership._proposals import PendingProposals
from cranberrylever.ownership._shards import OWNED, ShardTable
from cranberrylever.state._commands import Command, PinKey, UnpinKey

# Maximum number of pinned keys of a service, including those to be pinned.
MAX_PINS = 64
# Shares of the mean load of a target.
PIN_MIN_SHARE = 0.25
OTHER_KEYS_MIN_SHARE = 0.05
UNPIN_BELOW_SHARE = 0.05
# Mean of the decayed request counts per target below which the pins are not reviewed.
MIN_MEAN_REQUESTS = 200.0
# Time between two reviews of the pins.
REVIEW_INTERVAL_S = 2.0
# Time after which a wanted change that is not applied is dropped, so that its shards are assigned again.
CHANGE_TIMEOUT_S = 5.0


class PinSelector:
    """Selects the keys to pin; its state is held in the leader's memory.

    A key is pinned if its load is at least ``PIN_MIN_SHARE`` of a target's mean load and the other keys of
    its shard have at least ``OTHER_KEYS_MIN_SHARE``, so that placing them apart helps. A pin is removed when
    its load falls below ``UNPIN_BELOW_SHARE``. Either change needs the shards concerned to be free: they are
    released first and not assigned until the change is applied or ``CHANGE_TIMEOUT_S`` has passed.
    """

    def __init__(self, service: str, load: ServiceLoad, pending: PendingProposals) -> None:
        self.service = service
        self.load = load
        self.pending = pending
        self.wanted_pins: dict[int, float] = {}
        self.wanted_unpins: dict[int, float] = {}
        self.last_review_at: float | None = None
        self.known_pins: dict[int, int] = {}

    def shards_to_release(self, table: ShardTable, targets: int, now: float) -> list[int]:
        """Review the pins and return the owned shards to release for wanted changes."""
        self._move_counts(table)
        if self.last_review_at is None:
            self.last_review_at = now
        if now - self.last_review_at >= REVIEW_INTERVAL_S and targets > 1:
            self.last_review_at = now
            self._review(table, targets, now)
        return [shard for shard in self.withheld_shards(table, now) if table.records[shard].phase == OWNED]

    def withheld_shards(self, table: ShardTable, now: float) -> set[int]:
        """Return the shards that must not be assigned until a wanted change is applied."""
        self._drop_stale_changes(table, now)
        shards = {table.hash_shard(key) for key in self.wanted_pins}
        for key in self.wanted_unpins:
            shards.update((table.hash_shard(key), table.pins[key]))
        return shards

    def propose_changes(self, table: ShardTable, free: Iterable[int], now: float) -> list[Command]:
        """Return the commands that add and remove pins now."""
        self._drop_stale_changes(table, now)
        commands: list[Command] = []
        for key in self.wanted_pins:
            if table.can_pin(key) and self.pending.add(("pin", self.service, key), now):
                commands.append(PinKey(self.service, key))
        for key in self.wanted_unpins:
            if table.can_unpin(key) and self.pending.add(("unpin", self.service, key), now):
                commands.append(UnpinKey(self.service, key))
        return commands

    def _review(self, table: ShardTable, targets: int, now: float) -> None:
        mean = sum(self.load.shards.values()) / targets
        if mean < MIN_MEAN_REQUESTS:
            return
        for key, count in sorted(self.load.keys.items(), key=lambda item: (-item[1], item[0])):
            if len(table.pins) + len(self.wanted_pins) >= MAX_PINS:
                break
            other_keys = self.load.shards.get(table.hash_shard(key), 0.0) - count
            if (
                key not in table.pins
                and count >= PIN_MIN_SHARE * mean
                and other_keys >= OTHER_KEYS_MIN_SHARE * mean
            ):
                self.wanted_pins.setdefault(key, now)
        for key, shard in table.pins.items():
            if self.load.shards.get(shard, 0.0) < UNPIN_BELOW_SHARE * mean:
                self.wanted_unpins.setdefault(key, now)

    def _drop_stale_changes(self, table: ShardTable, now: float) -> None:
        self.wanted_pins = {
            key: since
            for key, since in self.wanted_pins.items()
            if key not in table.pins and now - since < CHANGE_TIMEOUT_S
        }
        self.wanted_unpins = {
            key: since
            for key, since in self.wanted_unpins.items()
            if key in table.pins and now - since < CHANGE_TIMEOUT_S
        }

    def _move_counts(self, table: ShardTable) -> None:
        """Move the request counts of added and removed pins between their shard and the hash shard."""
        if table.pins == self.known_pins:
            return
        counts = self.load.shards
        for key, shard in table.pins.items():
            if key not in self.known_pins:
                hash_shard = table.hash_shard(key)
                moved = min(self.load.keys.get(key, 0.0), counts.get(hash_shard, 0.0))
                counts[hash_shard] = counts.get(hash_shard, 0.0) - moved
                counts[shard] = moved
        for key, shard in self.known_pins.items():
            if key not in table.pins:
                hash_shard = table.hash_shard(key)
                counts[hash_shard] = counts.get(hash_shard, 0.0) + counts.pop(shard, 0.0)
        self.known_pins = dict(table.pins)
