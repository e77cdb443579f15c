"""The follower's part of Raft: taking over entries and snapshots."""

from cranberrylever.consensus._config import Role
from cranberrylever.consensus._messages import (
    AppendReply,
    AppendRequest,
    LogEntry,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
)
from cranberrylever.invariants import check


class FollowerRules:
    """Handlers of the leader's requests, for ``RaftNode``."""

    def _follow(self, leader: str, term: int, now: float) -> None:
        """Follow ``leader``; its heartbeat also counts as this member's vote of the term.

        A readmitted member has lost its record of votes. Binding its vote to the leader that it hears
        keeps it from voting a second time in that term.
        """
        check(
            term > self.hard.term or self.role is not Role.LEADER,
            f"{leader} and this member do not both lead term {term}",
        )
        if term > self.hard.term or self.role is not Role.FOLLOWER:
            self.become_follower(term, now)
        if not self.hard.voted_for:
            self.set_hard(voted_for=leader)
        self.leader_id = leader
        self.last_heard = now
        self.election_at = self.next_election(now)

    def on_append_request(self, sender: str, request: AppendRequest, now: float) -> None:
        """Take over entries from the leader of the term."""
        if request.term < self.hard.term:
            self._reply_append(sender, request, False, 0, 0)
            return
        self._follow(sender, request.term, now)
        previous = request.previous_index
        is_matching = previous <= self.commit_index or self.log.term_at(previous) == request.previous_term
        if not is_matching:
            self._reply_append(sender, request, False, 0, self._hint(previous))
            return
        for entry in request.entries:
            self._take_entry(entry)
        match = previous + len(request.entries)
        self.advance_commit(min(request.commit_index, match))
        self._reply_append(sender, request, True, match, 0)

    def _take_entry(self, entry: LogEntry) -> None:
        if entry.index <= self.commit_index:
            held = self.log.term_at(entry.index)
            check(held is None or held == entry.term, f"committed entry {entry.index} is the leader's")
            return
        held = self.log.term_at(entry.index)
        if held == entry.term:
            return
        if held is not None:
            self.truncate_log(entry.index)
        self.append_entry(entry)

    def _hint(self, previous_index: int) -> int:
        """Return the index after which the leader shall try next; it is never below the commit index."""
        if previous_index > self.log.last_index:
            return self.log.last_index
        return max(self.log.first_index_of_term(previous_index) - 1, self.commit_index)

    def _reply_append(
        self, sender: str, request: AppendRequest, success: bool, match_index: int, hint_index: int
    ) -> None:
        reply = AppendReply(
            self.hard.term,
            success,
            match_index,
            request.previous_index,
            hint_index,
            self.commit_index,
            request.round,
            self.founder,
            self.votes_durably(),
        )
        self.send_after_sync(sender, reply)

    def on_snapshot_chunk(self, sender: str, chunk: SnapshotChunk, now: float) -> None:
        """Collect chunks and install the snapshot when it is complete."""
        if chunk.term < self.hard.term:
            self._reply_chunk(sender, chunk, 0, False)
            return
        self._follow(sender, chunk.term, now)
        if self.log.term_at(chunk.last_index) == chunk.last_term:
            self.advance_commit(chunk.last_index)
        if chunk.last_index <= self.commit_index:
            self._reply_chunk(sender, chunk, chunk.size, True)
            return
        key = (chunk.last_index, chunk.last_term, chunk.size)
        if self._incoming_key != key:
            self._incoming_key = key
            self._incoming = []
            self._incoming_size = 0
        if chunk.offset == self._incoming_size:
            self._incoming.append(chunk.data)
            self._incoming_size += len(chunk.data)
        if self._incoming_size < chunk.size:
            self._reply_chunk(sender, chunk, self._incoming_size, False)
            return
        self._install(chunk)
        self._reply_chunk(sender, chunk, chunk.size, True)

    def _install(self, chunk: SnapshotChunk) -> None:
        """Replace the log and the membership by the received snapshot."""
        data = b"".join(self._incoming)
        self._incoming = []
        self._incoming_key = None
        check(len(data) == chunk.size, "the snapshot has the announced size")
        snapshot = Snapshot(chunk.last_index, chunk.last_term, chunk.membership, data)
        self.log.reset(snapshot.index, snapshot.term)
        self.memberships.reset(snapshot.index, snapshot.membership)
        self.snapshot = snapshot
        self.installed = snapshot
        self.commit_index = snapshot.index
        self._unsaved_index = snapshot.index + 1
        self._truncate_from = None
        self._truncated_in_flight = 1
        self.persisted_index = 0

    def _reply_chunk(self, sender: str, chunk: SnapshotChunk, next_offset: int, installed: bool) -> None:
        reply = SnapshotReply(
            self.hard.term,
            chunk.last_index,
            next_offset,
            installed,
            chunk.round,
            self.founder,
            self.votes_durably(),
        )
        self.send_after_sync(sender, reply)
