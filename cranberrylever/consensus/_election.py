"""Leader election with pre-votes and check quorum."""

from cranberrylever.consensus._config import Role
from cranberrylever.consensus._leadership import Leadership
from cranberrylever.consensus._log import is_voter
from cranberrylever.consensus._messages import StartElection, VoteReply, VoteRequest
from cranberrylever.invariants import check


class ElectionRules:
    """Mixin of ``RaftNode`` that handles pre-votes, votes and role changes."""

    def next_election_time(self, now: float) -> float:
        """Return the time of the next election: ``now`` plus a random election timeout."""
        timings = self.config.timings
        return now + self.rng.uniform(timings.election_min, timings.election_max)

    def first_election_time(self, may_vote_at: float) -> float:
        """Return a random time for the first election of a member that may vote from ``may_vote_at`` on."""
        timings = self.config.timings
        return may_vote_at + self.rng.uniform(0.0, timings.election_max - timings.election_min)

    def may_vote(self) -> bool:
        """Return whether this member is a voter under the committed and the latest membership."""
        _, committed = self.memberships.at(self.commit_index)
        return all(
            is_voter(membership, self.config.member_id, self.folder_id, self.founder)
            for membership in (committed, self.memberships.latest)
        )

    def is_persisted_voter(self) -> bool:
        """Return whether this member is a voter under the synced state, and remains one after a crash."""
        _, membership = self.memberships.at(self.hard_state.commit_index)
        return is_voter(membership, self.config.member_id, self.folder_id, self.founder)

    def _is_eligible_candidate(self, member: str, folder_id: str, request: VoteRequest) -> bool:
        """Return whether the candidate is a voter with this data directory.

        An entry that this member does not hold yet may have made the candidate a voter again. Refusing it
        would leave the group without a leader if the candidate has the only complete log.
        """
        if request.membership_index > self.memberships.latest_index:
            return True
        _, committed = self.memberships.at(self.commit_index)
        return any(
            is_voter(membership, member, folder_id, request.founder)
            for membership in (committed, self.memberships.latest)
        )

    def start_pre_vote(self, now: float) -> None:
        """Request pre-votes, so that a member that cannot win a majority does not raise the term."""
        self.election_deadline = self.next_election_time(now)
        if not self.may_vote():
            return
        if self.quorum == 1:
            self._start_election(now)
            return
        self.role = Role.PRE_CANDIDATE
        self.leader_id = None
        self.votes_received = {self.config.member_id}
        request = self._vote_request(self.hard_state.term + 1, pre_vote=True)
        for member in self.peers:
            self.send_after_sync(member, request)

    def on_start_election(self, message: StartElection, now: float) -> None:
        """Start an election without a pre-vote, because the leader transferred leadership to this member."""
        if message.term == self.hard_state.term and self.leadership is None and self.may_vote():
            self._start_election(now, handover=True)

    def _start_election(self, now: float, handover: bool = False) -> None:
        self.role = Role.CANDIDATE
        self.leader_id = None
        self.votes_received = set()
        self.election_deadline = self.next_election_time(now)
        self.set_hard_state(term=self.hard_state.term + 1, voted_for=self.config.member_id)
        request = self._vote_request(self.hard_state.term, pre_vote=False, handover=handover)
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

    def _in_leader_lease(self, now: float) -> bool:
        """Return whether a vote by this member could elect a leader while another one holds its lease."""
        if now < self.no_vote_until:
            return True
        if self.leadership is not None:
            return now < self.leadership.lease_until()
        return now - self.last_leader_contact < self.config.timings.election_min

    def on_vote_request(self, sender: str, folder_id: str, request: VoteRequest, now: float) -> None:
        """Reply to a vote request; a real vote is not answered while the lease of a leader may be valid."""
        if not self._is_eligible_candidate(sender, folder_id, request):
            return
        if request.pre_vote:
            granted = self._can_vote_for(request, now) and request.term > self.hard_state.term
            term = request.term if granted else self.hard_state.term
            self.send_after_sync(sender, VoteReply(term, granted, True, self.founder))
            return
        if request.term >= self.hard_state.term and not request.handover and self._in_leader_lease(now):
            return
        if request.term > self.hard_state.term:
            self.become_follower(request.term, now)
        granted = (
            request.term == self.hard_state.term
            and self.hard_state.voted_for in ("", sender)
            and self._can_vote_for(request, now)
        )
        if granted and not self.hard_state.voted_for:
            self.set_hard_state(voted_for=sender)
            self.election_deadline = self.next_election_time(now)
        self.send_after_sync(sender, VoteReply(self.hard_state.term, granted, False, self.founder))

    def _can_vote_for(self, request: VoteRequest, now: float) -> bool:
        own = (self.log.last_term, self.log.last_index)
        is_up_to_date = (request.last_term, request.last_index) >= own
        is_lease_over = request.handover or not self._in_leader_lease(now)
        return is_up_to_date and self.may_vote() and is_lease_over

    def on_vote_reply(self, sender: str, folder_id: str, reply: VoteReply, now: float) -> None:
        """Count a granted vote or pre-vote of a voter."""
        if not reply.granted:
            if reply.term > self.hard_state.term:
                self.become_follower(reply.term, now)
            return
        if not self.is_electing_voter(sender, folder_id, reply.founder):
            return
        if reply.pre_vote and self.role is Role.PRE_CANDIDATE and reply.term == self.hard_state.term + 1:
            self.votes_received.add(sender)
            if len(self.votes_received) >= self.quorum:
                self._start_election(now)
        elif not reply.pre_vote and self.role is Role.CANDIDATE and reply.term == self.hard_state.term:
            self.count_vote(sender, now)

    def count_vote(self, member: str, now: float) -> None:
        """Count a vote and become leader on a majority; this member's own vote is counted after its sync."""
        self.votes_received.add(member)
        own = self.config.member_id
        if own in self.votes_received and len(self.votes_received) >= self.quorum:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        check(self.may_vote(), "this member won an election but is not a voter")
        self.role = Role.LEADER
        self.leader_id = self.config.member_id
        self.leadership = Leadership(self, now)
        self.leadership.start_round(now)

    def become_follower(self, term: int, now: float) -> None:
        """Become a follower in ``term`` without a known leader."""
        self.step_down(now)
        if term > self.hard_state.term:
            self.set_hard_state(term=term, voted_for="")

    def step_down(self, now: float) -> None:
        """Give up the role of leader or candidate and fail pending reads."""
        if self.leadership is not None:
            self.failed_reads.extend(read.read_id for read in self.leadership.reads)
            self.leadership = None
            self.election_deadline = self.next_election_time(now)
        self.role = Role.FOLLOWER
        self.leader_id = None
