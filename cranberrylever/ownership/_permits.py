"""Permits for cold targets: the replicated allocations and the leader's record of their use."""

from collections.abc import Mapping

import attrs

from cranberrylever.invariants import check


@attrs.frozen
class PermitRecord:
    """Permits per entry for one incarnation of a cold target; ``version`` is the allocation's log index."""

    target_id: str
    incarnation: str
    version: int
    allocations: dict[str, int]


class PermitTable:
    """The replicated permit allocation of each cold target."""

    def __init__(self, records: tuple[PermitRecord, ...] = ()) -> None:
        self.records = {record.target_id: record for record in records}

    def get(self, target_id: str) -> PermitRecord | None:
        """Return the allocation for a target, if any."""
        return self.records.get(target_id)

    def allocate(self, record: PermitRecord, budget: int) -> bool:
        """Replace the allocation for a target.

        Returns:
            False if it exceeds the budget and is ignored.
        """
        allocations = {entry: count for entry, count in sorted(record.allocations.items()) if count > 0}
        if sum(allocations.values()) > budget:
            return False
        self.records[record.target_id] = attrs.evolve(record, allocations=allocations)
        return True

    def remove_allocation(self, target_id: str) -> bool:
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
    """Divide the whole budget among entries in proportion to demand.

    Each entry with demand first gets one permit. If the budget is below their number, ``rotation`` selects
    the entries that get one. The remaining permits are divided by the largest remainder method.

    Args:
        budget: Number of permits.
        demands: Demand per entry; entries without demand get permits only if no entry has demand.
        rotation: Counter; each increase selects the next entries.
    """
    if budget <= 0 or not demands:
        return {}
    requesting = sorted(entry for entry, demand in demands.items() if demand > 0) or sorted(demands)
    start = rotation * budget % len(requesting)
    rotated = requesting[start:] + requesting[:start]
    allocated = dict.fromkeys(rotated[:budget], 1)
    remaining = budget - len(allocated)
    if remaining <= 0:
        return allocated
    _divide_remaining(remaining, {entry: demands[entry] for entry in rotated}, allocated)
    return allocated


def _divide_remaining(remaining: int, demands: Mapping[str, float], allocated: dict[str, int]) -> None:
    """Add ``remaining`` permits to ``allocated``.

    They are divided in proportion to the demand that the first permit of each entry does not cover.
    """
    total = sum(demands.values())
    budget = remaining + len(allocated)
    uncovered_demand = {
        entry: max(0.0, budget * demand / total - 1) if total > 0 else 1.0
        for entry, demand in demands.items()
    }
    uncovered_total = sum(uncovered_demand.values())
    quotas = {
        entry: remaining * demand / uncovered_total
        if uncovered_total > 0
        else remaining / len(uncovered_demand)
        for entry, demand in uncovered_demand.items()
    }
    for entry, quota in quotas.items():
        allocated[entry] += int(quota)
    remainder = remaining - sum(int(quota) for quota in quotas.values())
    by_remainder = sorted(quotas, key=lambda entry: int(quotas[entry]) - quotas[entry])
    for entry in by_remainder[:remainder]:
        allocated[entry] += 1


@attrs.frozen
class EntryUse:
    """The permits for one target that an entry process reports to be in use."""

    target_key: str
    entry_id: str
    incarnation: str
    applied_version: int
    reported: int


class PermitLedger:
    """In-memory record of the permits that entries may still use, kept by the leader.

    Once an entry has reported a view at or after the allocation's version, it uses at most its allocation.
    Until then it is assumed to use the largest of its allocation, its reported use and the number recorded
    earlier, or the whole budget if no number is recorded.
    """

    def __init__(self) -> None:
        self.possible_uses: dict[tuple[str, str, str], int] = {}

    def clear(self) -> None:
        """Discard all records."""
        self.possible_uses.clear()

    def possible_use(
        self, record: PermitRecord | None, base_version: int, entry: EntryUse, budget: int
    ) -> int:
        """Return and record the maximum number of permits that a live entry may still use.

        Args:
            record: The allocation in force.
            base_version: Log index from which work for the target needs permits.
            entry: The entry's latest report on this target.
            budget: The target's budget, assumed for an entry without a record.
        """
        allocated = record.allocations.get(entry.entry_id, 0) if record else 0
        version = max(base_version, record.version if record else 0)
        key = (entry.target_key, entry.entry_id, entry.incarnation)
        count = max(allocated, entry.reported)
        if entry.applied_version < version:
            count = max(count, self.possible_uses.get(key, budget))
        self.possible_uses[key] = count
        return count

    def keep_only(self, target_keys: set[str], entries: set[tuple[str, str]]) -> None:
        """Drop records of targets that need no permits and of entries whose lease has expired."""
        self.possible_uses = {
            key: use
            for key, use in self.possible_uses.items()
            if key[0] in target_keys and key[1:] in entries
        }


def limit_increase(
    current: Mapping[str, int], wanted: Mapping[str, int], possible_uses: Mapping[str, int], budget: int
) -> dict[str, int]:
    """Return the part of a wanted allocation that the budget allows beside permits possibly in use.

    Reductions apply in full. Increases get the permits of the budget that no entry may use, and none if
    entries may use more than the budget in total.

    Args:
        current: The allocation in force.
        wanted: The allocation according to demand.
        possible_uses: Permits that each live entry may still use, at least its allocation.
        budget: The target's budget.
    """
    entries = sorted(possible_uses)
    result = {entry: min(wanted.get(entry, 0), current.get(entry, 0)) for entry in entries}
    spare = budget - sum(possible_uses.values())
    if spare >= 0:
        for entry in entries:
            limit = possible_uses[entry] + spare
            result[entry] = max(result[entry], min(wanted.get(entry, 0), limit))
            spare -= max(0, result[entry] - possible_uses[entry])
    check(
        sum(result.values()) <= max(budget, 0), f"allocation {result} exceeds the budget of {budget} permits"
    )
    return {entry: count for entry, count in result.items() if count > 0}
