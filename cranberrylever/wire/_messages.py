"""Messages exchanged between entries and control, and between control members."""

import attrs

from cranberrylever.routing import View


@attrs.frozen
class PeerFrame:
    """One Raft message between two control members; ``kind`` is the class name of the encoded ``body``."""

    cluster_id: str
    sender: str
    receiver: str
    folder_id: str
    kind: str
    body: bytes


@attrs.frozen
class EntryHello:
    """First message of an entry on its stream; ``address`` is its HTTP host and port."""

    entry_id: str
    incarnation: str
    address: str
    failure_domain: str


@attrs.frozen
class ShardCount:
    """Requests that an entry routed to one shard since its last report."""

    service: str
    shard: int
    requests: int


@attrs.frozen
class TargetLoad:
    """Load of one target as one entry measures it; ``latency_ms`` is a moving average."""

    target_id: str
    incarnation: str
    outstanding: int
    requests: int
    latency_ms: float
    appears_cold: bool = False


@attrs.frozen
class SuspectRecord:
    """A request fingerprint and the targets that crashed while they ran a request with it."""

    fingerprint: str
    crashed: tuple[str, ...]


@attrs.frozen
class HotKey:
    """A key hash with a large share of the requests for a service at one entry."""

    service: str
    key_hash: int
    requests: int


@attrs.frozen
class EntryReport:
    """Poll of an entry for a newer view, with its measured load.

    ``settled_version`` is the highest view version up to which no older request to a released shard is in
    flight. ``permits`` is the number of permits in use by target id.
    """

    sequence: int
    entry_id: str
    incarnation: str
    applied_version: int
    settled_version: int
    shard_counts: tuple[ShardCount, ...] = ()
    target_loads: tuple[TargetLoad, ...] = ()
    hot_keys: tuple[HotKey, ...] = ()
    suspects: tuple[SuspectRecord, ...] = ()
    permits: dict[str, int] = attrs.field(factory=dict)
    requests: int = 0


@attrs.frozen
class ViewAnswer:
    """Answer of the leader to one poll; ``view`` is absent when the entry is up to date.

    ``permits`` is the number of permits of the entry by cold target; they are valid as long as the view.
    """

    sequence: int
    version: int
    view: View | None = None
    permits: dict[str, int] = attrs.field(factory=dict)
    suspects: tuple[SuspectRecord, ...] = ()


@attrs.frozen
class ClaimAnswer:
    """The stored answer to a request, or the outcome that the request did not run."""

    outcome: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@attrs.frozen
class OpenClaim:
    """Request to claim one execution; the reply has the same ``call``.

    ``attempt`` is the token of one attempt to run a request. It is unique per entry and stays the same when
    the message is sent again after a lost reply.
    """

    call: int
    claim_id: str
    fingerprint: str
    entry_id: str
    attempt: str = ""


@attrs.frozen
class CompleteClaim:
    """The outcome of a claimed execution; ``attempt`` is the token that acquired the claim."""

    call: int
    claim_id: str
    entry_id: str
    answer: ClaimAnswer
    attempt: str = ""


@attrs.frozen
class ClaimResult:
    """Reply to ``OpenClaim`` and ``CompleteClaim``.

    ``state`` is ``won``, ``open`` (another execution holds the claim), ``answered``, ``mismatch`` (the claim
    has another fingerprint), ``full`` (no capacity for another claim), ``completed`` or ``expired`` (the
    claim to complete is not known).
    """

    call: int
    state: str
    answer: ClaimAnswer | None = None


@attrs.frozen
class NotLeader:
    """Refusal of a member that is not the leader; ``leader_id`` is the last known leader, empty if unknown.

    ``call`` is that of the refused claim message, or 0 for a report.
    """

    leader_id: str = ""
    call: int = 0


@attrs.frozen
class EntryFrame:
    """Message from an entry to control; exactly one field besides ``cluster_id`` is set."""

    cluster_id: str
    hello: EntryHello | None = None
    report: EntryReport | None = None
    open_claim: OpenClaim | None = None
    complete_claim: CompleteClaim | None = None


@attrs.frozen
class EntryReply:
    """Message from control to an entry; exactly one field besides ``cluster_id`` is set."""

    cluster_id: str
    view_answer: ViewAnswer | None = None
    claim_result: ClaimResult | None = None
    not_leader: NotLeader | None = None
