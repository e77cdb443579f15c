"""The rules of elections."""

from cranberrylever.consensus._config import Role
from cranberrylever.consensus._leadership import Leadership
from cranberrylever.consensus._log import is_voter
from cranberrylever.consensus._messages import StartElection, VoteReply, VoteRequest
from cranberrylever.invariants import check


class ElectionRules:
    """Pre-vote, vote and change of role, for ``RaftNode``."""

    def next_election(self, now: float) -> float:
        """Return a random time for the next election."""
        timings = self.config.timings
        return now + self.rng.uniform(timings.election_min, timings.election_max)

    def first_election(self, may_vote_at: float) -> float:
        """Return a random time for the first election of a member that may vote from ``may_vote_at``."""
        timings = self.config.timings
        return may_vote_at + self.rng.uniform(0.0, timings.election_max - timings.election_min)

    def may_vote(self) -> bool:
        """Return whether this member's own folder votes."""
        _, committed = self.memberships.at(self.commit_index)
        return all(
            is_voter(membership, self.config.member_id, self.folder_id, self.founder)
            for membership in (committed, self.memberships.latest)
        )

    def votes_durably(self) -> bool:
        """Return whether this member's own folder votes by what is synced, which a kill does not change."""
        _, membership = self.memberships.at(self.hard.commit_index)
        return is_voter(membership, self.config.member_id, self.folder_id, self.founder)

    def _is_known_voter(self, member: str, folder_id: str, request: VoteRequest) -> bool:
        """Return whether the candidate's folder votes.

        A candidate may have been readmitted by an entry that this member does not hold yet. Refusing it
        would leave a group without a leader when the candidate's log is the only complete one.
        """
        if request.membership_index > self.memberships.latest_index:
            return True
        _, committed = self.memberships.at(self.commit_index)
        return any(
            is_voter(membership, member, folder_id, request.founder)
            for membership in (committed, self.memberships.latest)
        )

    def start_pre_vote(self, now: float) -> None:
        """Ask the others whether they would vote, so that a member without a majority raises no term."""
        self.election_at = self.next_election(now)
        if not self.may_vote():
            return
        if self.quorum == 1:
            self._start_election(now)
            return
        self.role = Role.PRE_CANDIDATE
        self.leader_id = None
        self.votes = {self.config.member_id}
        request = self._vote_request(self.hard.term + 1, pre_vote=True)
        for member in self.peers:
            self.send_after_sync(member, request)

    def on_start_election(self, message: StartElection, now: float) -> None:
        """Stand for election without a pre-vote, because the leader has stepped down for this member."""
        if message.term == self.hard.term and self.leadership is None and self.may_vote():
            self._start_election(now, handover=True)

    def _start_election(self, now: float, handover: bool = False) -> None:
        self.role = Role.CANDIDATE
        self.leader_id = None
        self.votes = set()
        self.election_at = self.next_election(now)
        self.set_hard(term=self.hard.term + 1, voted_for=self.config.member_id)
        request = self._vote_request(self.hard.term, pre_vote=False, handover=handover)
        for member in self.peers:
            self.send_after_sync(member, request)

    def _vote_request(self, term: int, pre_vote: bool, handover: bool = False) -> VoteRequest:
        membership_index, _ = self.memberships.at(self.commit_index)
        return VoteRequest(
            term,
            self.log.last_index,
            self.log.last_term,
            pre_vote,
            self.founder,
            membership_index,
            handover,
        )

    def _hears_leader(self, now: float) -> bool:
        """Return whether a leader lease could still rely on this member's silence."""
        if now < self.no_vote_before:
            return True
        if self.leadership is not None:
            return now < self.leadership.lease_until()
        return now - self.last_heard < self.config.timings.election_min

    def on_vote_request(self, sender: str, folder_id: str, request: VoteRequest, now: float) -> None:
        """Answer a request; one that arrives while a leader is heard is not answered."""
        if not self._is_known_voter(sender, folder_id, request):
            return
        if request.pre_vote:
            granted = self._can_vote_for(request, now) and request.term > self.hard.term
            term = request.term if granted else self.hard.term
            self.send_after_sync(sender, VoteReply(term, granted, True, self.founder))
            return
        if request.term >= self.hard.term and not request.handover and self._hears_leader(now):
            return
        if request.term > self.hard.term:
            self.become_follower(request.term, now)
        granted = (
            request.term == self.hard.term
            and self.hard.voted_for in ("", sender)
            and self._can_vote_for(request, now)
        )
        if granted and not self.hard.voted_for:
            self.set_hard(voted_for=sender)
            self.election_at = self.next_election(now)
        self.send_after_sync(sender, VoteReply(self.hard.term, granted, False, self.founder))

    def _can_vote_for(self, request: VoteRequest, now: float) -> bool:
        own = (self.log.last_term, self.log.last_index)
        is_complete = (request.last_term, request.last_index) >= own
        is_free = request.handover or not self._hears_leader(now)
        return is_complete and self.may_vote() and is_free

    def on_vote_reply(self, sender: str, folder_id: str, reply: VoteReply, now: float) -> None:
        """Count a vote of a folder that votes."""
        if not reply.granted:
            if reply.term > self.hard.term:
                self.become_follower(reply.term, now)
            return
        if not is_voter(self.memberships.latest, sender, folder_id, reply.founder):
            return
        if reply.pre_vote and self.role is Role.PRE_CANDIDATE and reply.term == self.hard.term + 1:
            self.votes.add(sender)
            if len(self.votes) >= self.quorum:
                self._start_election(now)
        elif not reply.pre_vote and self.role is Role.CANDIDATE and reply.term == self.hard.term:
            self.count_vote(sender, now)

    def count_vote(self, member: str, now: float) -> None:
        """Add a vote; this member's own counts once it is synced."""
        self.votes.add(member)
        own = self.config.member_id
        if own in self.votes and len(self.votes) >= self.quorum:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        check(self.may_vote(), "a learner does not lead")
        self.role = Role.LEADER
        self.leader_id = self.config.member_id
        self.leadership = Leadership(self, now)
        self.leadership.start_round(now)

    def become_follower(self, term: int, now: float) -> None:
        """Follow in ``term``; the leader is not known yet."""
        self.step_down(now)
        if term > self.hard.term:
            self.set_hard(term=term, voted_for="")

    def step_down(self, now: float) -> None:
        """Leave the role of a leader or candidate."""
        if self.leadership is not None:
            self.failed_reads.extend(read.read_id for read in self.leadership.reads)
            self.leadership = None
            self.election_at = self.next_election(now)
        self.role = Role.FOLLOWER
        self.leader_id = None
