"""Leader state: log replication, leader lease, read index and membership changes."""

import math

import attrs

from cranberrylever.consensus._log import is_voter, membership_entry
from cranberrylever.consensus._membership_changes import MembershipChanges
from cranberrylever.consensus._messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    FolderRefused,
    LogEntry,
    Membership,
    SnapshotChunk,
    SnapshotReply,
)
from cranberrylever.consensus._progress import Mode, Progress
from cranberrylever.invariants import check

MAX_APPEND_ENTRIES = 512
MAX_APPEND_BYTES = 256 * 1024
"""Limits of the entries in one append request; a single entry may exceed the limit in bytes."""

MAX_IN_FLIGHT = 32
"""Maximum number of unanswered append requests with entries per member."""

SNAPSHOT_CHUNK_BYTES = 256 * 1024

CHUNK_RESEND_S = 0.5
"""Time without an answer after which a snapshot chunk is sent again; it may still be under way before."""


@attrs.define
class _PendingRead:
    """Read that waits until a majority answers the heartbeat round ``round``, which is 0 until one starts."""

    read_id: int
    round: int = 0


class Leadership(MembershipChanges):
    """State of the leader for one term.

    Args:
        node: Raft node that was elected.
        now: Time of the election in seconds.
    """

    def __init__(self, node, now: float) -> None:
        self.node = node
        self.progress: dict[str, Progress] = {}
        for member in node.peers:
            folder = node.peer_folders.get(member)
            progress = Progress(node.log.last_index + 1)
            if folder is not None:
                progress.folder_id = folder.folder_id
                progress.founder = folder.founder
            self.progress[member] = progress
        self.round = 0
        self.confirmed_round = 0
        self.round_sent_at: dict[int, float] = {0: now}
        self.started_at = now
        self.next_heartbeat_at = now
        self.reads: list[_PendingRead] = []
        self.term_start_index = node.log.last_index + 1
        self._append_first_entry()

    def _append_first_entry(self) -> None:
        """Append the first entry of the term: a no-op, or the initial membership in a new group."""
        node = self.node
        if node.memberships.latest is not None:
            node.append_entry(LogEntry(self.term_start_index, node.hard_state.term, EntryKind.NOOP))
            return
        folders = dict.fromkeys(node.config.members, "")
        folders[node.config.member_id] = node.folder_id
        for member, folder in node.peer_folders.items():
            if folder.founder:
                folders[member] = folder.folder_id
        node.append_entry(membership_entry(self.term_start_index, node.hard_state.term, Membership(folders)))

    @property
    def has_committed(self) -> bool:
        """Whether an entry of this term is committed."""
        return self.node.commit_index >= self.term_start_index

    def deadline(self) -> float:
        """Return when the next heartbeat round is due."""
        return self.next_heartbeat_at

    def tick(self, now: float) -> None:
        """Start a heartbeat round when due, or step down when check quorum fails."""
        if now < self.next_heartbeat_at:
            return
        if now - self.round_sent_at[self.confirmed_round] > self.node.config.timings.election_max:
            self.node.step_down(now)
            return
        self.change_membership(now)
        self.start_round(now)

    def transferee(self) -> str | None:
        """Return the voter with the highest match index, or ``None`` if no other member counts as a voter."""
        voters = [member for member in self.progress if self.counts_toward_quorum(member)]
        return max(voters, key=lambda member: self.progress[member].match_index, default=None)

    def start_round(self, now: float) -> None:
        """Start a heartbeat round: send pending entries, or an empty append request, to every member."""
        self.round += 1
        self.round_sent_at[self.round] = now
        self.next_heartbeat_at = now + self.node.config.timings.heartbeat
        for read in self.reads:
            if read.round == 0:
                read.round = self.round
        for member in self.progress:
            self._send(member, is_heartbeat=True)
        self._confirm_reads()

    def broadcast(self) -> None:
        """Send new entries to every member whose flow control allows it."""
        for member in self.progress:
            self._send(member, is_heartbeat=False)

    def _send(self, member: str, is_heartbeat: bool) -> None:
        progress = self.progress[member]
        log = self.node.log
        if progress.mode is not Mode.SNAPSHOT and progress.next_index <= log.base_index:
            check(self.node.snapshot is not None, "the log is compacted, but there is no snapshot")
            progress.start_snapshot(self.node.snapshot)
            self._send_chunk(member)
            return
        if progress.mode is Mode.SNAPSHOT:
            if is_heartbeat and self._is_chunk_lost(progress):
                self._send_chunk(member)
            elif is_heartbeat:
                self._send_append(member, progress, ())
            return
        while (
            not progress.is_paused
            and len(progress.in_flight) < MAX_IN_FLIGHT
            and progress.next_index <= log.last_index
        ):
            entries = log.slice_from(progress.next_index, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES)
            self._send_append(member, progress, entries)
            is_heartbeat = False
        if is_heartbeat:
            self._send_append(member, progress, ())

    def add_learner(self, member: str, folder_id: str, now: float) -> None:
        """Start replication to a member that is not a voter."""
        self.node.record_contact(member, now)
        if member not in self.progress:
            self.progress[member] = Progress(self.node.log.last_index + 1, folder_id)

    def _send_append(self, member: str, progress: Progress, entries: tuple[LogEntry, ...]) -> None:
        previous = progress.next_index - 1
        request = AppendRequest(
            self.node.hard_state.term,
            previous,
            self.node.log.term_at(previous),
            self.node.commit_index,
            self.round,
            entries,
        )
        if progress.mode is Mode.PROBE:
            progress.is_paused = progress.is_paused or bool(entries)
        elif entries:
            progress.next_index += len(entries)
            progress.in_flight.append(entries[-1].index)
        self.node.send(member, request)

    def _is_chunk_lost(self, progress: Progress) -> bool:
        return self.round_sent_at[self.round] - progress.chunk_sent_at >= CHUNK_RESEND_S

    def _send_chunk(self, member: str) -> None:
        progress = self.progress[member]
        progress.chunk_sent_at = self.round_sent_at[self.round]
        snapshot = progress.snapshot
        offset = progress.snapshot_offset
        data = snapshot.data[offset : offset + SNAPSHOT_CHUNK_BYTES]
        self.node.send(
            member,
            SnapshotChunk(
                self.node.hard_state.term,
                snapshot.index,
                snapshot.term,
                snapshot.membership,
                offset,
                len(snapshot.data),
                data,
                self.round,
            ),
        )

    def update_folder(self, member: str, folder_id: str, reply: AppendReply | SnapshotReply) -> None:
        """Update the member's data directory and reset its progress if the directory changed."""
        if self.progress[member].folder_id != folder_id:
            self.progress[member] = Progress(self.node.log.last_index + 1, folder_id)
        self.progress[member].founder = reply.founder
        self.progress[member].votes = reply.votes
        self.progress[member].failure_domain = reply.failure_domain

    def on_append_reply(self, member: str, reply: AppendReply, now: float) -> None:
        """Update the member's progress and the commit index from an append reply."""
        progress = self.progress[member]
        check(reply.round <= self.round, f"round {reply.round} in the reply of {member} was never sent")
        progress.acknowledged_round = max(progress.acknowledged_round, reply.round)
        if reply.success:
            check(
                reply.match_index <= self.node.log.last_index,
                f"match index {reply.match_index} of {member} is not in the leader's log",
            )
            progress.acknowledge(reply.match_index, self.round)
            self.node.advance_commit_index(min(reply.match_index, reply.commit_index))
            self.update_commit_index()
            self.record_new_folder(member)
        else:
            self._on_rejection(member, progress, reply)
        self._confirm_reads()
        self._send(member, is_heartbeat=False)

    def _on_rejection(self, member: str, progress: Progress, reply: AppendReply) -> None:
        if progress.mode is Mode.SNAPSHOT:
            return
        if reply.previous_index <= progress.match_index:
            if reply.previous_index == progress.match_index and reply.round > progress.match_round > 0:
                self._refuse_lost_log(member, progress)
            return
        if progress.mode is Mode.PROBE and reply.previous_index != progress.next_index - 1:
            return
        hint = min(reply.hint_index, reply.previous_index - 1)
        progress.start_probe(max(progress.match_index, hint) + 1)

    def _refuse_lost_log(self, member: str, progress: Progress) -> None:
        """Refuse a data directory that lacks entries which it acknowledged as synced before."""
        reason = (
            f"the log of data folder {progress.folder_id} lost synced entries up to {progress.match_index}"
        )
        self.node.send(member, FolderRefused(progress.folder_id, reason))

    def on_snapshot_reply(self, member: str, reply: SnapshotReply, now: float) -> None:
        """Send the next chunk, or resume log replication after the snapshot is installed."""
        progress = self.progress[member]
        progress.acknowledged_round = max(progress.acknowledged_round, reply.round)
        self._confirm_reads()
        if reply.installed:
            progress.acknowledge(reply.last_index, self.round)
            self.update_commit_index()
            self.record_new_folder(member)
            self._send(member, is_heartbeat=False)
            return
        if progress.snapshot is None or progress.snapshot.index != reply.last_index:
            return
        if reply.next_offset != progress.snapshot_offset:
            progress.snapshot_offset = reply.next_offset
            if reply.next_offset < len(progress.snapshot.data):
                self._send_chunk(member)

    def counts_toward_quorum(self, member: str) -> bool:
        """Return whether replies of ``member`` count towards a majority.

        The data directory must be a voter under the settled and the latest membership. A replaced directory
        stops counting when the membership entry is appended. The new one counts once that entry is
        committed and the member has synced the commit; otherwise a crash could make the member a learner
        again after the leader counted its copy.
        """
        progress = self.progress[member]
        if not progress.votes:
            return False
        return all(
            is_voter(membership, member, progress.folder_id, progress.founder)
            for membership in (self.node.settled_membership(), self.node.memberships.latest)
        )

    def _quorum_value(self, own: int, values: dict[str, int]) -> int:
        """Return the highest value that a majority of voters has reached."""
        counted = (value for member, value in values.items() if self.counts_toward_quorum(member))
        reached = sorted([own, *counted], reverse=True)
        quorum = self.node.quorum
        return reached[quorum - 1] if len(reached) >= quorum else 0

    def update_commit_index(self) -> None:
        """Commit entries that a majority of voters has synced, once this includes an entry of this term."""
        matches = {member: progress.match_index for member, progress in self.progress.items()}
        index = self._quorum_value(self.node.persisted_index, matches)
        if index >= self.term_start_index:
            self.node.advance_commit_index(index)
            self._confirm_reads()

    def _update_confirmed_round(self) -> None:
        """Update the latest heartbeat round that a majority answered."""
        rounds = {member: progress.acknowledged_round for member, progress in self.progress.items()}
        newest = self._quorum_value(self.round, rounds)
        if newest <= self.confirmed_round:
            return
        self.confirmed_round = newest
        for number in [number for number in self.round_sent_at if number < newest]:
            del self.round_sent_at[number]

    def lease_until(self) -> float:
        """Return when the leader lease ends, counted from when the confirmed heartbeat round was sent."""
        if self.confirmed_round == 0:
            return -math.inf
        timings = self.node.config.timings
        return self.round_sent_at[self.confirmed_round] + timings.election_min * (1 - timings.drift_margin)

    def request_read(self, read_id: int) -> None:
        """Queue a read until a majority answers a heartbeat round that is sent after this call."""
        self.reads.append(_PendingRead(read_id))

    def has_unsent_reads(self) -> bool:
        """Return whether a read still needs a heartbeat round."""
        return any(read.round == 0 for read in self.reads)

    def _confirm_reads(self) -> None:
        self._update_confirmed_round()
        if not self.reads or not self.has_committed:
            return
        newest = self.confirmed_round
        confirmed = [read for read in self.reads if 0 < read.round <= newest]
        self.reads = [read for read in self.reads if not 0 < read.round <= newest]
        for read in confirmed:
            self.node.confirmed_reads.append((read.read_id, self.node.commit_index))
