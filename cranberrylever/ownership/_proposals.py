"""Changes proposed and not yet seen in the state."""

from collections.abc import Hashable


class PendingProposals:
    """Prevents that a change is proposed twice while it is pending.

    A key names a change together with the fence or version on which it is based, so an applied change never
    asks for the same key again. A proposal that has not shown after the timeout counts as lost. Proposing it
    again is safe, because apply ignores a change that is based on an old fence.

    Args:
        timeout: Time after which a proposal counts as lost, in seconds.
    """

    def __init__(self, timeout: float) -> None:
        self.timeout = timeout
        self.proposed_at: dict[Hashable, float] = {}

    def clear(self) -> None:
        """Forget all proposals."""
        self.proposed_at.clear()

    def is_pending(self, key: Hashable, now: float) -> bool:
        """Tell whether a change was proposed less than the timeout ago."""
        proposed_at = self.proposed_at.get(key)
        return proposed_at is not None and now - proposed_at < self.timeout

    def add(self, key: Hashable, now: float) -> bool:
        """Note a proposal.

        Returns:
            False when the same change is pending already.
        """
        if self.is_pending(key, now):
            return False
        self.proposed_at[key] = now
        return True

    def drop_expired(self, now: float) -> None:
        """Drop the keys of proposals older than the timeout."""
        self.proposed_at = {
            key: proposed_at
            for key, proposed_at in self.proposed_at.items()
            if now - proposed_at < self.timeout
        }
