"""Handling of log entries and snapshots by a follower."""

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
    """Mixin of ``RaftNode`` that handles requests from the leader."""

    def _accept_leader(self, leader: str, term: int, now: float) -> None:
        """Follow ``leader`` and record it as this member's vote in ``term``.

        A voter that lost its disk has no record of its votes. Recording the leader as voted for prevents
        a second vote in the same term.
        """
        check(
            term > self.hard_state.term or self.role is not Role.LEADER,
            f"{leader} and this member both lead term {term}",
        )
        if term > self.hard_state.term or self.role is not Role.FOLLOWER:
            self.become_follower(term, now)
        if not self.hard_state.voted_for:
            self.set_hard_state(voted_for=leader)
        self.leader_id = leader
        self.last_leader_contact = now
        self.election_deadline = self.next_election_time(now)

    def on_append_request(self, sender: str, request: AppendRequest, now: float) -> None:
        """Append entries from the leader and reply with the match index or a conflict hint."""
        if request.term < self.hard_state.term:
            self._reply_append(sender, request, False, 0, 0)
            return
        self._accept_leader(sender, request.term, now)
        previous = request.previous_index
        is_matching = previous <= self.commit_index or self.log.term_at(previous) == request.previous_term
        if not is_matching:
            self._reply_append(sender, request, False, 0, self._conflict_hint(previous))
            return
        for entry in request.entries:
            self._accept_entry(entry)
        match = previous + len(request.entries)
        self.advance_commit_index(min(request.commit_index, match))
        self._reply_append(sender, request, True, match, 0)

    def _accept_entry(self, entry: LogEntry) -> None:
        if entry.index <= self.commit_index:
            own_term = self.log.term_at(entry.index)
            check(
                own_term is None or own_term == entry.term,
                f"committed entry {entry.index} has another term than the leader's",
            )
            return
        own_term = self.log.term_at(entry.index)
        if own_term == entry.term:
            return
        if own_term is not None:
            self.truncate_log(entry.index)
        self.append_entry(entry)

    def _conflict_hint(self, previous_index: int) -> int:
        """Return the index that the leader should probe next as previous index, at least the commit index."""
        if previous_index > self.log.last_index:
            return self.log.last_index
        return max(self.log.first_index_of_term(previous_index) - 1, self.commit_index)

    def _reply_append(
        self, sender: str, request: AppendRequest, success: bool, match_index: int, hint_index: int
    ) -> None:
        reply = AppendReply(
            self.hard_state.term,
            success,
            match_index,
            request.previous_index,
            hint_index,
            self.commit_index,
            request.round,
            self.founder,
            self.is_persisted_voter(),
            self.config.failure_domain,
        )
        self.send_after_sync(sender, reply)

    def on_snapshot_chunk(self, sender: str, chunk: SnapshotChunk, now: float) -> None:
        """Append a chunk to the incoming snapshot and install the snapshot when complete."""
        if chunk.term < self.hard_state.term:
            self._reply_chunk(sender, chunk, 0, False)
            return
        self._accept_leader(sender, chunk.term, now)
        if self.log.term_at(chunk.last_index) == chunk.last_term:
            self.advance_commit_index(chunk.last_index)
        if chunk.last_index <= self.commit_index:
            self._reply_chunk(sender, chunk, chunk.size, True)
            return
        key = (chunk.last_index, chunk.last_term, chunk.size)
        if self._incoming_snapshot != key:
            self._incoming_snapshot = key
            self._incoming_chunks = []
            self._incoming_bytes = 0
        if chunk.offset == self._incoming_bytes:
            self._incoming_chunks.append(chunk.data)
            self._incoming_bytes += len(chunk.data)
        if self._incoming_bytes < chunk.size:
            self._reply_chunk(sender, chunk, self._incoming_bytes, False)
            return
        self._install_snapshot(chunk)
        self._reply_chunk(sender, chunk, chunk.size, True)

    def _install_snapshot(self, chunk: SnapshotChunk) -> None:
        """Replace the log and the membership history with the received snapshot."""
        data = b"".join(self._incoming_chunks)
        self._incoming_chunks = []
        self._incoming_snapshot = None
        check(len(data) == chunk.size, f"the received snapshot does not have {chunk.size} bytes")
        snapshot = Snapshot(chunk.last_index, chunk.last_term, chunk.membership, data)
        self.log.reset(snapshot.index, snapshot.term)
        self.memberships.reset(snapshot.index, snapshot.membership)
        self.snapshot = snapshot
        self.unsaved_snapshot = snapshot
        self.commit_index = snapshot.index
        self._first_unsaved_index = snapshot.index + 1
        self._truncate_from = None
        self._truncated_while_saving = 1
        self.persisted_index = 0

    def _reply_chunk(self, sender: str, chunk: SnapshotChunk, next_offset: int, installed: bool) -> None:
        reply = SnapshotReply(
            self.hard_state.term,
            chunk.last_index,
            next_offset,
            installed,
            chunk.round,
            self.founder,
            self.is_persisted_voter(),
            self.config.failure_domain,
        )
        self.send_after_sync(sender, reply)
