"""Attempts in flight, which determine the settled view version."""

from collections.abc import Iterator

from cranberrylever.entry._exchange import Attempt
from cranberrylever.routing import RoutingTable


class InFlightAttempts:
    """Registry of the attempts that have not ended.

    ``blocking_attempts`` are those whose shard a later view has taken away from their target.
    """

    def __init__(self) -> None:
        self.attempts: set[Attempt] = set()
        self.blocking_attempts: set[Attempt] = set()

    def add(self, attempt: Attempt) -> None:
        """Register an attempt, in the same event loop step as the lookup of its target in the view."""
        self.attempts.add(attempt)

    def remove(self, attempt: Attempt) -> bool:
        """Remove an attempt that has ended or whose connection is closed.

        Returns:
            Whether the settled version may have advanced.
        """
        self.attempts.discard(attempt)
        if attempt not in self.blocking_attempts:
            return False
        self.blocking_attempts.discard(attempt)
        return True

    def apply_view(self, previous_version: int, table: RoutingTable) -> None:
        """Mark the attempts whose shard the new view has taken away from their target.

        The key is looked up again, not the shard: a new pin moves the key to another shard, and an attempt
        under the old shard must end before the pinned shard may move.

        Args:
            previous_version: Version replaced by the new view, the last one in which the targets owned
                those shards.
            table: The new view.
        """
        for attempt in self.attempts:
            if attempt.shard < 0 or attempt.last_owned_version is not None:
                continue
            service = table.services.get(attempt.exchange.service.name)
            key_hash = attempt.exchange.key_hash
            if service is not None and service.kind == "keyed" and key_hash is not None:
                route = table.shard_owner(service, key_hash)
                if route.target is not None and (route.shard, route.fence) == (attempt.shard, attempt.fence):
                    continue
            attempt.last_owned_version = previous_version
            self.blocking_attempts.add(attempt)

    def settled_version(self, applied_version: int) -> int:
        """Return the greatest applied version under which no attempt in flight has lost its shard."""
        return min(
            (attempt.last_owned_version for attempt in self.blocking_attempts), default=applied_version
        )

    def find_by_fingerprint(self, fingerprint: str) -> Iterator[Attempt]:
        """Return the attempts of requests with this fingerprint."""
        return (attempt for attempt in self.attempts if attempt.exchange.fingerprint == fingerprint)

    def abort_unsent(self) -> int:
        """Abort the keyed attempts that are not fully sent, and return their number.

        After the lease of the view has expired, the shard may move. A target that does not check fences
        would run a request whose last part arrives after the move.
        """
        unsent = [attempt for attempt in self.attempts if attempt.shard >= 0 and attempt.has_unsent_bytes()]
        for attempt in unsent:
            attempt.abort()
        return len(unsent)

    def abort_for_lost_targets(self, table: RoutingTable) -> None:
        """Abort the attempts at targets that are lost in the view or missing from it.

        Otherwise a request to a frozen target holds back the settled version until its deadline.
        """
        for attempt in list(self.attempts):
            target = table.targets.get(attempt.target_id)
            is_same = target is not None and target.incarnation == attempt.incarnation
            if attempt.state is not None and not (is_same and target.phase != "lost"):
                attempt.abort()
