"""Fair shares of an entry's room between customers."""

import math
from collections.abc import Iterable

import attrs

MEMORY_S = 10.0
"""Time constant of a customer's recent requests; at one entry a customer may ask only every few seconds."""

ROOM_MEMORY_S = 5.0
"""The same for the requests of all customers that find room, of which there are more."""

SHORTAGE_S = 5.0
"""Time after a refusal for lack of room within which room is short."""

MAX_ROOM_FACTOR = 1.1
"""Largest room to share out as a multiple of what was found recently, so that more room is noticed."""

MIN_ROOM_FACTOR = 0.95
"""Smallest such multiple, so that less is shared out than fills all targets."""

REFUSAL_STEP = 0.02
"""Decrease of the factor with each refusal for lack of room."""

SERVED_STEP = 0.002
"""Increase of the factor with each request that finds room: one refusal in 11 keeps it where it is."""

TOLERATED_REQUESTS = 2.0
"""Requests that a customer may send at once, as arrivals of an even rate differ by chance."""

DEFAULT_WEIGHT = 100.0
"""Weight in requests per second of a customer without a quota."""

MAX_DELAY_S = 1.0
"""Longest delay until a refused customer may try again, as room and shares change."""

LEVEL_INTERVAL_S = 0.25
"""Time between two computations of the shares."""


@attrs.define
class _RecentRate:
    """Requests per second, weighted by their age."""

    memory: float
    value: float = 0.0
    at: float = 0.0

    def read(self, now: float) -> float:
        self.value *= math.exp(-max(0.0, now - self.at) / self.memory)
        self.at = now
        return self.value

    def add(self, now: float) -> None:
        self.value = self.read(now) + 1 / self.memory


@attrs.define
class _CustomerLoad:
    """Requests of one customer: those asked for, and how many may look for room while it is short."""

    priority: int
    weight: float
    asked: _RecentRate = attrs.field(factory=lambda: _RecentRate(MEMORY_S))
    credit: float = TOLERATED_REQUESTS
    credited_at: float = 0.0

    def refill(self, share: float, now: float) -> None:
        """Add the credit of ``share`` requests per second since the last time."""
        elapsed = max(0.0, now - self.credited_at)
        self.credited_at = now
        self.credit = min(TOLERATED_REQUESTS, self.credit + share * elapsed) if elapsed else self.credit


def fair_level(demands: Iterable[tuple[float, float]], room: float) -> float:
    """Return the rate per weight at which customers share ``room`` if none gets more than it asks for.

    Args:
        demands: Rate asked for and weight of each customer.
        room: Requests per second to share.
    """
    left = max(0.0, room)
    items = sorted(demands, key=lambda item: item[0] / item[1])
    weight = sum(item[1] for item in items)
    for asked, own_weight in items:
        if asked / own_weight >= left / weight:
            return left / weight
        left -= asked
        weight -= own_weight
    return math.inf


class FairShares:
    """Decides which customers an entry refuses first while room is short; times are loop seconds.

    The load that it answers: one customer asks for far more than there is room for, and the requests of all
    others meet full targets. While room is short, customers of higher priority come first, and those of one
    priority share the rest by the weights of their quotas. A customer without requests takes no share.
    """

    def __init__(self) -> None:
        self.loads: dict[str, _CustomerLoad] = {}
        self.found_room = _RecentRate(ROOM_MEMORY_S)
        self.room_factor = 1.0
        self.short_until = -math.inf
        self.levels: dict[int, float] = {}
        self.levels_at = -math.inf

    def admission_delay(self, customer: str, priority: int, rate: float | None, now: float) -> float:
        """Record a request and return 0 if it may look for room, else the seconds until another one may.

        Args:
            customer: Name of the customer.
            priority: Priority of the request, 0 is the highest.
            rate: Rate of the customer's quota, ``None`` without one.
            now: Loop time.
        """
        weight = rate or DEFAULT_WEIGHT
        load = self.loads.setdefault(customer, _CustomerLoad(priority, weight))
        load.priority, load.weight = priority, weight
        load.asked.add(now)
        if now >= self.short_until:
            return 0.0
        share = self._level(priority, now) * weight
        load.refill(share, now)
        if load.credit >= 1.0:
            load.credit -= 1.0
            return 0.0
        return min(MAX_DELAY_S, (1.0 - load.credit) / share) if share > 0 else MAX_DELAY_S

    def record_served(self, now: float) -> None:
        """Record that a request found room."""
        self.found_room.add(now)
        self.room_factor = min(MAX_ROOM_FACTOR, self.room_factor + SERVED_STEP)

    def record_shortage(self, customer: str, now: float) -> None:
        """Record that a request was refused for lack of room, which costs its customer no share."""
        load = self.loads.get(customer)
        if load is not None:
            load.credit = min(TOLERATED_REQUESTS, load.credit + 1.0)
        self.short_until = now + SHORTAGE_S
        self.room_factor = max(MIN_ROOM_FACTOR, self.room_factor - REFUSAL_STEP)

    def _level(self, priority: int, now: float) -> float:
        if now - self.levels_at >= LEVEL_INTERVAL_S:
            self.levels_at = now
            self._share_out(now)
        return self.levels.get(priority, 0.0)

    def _share_out(self, now: float) -> None:
        """Share the room out to one priority after the other, and forget customers without requests."""
        self.loads = {name: load for name, load in self.loads.items() if load.asked.read(now) > 0.01}
        room = self.room_factor * self.found_room.read(now)
        self.levels = {}
        for priority in sorted({load.priority for load in self.loads.values()}):
            demands = [
                (load.asked.value, load.weight) for load in self.loads.values() if load.priority == priority
            ]
            self.levels[priority] = fair_level(demands, room)
            room -= min(room, sum(asked for asked, _ in demands))
