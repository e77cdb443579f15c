"""Key ranges that a fake target holds, with the checks of lease and fence."""

import attrs


@attrs.define
class HeldRange:
    """One range that a target holds under a grant; ``until`` is the loop time at which the lease expires."""

    first: int
    last: int
    fence: int
    until: float


@attrs.define
class HeldRanges:
    """Key ranges that one incarnation of a target holds, and the fences that it has seen."""

    items: list[HeldRange] = attrs.field(factory=list)
    fences: dict[tuple[int, int], int] = attrs.field(factory=dict)

    def grant(self, first: int, last: int, fence: int, until: float) -> bool:
        """Apply a grant; returns ``False`` when a higher fence was seen for a key of the range."""
        seen = (value for (low, high), value in self.fences.items() if low <= last and first <= high)
        if any(value > fence for value in seen):
            return False
        self.fences[first, last] = fence
        self.release(first, last)
        self.items.append(HeldRange(first, last, fence, until))
        return True

    def release(self, first: int, last: int) -> None:
        """Remove a range of keys."""
        kept: list[HeldRange] = []
        for hold in self.items:
            if hold.last < first or last < hold.first:
                kept.append(hold)
                continue
            if hold.first < first:
                kept.append(attrs.evolve(hold, last=first - 1))
            if last < hold.last:
                kept.append(attrs.evolve(hold, first=last + 1))
        self.items = kept

    def at(self, now: float) -> list[HeldRange]:
        """Return the ranges whose lease has not expired."""
        return [hold for hold in self.items if hold.until > now]

    def has_key(self, key: int, now: float) -> bool:
        """Return whether a key is held under an unexpired lease."""
        return any(hold.first <= key <= hold.last for hold in self.at(now))
