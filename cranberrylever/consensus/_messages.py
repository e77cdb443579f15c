"""Log entries, persistent state and messages of the Raft protocol."""

import enum

import attrs


class EntryKind(enum.IntEnum):
    """Type of the payload of a log entry."""

    COMMAND = 0
    NOOP = 1
    MEMBERSHIP = 2


@attrs.frozen
class LogEntry:
    """Entry of the replicated log; ``kind`` is a value of ``EntryKind``."""

    index: int
    term: int
    kind: int
    payload: bytes = b""


@attrs.frozen
class Membership:
    """Voters of the group, each with the data directory with which it votes.

    Args:
        folders: Id of the data directory by member id; empty for an initial member whose
            directory is not known yet.
        retired: Ids of replaced data directories, which must never be used again.
    """

    folders: dict[str, str]
    retired: tuple[str, ...] = ()


@attrs.frozen
class HardState:
    """Raft state that a member syncs before it replies.

    Args:
        term: Current term.
        voted_for: Id of the member voted for in this term, or an empty string.
        commit_index: Committed index that is covered by the log or the snapshot; it may lag behind.
    """

    term: int = 0
    voted_for: str = ""
    commit_index: int = 0


@attrs.frozen
class Snapshot:
    """Snapshot of the state machine and the membership after the entry at ``index``."""

    index: int
    term: int
    membership: Membership | None
    data: bytes


@attrs.frozen
class VoteRequest:
    """Request for a vote or a pre-vote.

    Args:
        term: Term of the election.
        last_index: Index of the candidate's last log entry.
        last_term: Term of the candidate's last log entry.
        pre_vote: Whether this is a pre-vote, which does not record a vote.
        founder: Whether the candidate's data directory was created with bootstrap.
        membership_index: Index of the candidate's committed membership entry, or 0.
        handover: Whether the leader stepped down and transferred leadership, so that its lease has ended.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool = False
    founder: bool = False
    membership_index: int = 0
    handover: bool = False


@attrs.frozen
class VoteReply:
    """Reply to a vote request; ``term`` is the requested term if granted, else the sender's term."""

    term: int
    granted: bool
    pre_vote: bool = False
    founder: bool = False


@attrs.frozen
class AppendRequest:
    """Log entries after ``previous_index``; without entries it is a heartbeat.

    ``round`` is the number of the leader's heartbeat round and is returned in the reply.
    """

    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    round: int
    entries: tuple[LogEntry, ...] = ()


@attrs.frozen
class AppendReply:
    """Reply to an append request.

    Args:
        term: Term of the follower.
        success: Whether the synced log matches the leader's up to ``match_index``.
        match_index: Last index known to match, if successful.
        previous_index: ``previous_index`` of the request.
        hint_index: Previous index that the leader should probe next, if not successful.
        commit_index: Commit index of the follower.
        round: ``round`` of the request.
        founder: Whether the follower's data directory was created with bootstrap.
        votes: Whether the follower is a voter under the state that it has synced.
        failure_domain: Failure domain of the follower, empty if unknown.
    """

    term: int
    success: bool
    match_index: int
    previous_index: int
    hint_index: int
    commit_index: int
    round: int
    founder: bool = False
    votes: bool = False
    failure_domain: str = ""


@attrs.frozen
class SnapshotChunk:
    """Part of a snapshot; ``offset`` of ``data`` and total ``size`` of the snapshot are in bytes."""

    term: int
    last_index: int
    last_term: int
    membership: Membership | None
    offset: int
    size: int
    data: bytes
    round: int


@attrs.frozen
class SnapshotReply:
    """Reply to a snapshot chunk.

    ``next_offset`` is the offset of the next chunk in bytes. ``installed`` is set after its sync.
    """

    term: int
    last_index: int
    next_offset: int
    installed: bool
    round: int
    founder: bool = False
    votes: bool = False
    failure_domain: str = ""


@attrs.frozen
class FolderRefused:
    """Message to a member whose data directory is retired or lost synced entries; the member stops."""

    folder_id: str
    reason: str


@attrs.frozen
class StartElection:
    """Leadership transfer: the leader of ``term`` has stepped down and the receiver starts an election."""

    term: int


@attrs.frozen
class JoinRequest:
    """Request to become a learner; ``last_index`` is the last index in the sender's log."""

    last_index: int


@attrs.frozen
class JoinHint:
    """Reply to a join request by a member that is not the leader; ``leader_id`` is empty if unknown."""

    leader_id: str
    members: tuple[str, ...]


Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | FolderRefused
    | JoinRequest
    | JoinHint
    | StartElection
)

MESSAGE_KINDS: dict[str, type] = {kind.__name__: kind for kind in Message.__args__}
