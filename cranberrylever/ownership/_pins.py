"""Rules that give hot keys their own shards."""

from collections.abc import Iterable

from cranberrylever.ownership._loads import ServiceLoad
from cranberrylever.ownership._proposals import PendingProposals
from cranberrylever.ownership._shards import OWNED, ShardTable
from cranberrylever.state._commands import Command, PinKey, UnpinKey

MAX_PINS = 64
PIN_ABOVE = 0.25
REST_ABOVE = 0.05
UNPIN_BELOW = 0.05
MIN_REQUESTS = 200.0
REVIEW_INTERVAL_S = 2.0
WISH_LIFETIME_S = 5.0


class PinRules:
    """Chooses pins, in the leader's memory.

    A key is pinned when it carries ``PIN_ABOVE`` of a target's mean load and the rest of its shard carries
    ``REST_ABOVE``, so that the rest can be placed apart. A pin ends when its load falls below
    ``UNPIN_BELOW``. Both need the shards concerned to be free, so they are released first and not assigned
    until the change has been applied or ``WISH_LIFETIME_S`` has passed.
    """

    def __init__(self, service: str, load: ServiceLoad, pending: PendingProposals) -> None:
        self.service = service
        self.load = load
        self.pending = pending
        self.pin_wishes: dict[int, float] = {}
        self.unpin_wishes: dict[int, float] = {}
        self.reviewed_at: float | None = None
        self.known: dict[int, int] = {}

    def wanted_releases(self, table: ShardTable, targets: int, now: float) -> list[int]:
        """Review the pins and return the owned shards to release for a change of pins."""
        self._follow(table)
        if self.reviewed_at is None:
            self.reviewed_at = now
        if now - self.reviewed_at >= REVIEW_INTERVAL_S and targets > 1:
            self.reviewed_at = now
            self._review(table, targets, now)
        return [shard for shard in self.held(table, now) if table.records[shard].phase == OWNED]

    def held(self, table: ShardTable, now: float) -> set[int]:
        """Return the shards that must not be assigned before a change of pins."""
        self._drop_wishes(table, now)
        shards = {table.parent(key) for key in self.pin_wishes}
        for key in self.unpin_wishes:
            shards.update((table.parent(key), table.pins[key]))
        return shards

    def changes(self, table: ShardTable, free: Iterable[int], now: float) -> list[Command]:
        """Return the pins to create and to remove now."""
        self._drop_wishes(table, now)
        commands: list[Command] = []
        for key in self.pin_wishes:
            if table.can_pin(key) and self.pending.add(("pin", self.service, key), now):
                commands.append(PinKey(self.service, key))
        for key in self.unpin_wishes:
            if table.can_unpin(key) and self.pending.add(("unpin", self.service, key), now):
                commands.append(UnpinKey(self.service, key))
        return commands

    def _review(self, table: ShardTable, targets: int, now: float) -> None:
        mean = sum(self.load.shards.values()) / targets
        if mean < MIN_REQUESTS:
            return
        for key, count in sorted(self.load.keys.items(), key=lambda item: (-item[1], item[0])):
            if len(table.pins) + len(self.pin_wishes) >= MAX_PINS:
                break
            rest = self.load.shards.get(table.parent(key), 0.0) - count
            if key not in table.pins and count >= PIN_ABOVE * mean and rest >= REST_ABOVE * mean:
                self.pin_wishes.setdefault(key, now)
        for key, shard in table.pins.items():
            if self.load.shards.get(shard, 0.0) < UNPIN_BELOW * mean:
                self.unpin_wishes.setdefault(key, now)

    def _drop_wishes(self, table: ShardTable, now: float) -> None:
        self.pin_wishes = {
            key: since
            for key, since in self.pin_wishes.items()
            if key not in table.pins and now - since < WISH_LIFETIME_S
        }
        self.unpin_wishes = {
            key: since
            for key, since in self.unpin_wishes.items()
            if key in table.pins and now - since < WISH_LIFETIME_S
        }

    def _follow(self, table: ShardTable) -> None:
        """Move the counted requests of a key with its pin."""
        if table.pins == self.known:
            return
        counts = self.load.shards
        for key, shard in table.pins.items():
            if key not in self.known:
                parent = table.parent(key)
                moved = min(self.load.keys.get(key, 0.0), counts.get(parent, 0.0))
                counts[parent] = counts.get(parent, 0.0) - moved
                counts[shard] = moved
        for key, shard in self.known.items():
            if key not in table.pins:
                parent = table.parent(key)
                counts[parent] = counts.get(parent, 0.0) + counts.pop(shard, 0.0)
        self.known = dict(table.pins)
