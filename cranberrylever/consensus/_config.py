"""Configuration and status records of the consensus package."""

import enum

import attrs


@attrs.frozen
class Timings:
    """Raft timings in seconds.

    A loop stall by fsync or garbage collection stays below 100 ms, so the shortest election timeout
    leaves room for two lost heartbeats. ``drift_margin`` is the part of a lease that is given up for
    unequal clock rates. A member outside the group asks to join every ``join_interval``; a learner that
    is silent for ``learner_timeout`` is forgotten. A voter that is silent for ``replace_after`` loses its
    vote to a learner that is up to date; it is longer than a restart takes.
    """

    heartbeat: float = 0.05
    election_min: float = 0.25
    election_max: float = 0.5
    drift_margin: float = 0.1
    join_interval: float = 0.25
    learner_timeout: float = 5.0
    replace_after: float = 2.5


@attrs.frozen
class ConsensusConfig:
    """Identity of one member and the group that it belongs to.

    Args:
        cluster_id: Id shared by all processes of the system.
        member_id: Id of this member.
        members: rpc address (``host:port``) by member id of the founding members; empty for a member that
            joins a group it does not know. The memberships in the log go first.
        timings: Raft timings.
        snapshot_entries: Entries applied between two snapshots.
        contacts: Member ids that a member outside the group asks to be let in.
        silent_since: Loop time since which this process has run without hearing a leader, at most the time
            of its start; ``None`` when only the start of the member is known. A process that took long to
            start needs to wait less before it votes.
    """

    cluster_id: str
    member_id: str
    members: dict[str, str]
    timings: Timings = attrs.field(factory=Timings)
    snapshot_entries: int = 10_000
    contacts: tuple[str, ...] = ()
    silent_since: float | None = None


class Role(enum.Enum):
    """Role of a member in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen
class MemberStatus:
    """What one member knows of another.

    Args:
        member_id: Id of the member described.
        role: ``leader``, ``voter`` or ``learner``.
        folder_id: Folder id last heard, or an empty string.
        match_index: Last index known to match (leader only).
        heard_at: Loop time in seconds of the last message, or ``None``.
    """

    member_id: str
    role: str
    folder_id: str
    match_index: int
    heard_at: float | None
