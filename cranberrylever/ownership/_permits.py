"""Permits for the capacity of cold targets: the replicated allocation and the leader's record of use."""

from collections.abc import Mapping

import attrs

from cranberrylever.invariants import check


@attrs.frozen
class PermitRecord:
    """Permits per entry for one incarnation of a cold target; ``version`` is the log index of the change."""

    target_id: str
    incarnation: str
    version: int
    allocations: dict[str, int]


class PermitTable:
    """Replicated allocations by target."""

    def __init__(self, records: tuple[PermitRecord, ...] = ()) -> None:
        self.records = {record.target_id: record for record in records}

    def get(self, target_id: str) -> PermitRecord | None:
        """Return the allocation for a target."""
        return self.records.get(target_id)

    def allocate(self, record: PermitRecord, budget: int) -> bool:
        """Replace the allocation for a target.

        Returns:
            False when it exceeds the budget and is ignored.
        """
        allocations = {entry: count for entry, count in sorted(record.allocations.items()) if count > 0}
        if sum(allocations.values()) > budget:
            return False
        self.records[record.target_id] = attrs.evolve(record, allocations=allocations)
        return True

    def drop(self, target_id: str) -> bool:
        """Remove the allocation for a target; return whether there was one."""
        return self.records.pop(target_id, None) is not None

    def for_entry(self, entry_id: str) -> dict[str, int]:
        """Return an entry's permits by target."""
        return {
            record.target_id: record.allocations[entry_id]
            for record in self.records.values()
            if entry_id in record.allocations
        }

    def to_record(self) -> tuple[PermitRecord, ...]:
        """Return the content for a snapshot."""
        return tuple(self.records[target_id] for target_id in sorted(self.records))


def divide_permits(budget: int, demands: Mapping[str, float], rotation: int) -> dict[str, int]:
    """Divide a budget among entries by demand, without a remainder.

    Each entry with demand gets one permit first. When the budget is below their number, ``rotation`` decides
    who gets one. The rest is divided by the largest remainder.

    Args:
        budget: Number of permits.
        demands: Demand per entry; entries without demand share what nobody asks for.
        rotation: A slowly growing number.
    """
    if budget <= 0 or not demands:
        return {}
    asking = sorted(entry for entry, demand in demands.items() if demand > 0) or sorted(demands)
    start = rotation * budget % len(asking)
    turn = asking[start:] + asking[:start]
    granted = dict.fromkeys(turn[:budget], 1)
    rest = budget - len(granted)
    if rest <= 0:
        return granted
    _divide_rest(rest, {entry: demands[entry] for entry in turn}, granted)
    return granted


def _divide_rest(rest: int, demands: Mapping[str, float], granted: dict[str, int]) -> None:
    """Add ``rest`` permits in proportion to the demand that the first permit leaves uncovered."""
    total = sum(demands.values())
    budget = rest + len(granted)
    open_demand = {
        entry: max(0.0, budget * demand / total - 1) if total > 0 else 1.0
        for entry, demand in demands.items()
    }
    open_total = sum(open_demand.values())
    exact = {
        entry: rest * demand / open_total if open_total > 0 else rest / len(open_demand)
        for entry, demand in open_demand.items()
    }
    for entry, share in exact.items():
        granted[entry] += int(share)
    remainder = rest - sum(int(share) for share in exact.values())
    by_remainder = sorted(exact, key=lambda entry: int(exact[entry]) - exact[entry])
    for entry in by_remainder[:remainder]:
        granted[entry] += 1


@attrs.frozen
class EntryUse:
    """What one entry process reported about one target."""

    target_key: str
    entry_id: str
    incarnation: str
    applied_version: int
    reported: int


class PermitLedger:
    """Which permits entries may still use, in the leader's memory.

    An entry's use of a target is at most its allocation once it has reported a view at or after the
    allocation's version. Until then it counts with the larger number used before, and without any knowledge
    with the whole budget.
    """

    def __init__(self) -> None:
        self.uses: dict[tuple[str, str, str], int] = {}

    def clear(self) -> None:
        """Forget everything."""
        self.uses.clear()

    def possible_use(
        self, record: PermitRecord | None, base_version: int, entry: EntryUse, budget: int
    ) -> int:
        """Return the most permits that a live entry may still use, and remember it.

        Args:
            record: The allocation in force.
            base_version: Log index from which the target needs permits.
            entry: The entry's latest report on this target.
            budget: The target's budget, assumed for an entry of which nothing is known.
        """
        allocated = record.allocations.get(entry.entry_id, 0) if record else 0
        version = max(base_version, record.version if record else 0)
        key = (entry.target_key, entry.entry_id, entry.incarnation)
        count = max(allocated, entry.reported)
        if entry.applied_version < version:
            count = max(count, self.uses.get(key, budget))
        self.uses[key] = count
        return count

    def keep_only(self, target_keys: set[str], entries: set[tuple[str, str]]) -> None:
        """Drop the uses of targets that need no permits and of entries whose lease has passed."""
        self.uses = {
            key: use for key, use in self.uses.items() if key[0] in target_keys and key[1:] in entries
        }


def limit_increase(
    current: Mapping[str, int], wanted: Mapping[str, int], uses: Mapping[str, int], budget: int
) -> dict[str, int]:
    """Return the part of a wanted allocation that fits beside permits still in use.

    Reductions take effect in full. Nothing is increased while entries may use more than the budget together;
    otherwise increases get what the budget leaves.

    Args:
        current: The allocation in force.
        wanted: The division that demand asks for.
        uses: Permits that each live entry may still use, at least its allocation.
        budget: The target's budget.
    """
    entries = sorted(uses)
    result = {entry: min(wanted.get(entry, 0), current.get(entry, 0)) for entry in entries}
    spare = budget - sum(uses.values())
    if spare >= 0:
        for entry in entries:
            limit = uses[entry] + spare
            result[entry] = max(result[entry], min(wanted.get(entry, 0), limit))
            spare -= max(0, result[entry] - uses[entry])
    check(sum(result.values()) <= max(budget, 0), f"permits {result} exceed the budget of {budget}")
    return {entry: count for entry, count in result.items() if count > 0}
