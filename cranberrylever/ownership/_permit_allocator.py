"""Allocation of permits for cold targets to entries."""

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from cranberrylever.membership import PHASE_COLD, EntryLease, EntryLeases, TargetRecord
from cranberrylever.ownership._permits import EntryUse, PermitLedger, divide_permits, limit_increase
from cranberrylever.ownership._proposals import PendingProposals
from cranberrylever.ownership._timings import Timings
from cranberrylever.state._commands import AllocatePermits
from cranberrylever.wire import EntryReport

if TYPE_CHECKING:
    from cranberrylever.state._cluster import ClusterState

# Weight of the latest report in the moving average of an entry's demand.
LATEST_DEMAND_WEIGHT = 0.5
# Number of permits per entry by which an allocation may differ from the wanted one without a change, because
# the difference may be noise in the demand.
TOLERATED_PERMIT_DIFFERENCE = 1

EntryKey = tuple[str, str]


@attrs.frozen
class _Revocation:
    """Revocation of the permits that entries without a lease have by one allocation.

    The permits were proposed for other entries. An entry in ``entries`` may report again before the proposal
    is applied, or after the proposal was lost. It gets no more permits of the allocation ``version``, only of
    a later one.
    """

    version: int
    entries: frozenset[str]


class PermitAllocator:
    """Proposes permit allocations in proportion to the demand of entries."""

    def __init__(
        self, state: "ClusterState", timings: Timings, leases: EntryLeases, pending: PendingProposals
    ) -> None:
        self.state = state
        self.timings = timings
        self.leases = leases
        self.pending = pending
        self.ledger = PermitLedger()
        self.demand: dict[tuple[str, str], float] = {}
        self.changed_at: dict[str, float] = {}
        self.revoked: dict[str, _Revocation] = {}

    def start_term(self) -> None:
        """Discard the in-memory records of earlier terms."""
        self.ledger.clear()
        self.demand.clear()
        self.changed_at.clear()
        self.revoked.clear()

    def record_report(self, report: EntryReport) -> None:
        """Update the moving average of an entry's demand for each target."""
        for load in report.target_loads:
            key = (load.target_id, report.entry_id)
            latest = float(load.outstanding + load.requests)
            previous = self.demand.get(key, latest)
            self.demand[key] = (1 - LATEST_DEMAND_WEIGHT) * previous + LATEST_DEMAND_WEIGHT * latest

    def step(self, now: float, reports: Mapping[EntryKey, EntryReport]) -> list[AllocatePermits]:
        """Return the allocations to propose, none while an entry with a valid view may be unknown."""
        if not self.leases.all_entries_known(now):
            return []
        live = self.leases.live(now)
        cold = [record for record in self.state.targets.records.values() if record.phase == PHASE_COLD]
        self._drop_stale({_target_key(record) for record in cold}, live)
        commands = [self._propose_allocation(record, live, reports, now) for record in cold]
        return [command for command in commands if command is not None]

    def permits_of(self, entry_id: str, incarnation: str, now: float) -> dict[str, int]:
        """Return the permits to send to an entry, none while its previous process may still use them."""
        for lease in self.leases.live(now):
            if lease.entry_id == entry_id and lease.incarnation != incarnation:
                return {}
        permits = self.state.permits.for_entry(entry_id)
        return {name: count for name, count in permits.items() if not self._is_revoked(name, entry_id)}

    def _is_revoked(self, target_id: str, entry_id: str) -> bool:
        revocation = self.revoked.get(target_id)
        record = self.state.permits.get(target_id)
        if revocation is None or record is None:
            return False
        return revocation.version == record.version and entry_id in revocation.entries

    def _revoke(self, target_id: str, version: int, entries: set[str]) -> None:
        previous = self.revoked.get(target_id)
        if previous is not None and previous.version == version:
            entries = entries | previous.entries
        self.revoked[target_id] = _Revocation(version, frozenset(entries))

    def _drop_stale(self, target_keys: set[str], live: tuple[EntryLease, ...]) -> None:
        self.ledger.keep_only(target_keys, {(lease.entry_id, lease.incarnation) for lease in live})
        entries = {lease.entry_id for lease in live}
        known = self.state.targets.records
        self.demand = {
            key: demand for key, demand in self.demand.items() if key[0] in known and key[1] in entries
        }

    def _propose_allocation(
        self,
        record: TargetRecord,
        live: tuple[EntryLease, ...],
        reports: Mapping[EntryKey, EntryReport],
        now: float,
    ) -> AllocatePermits | None:
        budget = self.state.cold_budget(record)
        permits = self.state.permits.get(record.target_id)
        current = permits.allocations if permits else {}
        demands = {lease.entry_id: self.demand.get((record.target_id, lease.entry_id), 0.0) for lease in live}
        wanted = divide_permits(budget, demands, int(now / self.timings.permit_rotation))
        possible_uses = self._possible_uses(record, live, reports, budget)
        is_reissue = any(self._is_revoked(record.target_id, entry) for entry in possible_uses)
        if self._is_within_tolerance(current, wanted, possible_uses) and not is_reissue:
            return None
        allocations = limit_increase(current, wanted, possible_uses, budget)
        if allocations == current and not is_reissue:
            return None
        is_reduction = any(allocations.get(entry, 0) < count for entry, count in current.items())
        changed_at = self.changed_at.get(record.target_id)
        is_early = changed_at is not None and now - changed_at < self.timings.permit_interval
        if is_reduction and is_early:
            return None
        version = max(record.phase_version, permits.version if permits else 0)
        if not self.pending.add(("permits", *_incarnation_key(record), version), now):
            return None
        self.changed_at[record.target_id] = now
        self._revoke(record.target_id, permits.version if permits else 0, set(current) - set(possible_uses))
        return AllocatePermits(record.target_id, record.incarnation, allocations)

    def _possible_uses(
        self,
        record: TargetRecord,
        live: tuple[EntryLease, ...],
        reports: Mapping[EntryKey, EntryReport],
        budget: int,
    ) -> dict[str, int]:
        """Return the number of permits for one target that each live entry may still use."""
        permits = self.state.permits.get(record.target_id)
        possible_uses: dict[str, int] = {}
        for lease in live:
            report = reports.get((lease.entry_id, lease.incarnation))
            reported = report.permits.get(record.target_id, 0) if report else 0
            use = EntryUse(
                _target_key(record), lease.entry_id, lease.incarnation, lease.applied_version, reported
            )
            count = self.ledger.possible_use(permits, record.phase_version, use, budget)
            possible_uses[lease.entry_id] = possible_uses.get(lease.entry_id, 0) + count
        return possible_uses

    @staticmethod
    def _is_within_tolerance(
        current: Mapping[str, int], wanted: Mapping[str, int], possible_uses: Mapping[str, int]
    ) -> bool:
        """Return whether a change of allocation is small enough to be noise in the demand."""
        if sum(current.values()) != sum(wanted.values()) or any(
            entry not in possible_uses for entry in current
        ):
            return False
        if any((current.get(entry, 0) > 0) != (wanted.get(entry, 0) > 0) for entry in possible_uses):
            return False
        return all(
            abs(current.get(entry, 0) - wanted.get(entry, 0)) <= TOLERATED_PERMIT_DIFFERENCE
            for entry in possible_uses
        )


def _incarnation_key(record: TargetRecord) -> tuple[str, str]:
    return record.target_id, record.incarnation


def _target_key(record: TargetRecord) -> str:
    """Return a key that is unique for each time that a target is cold."""
    return f"{record.target_id}/{record.incarnation}/{record.phase_version}"
