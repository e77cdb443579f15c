"""Attempts in flight, from which the settled view version follows."""

from collections.abc import Iterator

from cranberrylever.entry._exchange import Attempt
from cranberrylever.routing import RoutingTable


class InFlight:
    """All attempts that have been registered and not yet ended."""

    def __init__(self) -> None:
        self.attempts: set[Attempt] = set()
        self.blockers: set[Attempt] = set()

    def add(self, attempt: Attempt) -> None:
        """Register an attempt; this must happen in the same step as its look-up in the view."""
        self.attempts.add(attempt)

    def remove(self, attempt: Attempt) -> bool:
        """Forget an attempt that has ended or whose connection is closed.

        Returns:
            Whether the settled version may have advanced.
        """
        self.attempts.discard(attempt)
        if attempt not in self.blockers:
            return False
        self.blockers.discard(attempt)
        return True

    def apply_view(self, previous_version: int, table: RoutingTable) -> None:
        """Mark the attempts whose shard the new view has taken away.

        The key is looked up again, not the shard: a new pin moves the key to another shard, and an attempt
        under the old shard must end before that pin may move.

        Args:
            previous_version: Version in force until now, the last one in which those shards were owned.
            table: The new view.
        """
        for attempt in self.attempts:
            if attempt.shard < 0 or attempt.blocked_at is not None:
                continue
            service = table.services.get(attempt.exchange.service.name)
            key_hash = attempt.exchange.key_hash
            if service is not None and service.kind == "keyed" and key_hash is not None:
                route = table.keyed_route(service, key_hash)
                if route.target is not None and (route.shard, route.fence) == (attempt.shard, attempt.fence):
                    continue
            attempt.blocked_at = previous_version
            self.blockers.add(attempt)

    def settled_version(self, applied_version: int) -> int:
        """Return the greatest version that no attempt in flight contradicts."""
        return min((attempt.blocked_at for attempt in self.blockers), default=applied_version)

    def with_fingerprint(self, fingerprint: str) -> Iterator[Attempt]:
        """Return the attempts of requests with this fingerprint."""
        return (attempt for attempt in self.attempts if attempt.exchange.fingerprint == fingerprint)

    def abort_unsent(self) -> int:
        """Break the connections of keyed attempts of which a part has not left yet, and return their number.

        Once the lease of the view has passed, the shard may move, and a target that does not check fences
        would run a request that becomes complete after that.
        """
        unsent = [attempt for attempt in self.attempts if attempt.shard >= 0 and attempt.has_unsent_bytes()]
        for attempt in unsent:
            attempt.abort()
        return len(unsent)

    def abort_lost(self, table: RoutingTable) -> None:
        """Break the connections to targets that the view shows as lost or no longer has.

        A request to a frozen target would otherwise hold the settled version back until its deadline.
        """
        for attempt in list(self.attempts):
            target = table.targets.get(attempt.target_id)
            is_same = target is not None and target.incarnation == attempt.incarnation
            if attempt.state is not None and not (is_same and target.phase != "lost"):
                attempt.abort()
