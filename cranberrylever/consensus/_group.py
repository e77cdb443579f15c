"""Members and majority of the group as one member knows them."""

from cranberrylever.consensus._log import adds_voters_only, is_voter
from cranberrylever.consensus._messages import Membership


class GroupRules:
    """Mixin of ``RaftNode`` that derives the group from the memberships in the log."""

    @property
    def peers(self) -> list[str]:
        """Ids of the other members of the committed and the latest membership."""
        return [member for member in self.group() if member != self.config.member_id]

    @property
    def quorum(self) -> int:
        """Number of members that form a majority under both the settled and the latest membership.

        While a voter is being added, a majority of the voters before is one under both, as each majority of
        the larger group contains one of them. Otherwise a single loss could stop the group until it is over.
        """
        latest = self.memberships.latest
        settled = self.settled_membership()
        if latest is None:
            return len(self.config.members) // 2 + 1
        if settled is None:
            return len(latest.folders) // 2 + 1
        if adds_voters_only(settled, latest):
            return len(settled.folders) // 2 + 1
        return max(len(settled.folders), len(latest.folders)) // 2 + 1

    def settled_membership(self) -> Membership | None:
        """Return the newest membership that is certainly committed."""
        return self.memberships.settled(self.commit_index)

    def is_electing_voter(self, member: str, folder_id: str, founder: bool) -> bool:
        """Return whether a vote of ``member`` with this data directory counts in an election of this member.

        A voter that is being added does not count yet, see ``quorum``.
        """
        latest = self.memberships.latest
        settled = self.settled_membership()
        if not is_voter(latest, member, folder_id, founder):
            return False
        is_adding = latest is not None and adds_voters_only(settled, latest)
        return not is_adding or is_voter(settled, member, folder_id, founder)

    def group(self) -> list[str]:
        """Return the ids of all members of the group, including this one if it belongs to the group."""
        memberships = self._active_memberships()
        if not memberships:
            return list(self.config.members)
        return list(dict.fromkeys(member for item in memberships for member in item.folders))

    def is_outside_group(self) -> bool:
        """Return whether this member has to ask to join the group.

        Neither the committed nor the latest membership names it, or it knows none and is no founder:
        an initial member that lost its disk may have been replaced meanwhile.
        """
        if not self._active_memberships() and not self.founder:
            return True
        return self.config.member_id not in self.group()

    def _active_memberships(self) -> list[Membership]:
        _, committed = self.memberships.at(self.commit_index)
        return [item for item in (self.memberships.latest, committed) if item is not None]
