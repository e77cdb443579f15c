"""Raft as a pure rule object: messages, ticks and time go in, messages and storage batches come out."""

import math
import random

import attrs

from cranberrylever.consensus._config import ConsensusConfig, Role
from cranberrylever.consensus._election import ElectionRules
from cranberrylever.consensus._follower import FollowerRules
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
    Membership,
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
class Folder:
    """Data folder that a member was heard with, and when."""

    folder_id: str
    founder: bool
    heard_at: float


class RaftNode(ElectionRules, FollowerRules):
    """One member's Raft state.

    Args:
        config: Identity and timings.
        stored: What the storage held at start.
        now: Time of the start in seconds.
        rng: Source of election timeouts.
    """

    def __init__(self, config: ConsensusConfig, stored: StoredState, now: float, rng: random.Random) -> None:
        self.config = config
        self.rng = rng
        self.folder_id = stored.folder_id
        self.founder = stored.founder
        self.hard = stored.hard_state
        self.snapshot: Snapshot | None = stored.snapshot
        self._load_log(stored)
        self.persisted_index = self.log.last_index
        self.commit_index = max(
            self.snapshot.index if self.snapshot else 0,
            min(self.hard.commit_index, self.log.last_index),
        )
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        self.leadership: Leadership | None = None
        self.votes: set[str] = set()
        self.folders: dict[str, Folder] = {}
        self.last_heard = -math.inf
        is_fresh = self.hard.term == 0 and self.log.last_index == 0
        silent_since = now if config.silent_since is None else min(now, config.silent_since)
        may_vote_at = silent_since + config.timings.election_min
        self.no_vote_before = -math.inf if is_fresh or self.quorum == 1 else may_vote_at
        self.election_at = now if self.quorum == 1 else self.first_election(max(now, may_vote_at))
        self.contacts = set(config.contacts) - {config.member_id}
        self.join_at = now
        self.refused: str | None = None
        self.installed: Snapshot | None = None
        self._incoming: list[bytes] = []
        self._incoming_key: tuple[int, int, int] | None = None
        self._incoming_size = 0
        self._outbox: list[tuple[str, Message]] = []
        self._synced_outbox: list[tuple[str, Message]] = []
        self._hard_changed = False
        self._unsaved_index = self.log.last_index + 1
        self._truncate_from: int | None = None
        self._truncated_in_flight: int | None = None
        self.confirmed_reads: list[tuple[int, int]] = []
        self.failed_reads: list[int] = []
        self._next_read = 0

    @property
    def peers(self) -> list[str]:
        """The other members of the memberships in force, committed or not."""
        return [member for member in self.group() if member != self.config.member_id]

    @property
    def quorum(self) -> int:
        """Number of members that form a majority under each membership in force."""
        sizes = [len(membership.folders) for membership in self._memberships_in_force()]
        return max(sizes, default=len(self.config.members)) // 2 + 1

    def group(self) -> list[str]:
        """Return the ids of all members, this one included when it is one."""
        memberships = self._memberships_in_force()
        if not memberships:
            return list(self.config.members)
        return list(dict.fromkeys(member for item in memberships for member in item.folders))

    def is_outside(self) -> bool:
        """Tell whether this member belongs to no membership that it knows of."""
        return self.config.member_id not in self.group()

    def _memberships_in_force(self) -> list[Membership]:
        _, committed = self.memberships.at(self.commit_index)
        return [item for item in (self.memberships.latest, committed) if item is not None]

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
        """Queue a message that depends on nothing unsynced."""
        self._outbox.append((receiver, message))

    def send_after_sync(self, receiver: str, message: Message) -> None:
        """Queue a message that may leave only after the state before it is synced."""
        self._synced_outbox.append((receiver, message))

    def take_messages(self, now: float) -> list[tuple[str, Message]]:
        """Return the messages that can be sent at once."""
        if self.leadership is not None:
            if self.leadership.has_unsent_reads():
                self.leadership.start_round(now)
            self.leadership.broadcast()
        messages, self._outbox = self._outbox, []
        return messages

    def take_batch(self) -> StorageBatch | None:
        """Return what has to be synced next, or ``None``.

        At most one batch may be outstanding; ``batch_synced`` ends it.
        """
        membership_index, _ = self.memberships.at(self.commit_index)
        if self.hard.commit_index < membership_index <= self.persisted_index:
            self.set_hard(commit_index=membership_index)
        entries = self.log.entries[self._unsaved_index - self.log.base_index - 1 :]
        snapshot, self.installed = self.installed, None
        batch = StorageBatch(
            self.hard if self._hard_changed else None,
            self._truncate_from,
            tuple(entries),
            snapshot,
            tuple(self._synced_outbox),
        )
        if batch.is_empty:
            return None
        self._synced_outbox = []
        self._hard_changed = False
        self._truncate_from = None
        self._truncated_in_flight = None
        self._unsaved_index = self.log.last_index + 1
        return batch

    def batch_synced(self, batch: StorageBatch, now: float) -> None:
        """Take note that ``batch`` is on disk; its messages may be sent."""
        last = batch.entries[-1].index if batch.entries else 0
        if batch.snapshot is not None:
            last = max(last, batch.snapshot.index)
        if self._truncated_in_flight is not None:
            last = min(last, self._truncated_in_flight - 1)
        self.persisted_index = max(self.persisted_index, last)
        check(self.persisted_index <= self.log.last_index, "synced entries are in the log")
        hard = batch.hard_state
        if self.role is Role.CANDIDATE and hard is not None and hard.term == self.hard.term:
            self.count_vote(self.config.member_id, now)
        if self.leadership is not None:
            self.leadership.update_commit()

    def set_hard(self, **changes) -> None:
        """Change the hard state; it is synced with the next batch."""
        hard = attrs.evolve(self.hard, **changes)
        check(hard.term >= self.hard.term, f"term {hard.term} does not fall below {self.hard.term}")
        check(
            hard.term > self.hard.term or not self.hard.voted_for or hard.voted_for == self.hard.voted_for,
            f"the vote of term {hard.term} does not change",
        )
        self.hard = hard
        self._hard_changed = True

    # Log ---------------------------------------------------------------------------------------

    def append_entry(self, entry: LogEntry) -> None:
        """Add an entry to the log; it is synced with the next batch."""
        self.log.append(entry)
        self.memberships.record(entry)

    def truncate_log(self, index: int) -> None:
        """Remove uncommitted entries from ``index`` on."""
        check(index > self.commit_index, f"committed entry {index} is kept")
        self.log.truncate(index)
        self.memberships.truncate(index)
        if index < self._unsaved_index:
            self._truncate_from = min(self._truncate_from or index, index)
            self._truncated_in_flight = min(self._truncated_in_flight or index, index)
            self._unsaved_index = index
        self.persisted_index = min(self.persisted_index, index - 1)

    def advance_commit(self, index: int) -> None:
        """Raise the commit index."""
        if index <= self.commit_index:
            return
        check(index <= self.log.last_index, f"committed entry {index} is in the log")
        self.commit_index = index

    def snapshot_saved(self, snapshot: Snapshot, keep_entries: int) -> None:
        """Drop entries that ``snapshot`` covers, except the last ``keep_entries`` before it."""
        if self.snapshot is not None and snapshot.index <= self.snapshot.index:
            return
        check(snapshot.index <= self.commit_index, "a snapshot covers committed entries only")
        self.snapshot = snapshot
        self.log.compact(min(snapshot.index - keep_entries, self.persisted_index, self._unsaved_index - 1))

    # Proposals and reads ------------------------------------------------------------------------

    def propose(self, payload: bytes) -> int:
        """Append a command and return its index.

        Raises:
            NotLeaderError: This member does not lead.
        """
        if self.leadership is None:
            raise NotLeaderError(self.leader_id)
        index = self.log.last_index + 1
        self.append_entry(LogEntry(index, self.hard.term, EntryKind.COMMAND, payload))
        return index

    def request_read(self) -> int:
        """Ask for a read index and return the id under which it is confirmed or fails.

        Raises:
            NotLeaderError: This member does not lead.
        """
        if self.leadership is None:
            raise NotLeaderError(self.leader_id)
        self._next_read += 1
        self.leadership.request_read(self._next_read)
        return self._next_read

    def has_lease(self, now: float) -> bool:
        """Return whether no other member can have become leader by ``now``."""
        leadership = self.leadership
        return leadership is not None and leadership.has_committed and now < leadership.lease_until()

    def hand_over(self, now: float) -> None:
        """Step down and let the follower that holds most of the log stand for election at once."""
        successor = self.leadership.successor()
        term = self.hard.term
        self.step_down(now)
        if successor is not None:
            self.send(successor, StartElection(term))

    # Time --------------------------------------------------------------------------------------

    def deadline(self) -> float:
        """Return when ``tick`` has something to do."""
        if self.leadership is not None:
            return self.leadership.deadline()
        return min(self.election_at, self.join_at) if self.is_outside() else self.election_at

    def tick(self, now: float) -> None:
        """Act on the passing of time."""
        if self.leadership is not None:
            self.leadership.tick(now)
            return
        if now >= self.join_at and self.is_outside():
            self._ask_to_join(now)
        if now >= self.election_at:
            self.start_pre_vote(now)

    def _ask_to_join(self, now: float) -> None:
        """Ask every known member to be let in, unless a leader sends entries already."""
        self.join_at = now + self.config.timings.join_interval
        if now - self.last_heard < self.config.timings.election_max:
            return
        for member in self.contacts.union(self.peers):
            self.send(member, JoinRequest(self.log.last_index))

    # Dispatch ----------------------------------------------------------------------------------

    def step(self, sender: str, folder_id: str, message: Message, now: float) -> None:
        """Take over a message from another member.

        Args:
            sender: Member id of the sender.
            folder_id: Data folder of the sender.
            message: The message.
            now: Time in seconds.
        """
        if self._refuse_retired(sender, folder_id):
            return
        founder = getattr(message, "founder", False)
        known = self.folders.get(sender)
        if not hasattr(message, "founder") and known is not None and known.folder_id == folder_id:
            founder = known.founder
        self.folders[sender] = Folder(folder_id, founder, now)
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
                self._on_leader_reply(sender, folder_id, message, now)
            case FolderRefused():
                if message.folder_id == self.folder_id:
                    self.refused = message.reason
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

    def heard(self, member: str, now: float) -> None:
        """Take note that a member was heard."""
        folder = self.folders.get(member)
        if folder is not None:
            self.folders[member] = attrs.evolve(folder, heard_at=now)

    def _refuse_retired(self, sender: str, folder_id: str) -> bool:
        """Return whether the sender's folder was replaced, and tell it so."""
        _, committed = self.memberships.at(self.commit_index)
        if committed is None or folder_id not in committed.retired:
            return False
        self.send(sender, FolderRefused(folder_id, f"folder {folder_id} was replaced by a newer one"))
        return True

    def _on_leader_reply(
        self, sender: str, folder_id: str, reply: AppendReply | SnapshotReply, now: float
    ) -> None:
        if reply.term > self.hard.term:
            self.become_follower(reply.term, now)
            return
        if self.leadership is None or reply.term < self.hard.term:
            return
        if sender not in self.leadership.progress:
            return
        self.leadership.observe_folder(sender, folder_id, reply)
        if isinstance(reply, AppendReply):
            self.leadership.on_append_reply(sender, reply, now)
        else:
            self.leadership.on_snapshot_reply(sender, reply, now)
