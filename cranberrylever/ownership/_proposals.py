"""Changes that are proposed and not applied yet."""

from collections.abc import Hashable


class PendingProposals:
    """Suppresses repeated proposals of a pending change.

    A key identifies a change together with the fence or version on which it is based, so no key is used again
    after its change is applied. A proposal that is not applied within the timeout counts as lost. Repeating
    it is safe, because the state machine ignores a change that is based on an old fence.

    Args:
        timeout: Time after which a proposal counts as lost, in seconds.
    """

    def __init__(self, timeout: float) -> None:
        self.timeout = timeout
        self.proposed_at: dict[Hashable, float] = {}

    def clear(self) -> None:
        """Discard all proposals."""
        self.proposed_at.clear()

    def is_pending(self, key: Hashable, now: float) -> bool:
        """Return whether a change was proposed within the timeout."""
        proposed_at = self.proposed_at.get(key)
        return proposed_at is not None and now - proposed_at < self.timeout

    def add(self, key: Hashable, now: float) -> bool:
        """Record a proposal.

        Returns:
            False if the same change is pending already.
        """
        if self.is_pending(key, now):
            return False
        self.proposed_at[key] = now
        return True

    def drop_expired(self, now: float) -> None:
        """Drop proposals older than the timeout."""
        self.proposed_at = {
            key: proposed_at
            for key, proposed_at in self.proposed_at.items()
            if now - proposed_at < self.timeout
        }
