"""Log entries, persistent records and messages of the Raft protocol."""

import enum

import attrs


class EntryKind(enum.IntEnum):
    """What the payload of a log entry is."""

    COMMAND = 0
    NOOP = 1
    MEMBERSHIP = 2


@attrs.frozen
class LogEntry:
    """One entry of the replicated log; ``kind`` is a value of ``EntryKind``."""

    index: int
    term: int
    kind: int
    payload: bytes = b""


@attrs.frozen
class Membership:
    """The data folder under which each member votes.

    Args:
        folders: Folder id by member id; an empty id stands for a founding member not yet heard from.
        retired: Folder ids that were replaced and may never take part again.
    """

    folders: dict[str, str]
    retired: tuple[str, ...] = ()


@attrs.frozen
class HardState:
    """State that a member syncs before it answers.

    Args:
        term: Latest term seen.
        voted_for: Member that received the vote of this term, or an empty string.
        commit_index: An index known to be committed and present in the log or the snapshot.
    """

    term: int = 0
    voted_for: str = ""
    commit_index: int = 0


@attrs.frozen
class Snapshot:
    """State of the state machine after the entry ``index``, with the membership in force then."""

    index: int
    term: int
    membership: Membership | None
    data: bytes


@attrs.frozen
class VoteRequest:
    """Request for a vote, or with ``pre_vote`` the question whether a vote would be given.

    Args:
        term: Term of the candidacy.
        last_index: Index of the candidate's last entry.
        last_term: Term of that entry.
        pre_vote: Whether the vote is not given yet.
        founder: Whether the candidate's folder was created with bootstrap.
        membership_index: Index of the committed membership under which the candidate votes, or 0.
        handover: Whether the last leader stepped down for this candidate, so that no lease is in force.
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
    """Answer to a vote request; ``term`` is the requested term when granted."""

    term: int
    granted: bool
    pre_vote: bool = False
    founder: bool = False


@attrs.frozen
class AppendRequest:
    """Entries after ``previous_index``, or a heartbeat when there are none.

    ``round`` numbers the leader's heartbeat rounds and is returned in the reply.
    """

    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    round: int
    entries: tuple[LogEntry, ...] = ()


@attrs.frozen
class AppendReply:
    """Answer to an append request.

    Args:
        term: Term of the follower.
        success: Whether the log matches the leader's up to ``match_index``, synced.
        match_index: Last index known to match, when successful.
        previous_index: ``previous_index`` of the request.
        hint_index: Where the leader continues, when not successful.
        commit_index: Commit index of the follower.
        round: ``round`` of the request.
        founder: Whether the follower's folder was created with bootstrap.
        votes: Whether the follower's folder votes by what it has synced.
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


@attrs.frozen
class SnapshotChunk:
    """A part of the leader's snapshot, starting at byte ``offset`` of ``size``."""

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
    """Answer to a chunk; ``next_offset`` is the byte wanted next, ``installed`` is set after the sync."""

    term: int
    last_index: int
    next_offset: int
    installed: bool
    round: int
    founder: bool = False
    votes: bool = False


@attrs.frozen
class FolderRefused:
    """Tells a member that its data folder may not take part any more."""

    folder_id: str
    reason: str


@attrs.frozen
class StartElection:
    """Sent by a leader of ``term`` that has stepped down: the receiver shall stand for election at once."""

    term: int


@attrs.frozen
class JoinRequest:
    """Asks to become a learner of the group; ``last_index`` is the end of the sender's log."""

    last_index: int


@attrs.frozen
class JoinHint:
    """Answer of a member that does not lead: the leader it knows and the members of the group."""

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
