"""Changes of the voters of a group by its leader, one at a time."""

import collections
import math

from cranberrylever.consensus._log import membership_entry
from cranberrylever.consensus._messages import EntryKind, Membership


class MembershipChanges:
    """Mixin of ``Leadership`` that replaces lost voters and grows the group to its number of voters."""

    def change_membership(self, now: float) -> None:
        """Stop replication to silent learners, then make the next change of the voters that is due."""
        self._remove_silent_learners(now)
        if self._may_change_membership():
            self._replace_silent_voter(now)
        if self._may_change_membership():
            self._add_voter(now)

    def _remove_silent_learners(self, now: float) -> None:
        """Stop replication to silent members outside the group: learners and replaced voters."""
        group = set(self.node.group())
        timeout = self.node.config.timings.learner_timeout
        for member in [member for member in self.progress if member not in group]:
            if self._time_since_contact(member, now) > timeout:
                del self.progress[member]

    def _time_since_contact(self, member: str, now: float) -> float:
        folder = self.node.peer_folders.get(member)
        return now - max(folder.heard_at if folder else -math.inf, self.started_at)

    def _may_change_membership(self) -> bool:
        """Return whether the membership before is committed, as only one change may be under way."""
        history = self.node.memberships
        return (
            self.has_committed
            and history.latest is not None
            and history.latest_index <= self.node.commit_index
        )

    def _is_reachable(self, member: str, now: float) -> bool:
        return self._time_since_contact(member, now) <= self.node.config.timings.election_max

    def _replace_silent_voter(self, now: float) -> None:
        """Replace the voter that is silent for longest with a learner that holds all committed entries.

        Neither of the two counts towards the majority that commits the membership change, so the other
        voters must have one. Further voters may be silent meanwhile; they are replaced one by one.
        """
        node = self.node
        own = node.config.member_id
        voters = [member for member in node.memberships.latest.folders if member != own]
        if not voters:
            return
        silent = max(voters, key=lambda member: self._time_since_contact(member, now))
        if self._time_since_contact(silent, now) <= node.config.timings.replace_after:
            return
        reachable = [member for member in voters if self._is_reachable(member, now)]
        if len(reachable) + 1 < node.quorum:
            return
        learners = self._ready_learners(now)
        if learners:
            remaining = [member for member in (own, *voters) if member != silent]
            learner = self._most_spread(learners, remaining)
            self._append_replacement(silent, learner, self.progress[learner].folder_id)

    def _add_voter(self, now: float) -> None:
        """Add a voter while the group has fewer than configured, if all present voters are reachable.

        The first of two is added only once both are ready: a group of an even size bears no more losses
        than one with a voter less.
        """
        node = self.node
        folders = node.memberships.latest.folders
        missing = node.config.voters - len(folders)
        learners = self._ready_learners(now)
        needed = 2 if len(folders) % 2 else 1
        if missing < needed or len(learners) < needed:
            return
        own = node.config.member_id
        if not all(self._is_reachable(member, now) for member in folders if member != own):
            return
        added = self._most_spread(learners, list(folders))
        self._append_membership({**folders, added: self.progress[added].folder_id})

    def _most_spread(self, learners: list[str], voters: list[str]) -> str:
        """Return the learner whose failure domain has the fewest voters."""
        domains = collections.Counter(self._failure_domain(member) for member in voters)
        return min(learners, key=lambda member: domains[self._failure_domain(member)])

    def _failure_domain(self, member: str) -> str:
        config = self.node.config
        return config.failure_domain if member == config.member_id else self.progress[member].failure_domain

    def is_forming(self, now: float) -> bool:
        """Return whether this is a new group that may still get the voters that it lacks.

        A change that it acknowledges would not survive the losses that the group is configured for.
        """
        node = self.node
        membership = node.memberships.latest
        if membership is None or now > self.started_at + node.config.timings.formation_timeout:
            return False
        is_growing = len(membership.folders) < node.config.voters or not self._may_change_membership()
        return is_growing and node.log.base_index == 0 and not self._holds_commands()

    def _holds_commands(self) -> bool:
        return any(entry.kind == EntryKind.COMMAND for entry in self.node.log.entries)

    def _ready_learners(self, now: float) -> list[str]:
        """Return the learners that could vote: reachable ones that hold all committed entries."""
        return [member for member in self.progress if self._can_become_voter(member, now)]

    def _can_become_voter(self, member: str, now: float) -> bool:
        """Return whether ``member`` is a reachable, up-to-date learner."""
        node = self.node
        progress = self.progress[member]
        latest = node.memberships.latest
        is_learner = member not in latest.folders and progress.folder_id not in (*latest.retired, "")
        is_up_to_date = progress.match_index >= node.commit_index
        return is_learner and is_up_to_date and self._is_reachable(member, now)

    def _append_replacement(self, removed: str, added: str, folder_id: str) -> None:
        node = self.node
        latest = node.memberships.latest
        voting_folder_id = latest.folders[removed]
        folders = {member: folder for member, folder in latest.folders.items() if member != removed}
        folders[added] = folder_id
        self._append_membership(folders, voting_folder_id)

    def _append_membership(self, folders: dict[str, str], retired_folder_id: str = "") -> None:
        """Append a membership with the voters in ``folders``; a directory that it replaces is retired."""
        node = self.node
        latest = node.memberships.latest
        retired = latest.retired + ((retired_folder_id,) if retired_folder_id else ())
        index = node.log.last_index + 1
        node.append_entry(membership_entry(index, node.hard_state.term, Membership(folders, retired)))

    def record_new_folder(self, member: str) -> None:
        """Append a membership in which a caught-up member of the group votes with its new directory."""
        node = self.node
        progress = self.progress[member]
        history = node.memberships
        if not self._may_change_membership():
            return
        if not progress.folder_id or progress.folder_id in history.latest.retired:
            return
        voting_folder_id = history.latest.folders.get(member, "")
        if member not in history.latest.folders:
            return
        if voting_folder_id == progress.folder_id or progress.match_index < node.commit_index:
            return
        folders = {**history.latest.folders, member: progress.folder_id}
        self._append_membership(folders, voting_folder_id)
        self.broadcast()
