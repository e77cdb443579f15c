"""The Raft state machine without I/O: takes messages and the time, returns messages and storage batches."""

import math
import random

import attrs

from cranberrylever.consensus._config import ConsensusConfig, Role
from cranberrylever.consensus._election import ElectionRules
from cranberrylever.consensus._follower import FollowerRules
from cranberrylever.consensus._group import GroupRules
from cranberrylever.consensus._leadership import Leadership
from cranberrylever.consensus._log import MembershipHistory, RaftLog
from cranberrylever.consensus._messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    FolderRefused,
    JoinHint,
    JoinRequest,
    LogEntry,
    Message,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
    StartElection,
    VoteReply,
    VoteRequest,
)
from cranberrylever.consensus._storage import StorageBatch, StoredState
from cranberrylever.errors import NotLeaderError
from cranberrylever.invariants import check


@attrs.frozen
class PeerFolder:
    """Data directory named in the last message of a peer, and the time of that message in seconds."""

    folder_id: str
    founder: bool
    heard_at: float


class RaftNode(GroupRules, ElectionRules, FollowerRules):
    """Raft state of one member.

    Args:
        config: Identity and timings.
        stored: State loaded from the storage at start.
        now: Time of the start in seconds.
        rng: Random source of election timeouts.
    """

    def __init__(self, config: ConsensusConfig, stored: StoredState, now: float, rng: random.Random) -> None:
        self.config = config
        self.rng = rng
        self.folder_id = stored.folder_id
        self.founder = stored.founder
        self.hard_state = stored.hard_state
        self.snapshot: Snapshot | None = stored.snapshot
        self._load_log(stored)
        self.persisted_index = self.log.last_index
        self.commit_index = max(
            self.snapshot.index if self.snapshot else 0,
            min(self.hard_state.commit_index, self.log.last_index),
        )
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        self.leadership: Leadership | None = None
        self.votes_received: set[str] = set()
        self.peer_folders: dict[str, PeerFolder] = {}
        self.last_leader_contact = -math.inf
        is_new_folder = self.hard_state.term == 0 and self.log.last_index == 0
        silent_since = now if config.silent_since is None else min(now, config.silent_since)
        may_vote_at = silent_since + config.timings.election_min
        self.no_vote_until = -math.inf if is_new_folder or self.quorum == 1 else may_vote_at
        self.election_deadline = now if self.quorum == 1 else self.first_election_time(max(now, may_vote_at))
        self.contacts = set(config.contacts) - {config.member_id}
        self.next_join_at = now
        self.refusal_reason: str | None = None
        self.unsaved_snapshot: Snapshot | None = None
        self._incoming_chunks: list[bytes] = []
        self._incoming_snapshot: tuple[int, int, int] | None = None
        self._incoming_bytes = 0
        self._outgoing: list[tuple[str, Message]] = []
        self._outgoing_after_sync: list[tuple[str, Message]] = []
        self._is_hard_state_changed = False
        self._first_unsaved_index = self.log.last_index + 1
        self._truncate_from: int | None = None
        self._truncated_while_saving: int | None = None
        self.confirmed_reads: list[tuple[int, int]] = []
        self.failed_reads: list[int] = []
        self._next_read = 0

    def _load_log(self, stored: StoredState) -> None:
        snapshot = stored.snapshot
        if stored.entries:
            first = stored.entries[0]
            base_term = stored.base_term
            self.log = RaftLog(first.index - 1, base_term, stored.entries)
        else:
            self.log = RaftLog(snapshot.index if snapshot else 0, snapshot.term if snapshot else 0, [])
        self.memberships = MembershipHistory(
            snapshot.index if snapshot else 0, snapshot.membership if snapshot else None
        )
        for entry in self.log.entries:
            if snapshot is None or entry.index > snapshot.index:
                self.memberships.record(entry)

    # Output ------------------------------------------------------------------------------------

    def send(self, receiver: str, message: Message) -> None:
        """Queue a message that does not depend on unsynced state."""
        self._outgoing.append((receiver, message))

    def send_after_sync(self, receiver: str, message: Message) -> None:
        """Queue a message that must not be sent before the current state is synced."""
        self._outgoing_after_sync.append((receiver, message))

    def take_messages(self, now: float) -> list[tuple[str, Message]]:
        """Return and clear the messages that can be sent without a sync."""
        if self.leadership is not None:
            if self.leadership.has_unsent_reads():
                self.leadership.start_round(now)
            self.leadership.broadcast()
        messages, self._outgoing = self._outgoing, []
        return messages

    def take_batch(self) -> StorageBatch | None:
        """Return the next batch to sync, or ``None``.

        At most one batch may be outstanding; ``batch_synced`` completes it.
        """
        membership_index, _ = self.memberships.at(self.commit_index)
        if self.hard_state.commit_index < membership_index <= self.persisted_index:
            self.set_hard_state(commit_index=membership_index)
        entries = self.log.entries[self._first_unsaved_index - self.log.base_index - 1 :]
        snapshot, self.unsaved_snapshot = self.unsaved_snapshot, None
        batch = StorageBatch(
            self.hard_state if self._is_hard_state_changed else None,
            self._truncate_from,
            tuple(entries),
            snapshot,
            tuple(self._outgoing_after_sync),
        )
        if batch.is_empty:
            return None
        self._outgoing_after_sync = []
        self._is_hard_state_changed = False
        self._truncate_from = None
        self._truncated_while_saving = None
        self._first_unsaved_index = self.log.last_index + 1
        return batch

    def batch_synced(self, batch: StorageBatch, now: float) -> None:
        """Record that ``batch`` is on disk, so that its messages may be sent."""
        last = batch.entries[-1].index if batch.entries else 0
        if batch.snapshot is not None:
            last = max(last, batch.snapshot.index)
        if self._truncated_while_saving is not None:
            last = min(last, self._truncated_while_saving - 1)
        self.persisted_index = max(self.persisted_index, last)
        check(
            self.persisted_index <= self.log.last_index,
            f"synced entry {self.persisted_index} is not in the log",
        )
        saved = batch.hard_state
        if self.role is Role.CANDIDATE and saved is not None and saved.term == self.hard_state.term:
            self.count_vote(self.config.member_id, now)
        if self.leadership is not None:
            self.leadership.update_commit_index()

    def set_hard_state(self, **changes) -> None:
        """Update fields of the hard state; it is synced with the next batch."""
        changed = attrs.evolve(self.hard_state, **changes)
        check(
            changed.term >= self.hard_state.term,
            f"term {changed.term} is below the current term {self.hard_state.term}",
        )
        check(
            changed.term > self.hard_state.term
            or not self.hard_state.voted_for
            or changed.voted_for == self.hard_state.voted_for,
            f"the vote in term {changed.term} would change",
        )
        self.hard_state = changed
        self._is_hard_state_changed = True

    # Log ---------------------------------------------------------------------------------------

    def append_entry(self, entry: LogEntry) -> None:
        """Append an entry to the log; it is synced with the next batch."""
        self.log.append(entry)
        self.memberships.record(entry)

    def truncate_log(self, index: int) -> None:
        """Remove the uncommitted entries from ``index`` on."""
        check(index > self.commit_index, f"entry {index} to truncate is committed")
        self.log.truncate(index)
        self.memberships.truncate(index)
        if index < self._first_unsaved_index:
            self._truncate_from = min(self._truncate_from or index, index)
            self._truncated_while_saving = min(self._truncated_while_saving or index, index)
            self._first_unsaved_index = index
        self.persisted_index = min(self.persisted_index, index - 1)

    def advance_commit_index(self, index: int) -> None:
        """Raise the commit index to ``index`` unless it is already there."""
        if index <= self.commit_index:
            return
        check(index <= self.log.last_index, f"committed entry {index} is not in the log")
        self.commit_index = index

    def snapshot_saved(self, snapshot: Snapshot, keep_entries: int, keep_bytes: int) -> None:
        """Compact the log up to ``snapshot``, except for the last entries within both limits."""
        if self.snapshot is not None and snapshot.index <= self.snapshot.index:
            return
        check(snapshot.index <= self.commit_index, f"the snapshot at index {snapshot.index} is not committed")
        self.snapshot = snapshot
        self.log.compact(
            min(
                self.log.index_before_last(snapshot.index, keep_entries, keep_bytes),
                self.persisted_index,
                self._first_unsaved_index - 1,
            )
        )

    # Proposals and reads ------------------------------------------------------------------------

    def propose(self, payload: bytes) -> int:
        """Append a command to the log and return its index.

        Raises:
            NotLeaderError: This member is not the leader.
        """
        if self.leadership is None:
            raise NotLeaderError(self.leader_id)
        index = self.log.last_index + 1
        self.append_entry(LogEntry(index, self.hard_state.term, EntryKind.COMMAND, payload))
        return index

    def request_read(self) -> int:
        """Start a linearizable read and return its id for ``confirmed_reads`` or ``failed_reads``.

        Raises:
            NotLeaderError: This member is not the leader.
        """
        if self.leadership is None:
            raise NotLeaderError(self.leader_id)
        self._next_read += 1
        self.leadership.request_read(self._next_read)
        return self._next_read

    def has_lease(self, now: float) -> bool:
        """Return whether this member holds the leader lease, so no other member can lead at ``now``."""
        leadership = self.leadership
        return leadership is not None and leadership.has_committed and now < leadership.lease_until()

    def transfer_leadership(self, now: float) -> None:
        """Step down and make the voter with the highest match index start an election without a timeout."""
        transferee = self.leadership.transferee()
        term = self.hard_state.term
        self.step_down(now)
        if transferee is not None:
            self.send(transferee, StartElection(term))

    # Time --------------------------------------------------------------------------------------

    def deadline(self) -> float:
        """Return the time in seconds at which ``tick`` is due next."""
        if self.leadership is not None:
            return self.leadership.deadline()
        return (
            min(self.election_deadline, self.next_join_at)
            if self.is_outside_group()
            else self.election_deadline
        )

    def tick(self, now: float) -> None:
        """Run the leader's periodic work, or send join requests and start an election when due."""
        if self.leadership is not None:
            self.leadership.tick(now)
            return
        if now >= self.next_join_at and self.is_outside_group():
            self._send_join_requests(now)
        if now >= self.election_deadline:
            self.start_pre_vote(now)

    def _send_join_requests(self, now: float) -> None:
        """Send join requests to all known members unless a leader was heard from recently."""
        self.next_join_at = now + self.config.timings.join_interval
        if now - self.last_leader_contact < self.config.timings.election_max:
            return
        for member in self.contacts.union(self.peers):
            self.send(member, JoinRequest(self.log.last_index))

    # Dispatch ----------------------------------------------------------------------------------

    def step(self, sender: str, folder_id: str, message: Message, now: float) -> None:
        """Process a message from another member.

        Args:
            sender: Member id of the sender.
            folder_id: Id of the sender's data directory.
            message: Message to process.
            now: Current time in seconds.
        """
        if self._refuse_retired(sender, folder_id):
            return
        founder = getattr(message, "founder", False)
        known = self.peer_folders.get(sender)
        if not hasattr(message, "founder") and known is not None and known.folder_id == folder_id:
            founder = known.founder
        self.peer_folders[sender] = PeerFolder(folder_id, founder, now)
        match message:
            case VoteRequest():
                self.on_vote_request(sender, folder_id, message, now)
            case VoteReply():
                self.on_vote_reply(sender, folder_id, message, now)
            case AppendRequest():
                self.on_append_request(sender, message, now)
            case SnapshotChunk():
                self.on_snapshot_chunk(sender, message, now)
            case AppendReply() | SnapshotReply():
                self._on_replication_reply(sender, folder_id, message, now)
            case FolderRefused():
                if message.folder_id == self.folder_id:
                    self.refusal_reason = message.reason
            case StartElection():
                self.on_start_election(message, now)
            case JoinRequest():
                self._on_join_request(sender, folder_id, now)
            case JoinHint():
                self.contacts.update({*message.members, message.leader_id} - {"", self.config.member_id})

    def _on_join_request(self, sender: str, folder_id: str, now: float) -> None:
        if self.leadership is not None:
            self.leadership.add_learner(sender, folder_id, now)
        else:
            self.send(sender, JoinHint(self.leader_id or "", tuple(self.group())))

    def record_contact(self, member: str, now: float) -> None:
        """Record the time of the last message from ``member``."""
        folder = self.peer_folders.get(member)
        if folder is not None:
            self.peer_folders[member] = attrs.evolve(folder, heard_at=now)

    def _refuse_retired(self, sender: str, folder_id: str) -> bool:
        """Reply ``FolderRefused`` and return true if the sender's data directory is retired."""
        _, committed = self.memberships.at(self.commit_index)
        if committed is None or folder_id not in committed.retired:
            return False
        self.send(sender, FolderRefused(folder_id, f"data folder {folder_id} was replaced by another one"))
        return True

    def _on_replication_reply(
        self, sender: str, folder_id: str, reply: AppendReply | SnapshotReply, now: float
    ) -> None:
        if reply.term > self.hard_state.term:
            self.become_follower(reply.term, now)
            return
        if self.leadership is None or reply.term < self.hard_state.term:
            return
        if sender not in self.leadership.progress:
            return
        self.leadership.update_folder(sender, folder_id, reply)
        if isinstance(reply, AppendReply):
            self.leadership.on_append_reply(sender, reply, now)
        else:
            self.leadership.on_snapshot_reply(sender, reply, now)
