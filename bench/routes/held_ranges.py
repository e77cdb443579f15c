"""Ranges of keys that a stand-in target holds, with the rules of grants."""

import attrs


@attrs.define
class Hold:
    """One grant that a target has applied; ``until`` is a loop time."""

    first: int
    last: int
    fence: int
    until: float


@attrs.define
class Holds:
    """What one life of a target holds, and the fences that it has seen."""

    items: list[Hold] = attrs.field(factory=list)
    fences: dict[tuple[int, int], int] = attrs.field(factory=dict)

    def grant(self, first: int, last: int, fence: int, until: float) -> bool:
        """Apply a grant; returns whether it was taken, which a higher fence seen before prevents."""
        seen = (value for (low, high), value in self.fences.items() if low <= last and first <= high)
        if any(value > fence for value in seen):
            return False
        self.fences[first, last] = fence
        self.release(first, last)
        self.items.append(Hold(first, last, fence, until))
        return True

    def release(self, first: int, last: int) -> None:
        """Give keys up."""
        kept: list[Hold] = []
        for hold in self.items:
            if hold.last < first or last < hold.first:
                kept.append(hold)
                continue
            if hold.first < first:
                kept.append(attrs.evolve(hold, last=first - 1))
            if last < hold.last:
                kept.append(attrs.evolve(hold, first=last + 1))
        self.items = kept

    def at(self, now: float) -> list[Hold]:
        """Return the grants that have not run out."""
        return [hold for hold in self.items if hold.until > now]

    def has_key(self, key: int, now: float) -> bool:
        """Tell whether a key is held."""
        return any(hold.first <= key <= hold.last for hold in self.at(now))
