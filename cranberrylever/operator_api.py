"""Response types of the operator API, shared by control and the command line."""

import attrs


@attrs.frozen
class AnnounceOutcome:
    """Answer to a target's announcement; ``error`` and ``remedy`` explain a refusal."""

    accepted: bool
    error: str = ""
    remedy: str = ""


@attrs.frozen
class TicketSummary:
    """One accepted ticket in a list; ``index`` is the log index at which it was accepted."""

    number: int
    digest: str
    index: int


@attrs.frozen
class ControlMemberStatus:
    """One control member.

    ``role`` is ``leader``, ``voter`` or ``learner``. ``match_index`` is the last log index known to be stored
    by the member. ``heard_s`` is the age of its last message in seconds, -1 when there was none.
    """

    member_id: str
    role: str
    match_index: int = 0
    heard_s: float = -1.0


@attrs.frozen
class EntryStatus:
    """One live entry.

    ``ticket`` is the highest ticket number in force at the entry and ``view_version`` the view that it routes
    by. ``settled_version`` is the view up to which no older request to a released shard is in flight.
    ``lease_s`` is the remaining time of its view lease in seconds.
    """

    entry_id: str
    address: str
    failure_domain: str = ""
    ticket: int = 0
    view_version: int = 0
    settled_version: int = 0
    lease_s: float = 0.0


@attrs.frozen
class TargetStatus:
    """One target; ``phase`` is ``cold``, ``warm``, ``leaving`` or ``lost``.

    ``shards`` is the number of shards that it owns, ``drain`` the operator's directive and ``grant_s`` the
    remaining time of its grant in seconds, 0 when it has none.
    """

    target_id: str
    service: str
    address: str
    failure_domain: str
    phase: str
    incarnation: str = ""
    shards: int = 0
    drain: bool = False
    grant_s: float = 0.0


@attrs.frozen
class FailureDomainStatus:
    """One failure domain; ``state`` is ``active`` or ``withdrawn``."""

    name: str
    state: str
    targets: int = 0
    entries: int = 0
    shards: int = 0


@attrs.frozen
class ServiceStatus:
    """Shards of one service by phase; ``moving`` counts the shards that are moving to another owner."""

    name: str
    kind: str
    shards: int = 0
    owned: int = 0
    releasing: int = 0
    free: int = 0
    moving: int = 0


@attrs.frozen
class ClusterStatus:
    """State of the cluster as known to the leader.

    ``accepted_ticket`` is the highest accepted number; ``in_force_ticket`` is the highest number that is in
    force at every live entry.
    """

    cluster_id: str
    leader: str
    term: int = 0
    commit_index: int = 0
    view_version: int = 0
    accepted_ticket: int = 0
    in_force_ticket: int = 0
    members: tuple[ControlMemberStatus, ...] = ()
    entries: tuple[EntryStatus, ...] = ()
    targets: tuple[TargetStatus, ...] = ()
    failure_domains: tuple[FailureDomainStatus, ...] = ()
    services: tuple[ServiceStatus, ...] = ()
