"""View leases of entries, held in the leader's memory."""

import math

import attrs


@attrs.frozen
class EntryLease:
    """What the leader knows about one entry process; times are loop seconds."""

    entry_id: str
    incarnation: str
    address: str
    received_at: float
    applied_version: int
    settled_version: int


class EntryLeases:
    """Leases by entry process.

    An entry counts its lease from the moment it sent a poll. The leader counts from the receipt of the poll
    and adds the drift margin, so its bound is later on any clock.

    Args:
        lifetime: Longest possible lease, margin included, in seconds.
    """

    def __init__(self, lifetime: float) -> None:
        self.lifetime = lifetime
        self.unknown_entries_until = float("inf")
        self.leases: dict[tuple[str, str], EntryLease] = {}

    def start_term(self, now: float) -> None:
        """Forget all leases and wait one lifetime for entries that the previous leader answered."""
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
        """Renew the lease of an entry; versions never go back within one incarnation."""
        previous = self.leases.get((entry_id, incarnation))
        if previous is not None:
            received_at = max(received_at, previous.received_at)
            applied_version = max(applied_version, previous.applied_version)
            settled_version = max(settled_version, previous.settled_version)
        self.leases[entry_id, incarnation] = EntryLease(
            entry_id, incarnation, address, received_at, applied_version, settled_version
        )

    def is_live(self, lease: EntryLease, now: float) -> bool:
        """Tell whether an entry may still hold a valid view."""
        return now < lease.received_at + self.lifetime

    def live(self, now: float) -> tuple[EntryLease, ...]:
        """Return the leases that may still be valid, and drop all others."""
        ended = [key for key, lease in self.leases.items() if not self.is_live(lease, now)]
        for key in ended:
            del self.leases[key]
        return tuple(self.leases.values())

    def all_entries_known(self, now: float) -> bool:
        """Tell whether every entry with a valid view has polled this leader."""
        return now >= self.unknown_entries_until

    def settled_version(self, now: float) -> float:
        """Return the greatest version that every entry with a valid view has settled.

        No such entry has work in flight that it dispatched under an older view to a shard released since. The
        result is infinite without live entries, and -1 while an entry may be unknown.
        """
        if not self.all_entries_known(now):
            return -1
        return min((lease.settled_version for lease in self.live(now)), default=math.inf)

    def all_settled(self, version: int, now: float) -> bool:
        """Tell whether every entry with a valid view has settled ``version``."""
        return self.settled_version(now) >= version
