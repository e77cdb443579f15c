"""Configuration of a Raft member and the status of its peers."""

import enum

import attrs


@attrs.frozen
class Timings:
    """Raft timings in seconds; ``drift_margin`` is a fraction.

    Args:
        heartbeat: Interval between heartbeat rounds.
        election_min: Shortest election timeout. The event loop stalls for less than 100 ms during an fsync
            or garbage collection, so this tolerates two lost heartbeats.
        election_max: Longest election timeout.
        drift_margin: Fraction by which the leader lease is shortened, because clock rates differ.
        join_interval: Interval between join requests of a member outside the group.
        learner_timeout: Time without a message from a learner after which the leader stops replication to it.
        replace_after: Time without a message from a voter after which an up-to-date learner replaces it;
            longer than a restart takes.
        formation_timeout: Time for which the leader of a new group waits for the learners that it needs to
            reach its number of voters, before it serves with fewer.
    """

    heartbeat: float = 0.05
    election_min: float = 0.25
    election_max: float = 0.5
    drift_margin: float = 0.1
    join_interval: float = 0.25
    learner_timeout: float = 5.0
    replace_after: float = 2.5
    formation_timeout: float = 2.0


@attrs.frozen
class ConsensusConfig:
    """Configuration of one member of a Raft group.

    Args:
        cluster_id: Id shared by all processes of the system.
        member_id: Id of this member.
        members: RPC address (``host:port``) of each initial member by member id; empty for a member that
            joins an existing group. Memberships in the log take precedence.
        timings: Raft timings.
        snapshot_entries: Number of entries applied between two snapshots.
        snapshot_bytes: Size in bytes of the entries applied between two snapshots at most. The log is kept in
            memory, and a restarted member applies what follows its last snapshot before it can lead.
        contacts: Ids of members that get the join requests of a member outside the group.
        silent_since: Loop time in seconds from which the vote delay of the start counts, such as the start of
            the process; the process must not have heard from a leader since then. ``None`` and times after
            the start of the member are treated as the start of the member.
        failure_domain: Failure domain of this member; voters are spread evenly over the domains.
        voters: Number of voters that the leader grows the group to while learners allow it; a smaller number
            than there are initial members changes nothing.
    """

    cluster_id: str
    member_id: str
    members: dict[str, str]
    timings: Timings = attrs.field(factory=Timings)
    snapshot_entries: int = 10_000
    snapshot_bytes: int = 8 * 1024 * 1024
    contacts: tuple[str, ...] = ()
    silent_since: float | None = None
    failure_domain: str = ""
    voters: int = 0


class Role(enum.Enum):
    """Role of a member in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen
class MemberStatus:
    """Status of a member as another member sees it.

    Args:
        member_id: Id of the described member.
        role: ``leader``, ``voter`` or ``learner``.
        folder_id: Id of the data directory in the member's last message, or an empty string.
        match_index: Last log index known to match; for other members only the leader knows it, else 0.
        heard_at: Loop time in seconds of the last message from the member, or ``None``.
    """

    member_id: str
    role: str
    folder_id: str
    match_index: int
    heard_at: float | None
