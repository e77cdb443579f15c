"""View leases of entries, as recorded by the leader."""

import math

import attrs


@attrs.frozen
class EntryLease:
    """The view lease of one entry process; times are loop seconds."""

    entry_id: str
    incarnation: str
    address: str
    received_at: float
    applied_version: int
    settled_version: int


class EntryLeases:
    """Leases by entry process, held in the leader's memory.

    An entry counts its lease from the time at which it sends a report. The leader counts it from the receipt
    of the report and adds the drift margin, so its bound is later on any clock.

    Args:
        lifetime: Maximum duration of a lease including the drift margin, in seconds.
    """

    def __init__(self, lifetime: float) -> None:
        self.lifetime = lifetime
        self.unknown_entries_until = float("inf")
        self.leases: dict[tuple[str, str], EntryLease] = {}

    def start_term(self, now: float) -> None:
        """Discard all leases; entries leased by the previous leader may be unknown for one lifetime."""
        self.leases.clear()
        self.unknown_entries_until = now + self.lifetime

    def renew(
        self,
        entry_id: str,
        incarnation: str,
        address: str,
        received_at: float,
        applied_version: int,
        settled_version: int,
    ) -> None:
        """Renew the lease of an entry; versions never decrease within one incarnation."""
        previous = self.leases.get((entry_id, incarnation))
        if previous is not None:
            received_at = max(received_at, previous.received_at)
            applied_version = max(applied_version, previous.applied_version)
            settled_version = max(settled_version, previous.settled_version)
        self.leases[entry_id, incarnation] = EntryLease(
            entry_id, incarnation, address, received_at, applied_version, settled_version
        )

    def is_live(self, lease: EntryLease, now: float) -> bool:
        """Return whether an entry may still hold a valid view."""
        return now < lease.received_at + self.lifetime

    def live(self, now: float) -> tuple[EntryLease, ...]:
        """Return the leases that may still be valid and drop the others."""
        ended = [key for key, lease in self.leases.items() if not self.is_live(lease, now)]
        for key in ended:
            del self.leases[key]
        return tuple(self.leases.values())

    def all_entries_known(self, now: float) -> bool:
        """Return whether every entry with a valid view has reported to this leader."""
        return now >= self.unknown_entries_until

    def settled_version(self, now: float) -> float:
        """Return the greatest version that every entry with a valid view has settled.

        No such entry has work in flight that it sent under an older view to a shard released since. Without
        live entries the result is infinite; while an entry may be unknown it is -1.
        """
        if not self.all_entries_known(now):
            return -1
        return min((lease.settled_version for lease in self.live(now)), default=math.inf)

    def all_settled(self, version: int, now: float) -> bool:
        """Return whether every entry with a valid view has settled ``version``."""
        return self.settled_version(now) >= version
