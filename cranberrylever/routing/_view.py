"""The versioned routing view that control sends to entries."""

import attrs


@attrs.frozen
class KeySource:
    """Location of the key in the requests of a keyed service.

    ``header`` names a request header. When it is empty, the key is path segment number ``segment``; the
    service name is segment 1.
    """

    segment: int = 2
    header: str = ""


@attrs.frozen
class TargetView:
    """A target in the view; ``address`` is ``host:port``.

    ``phase`` is ``cold``, ``warm``, ``leaving`` or ``lost``. ``cold_budget`` is the maximum number of
    requests that the target may have outstanding while it is cold.
    """

    target_id: str
    service: str
    address: str
    failure_domain: str
    incarnation: str
    phase: str
    slots: int
    connections: int
    cold_budget: int
    weight: float = 1.0
    routable: bool = True


@attrs.frozen
class ServiceView:
    """A service in the view, with its shard table.

    ``owners[shard]`` is an index into ``owner_ids``, or -1 while the shard must not be served, and
    ``fences[shard]`` is its fence; both are empty for a pooled service. Shards numbered ``shards`` and above
    belong to pinned keys; ``pins`` maps a key hash to its shard. ``retry_ratio`` and ``hedge_ratio`` are the
    retries and hedges that an entry may send per request; 0 disables them.
    """

    name: str
    kind: str
    shards: int = 0
    key: KeySource = attrs.field(factory=KeySource)
    deadline_ms: int = 10_000
    max_body_bytes: int = 1_048_576
    idempotent: tuple[str, ...] = ()
    non_idempotent: tuple[str, ...] = ()
    retry_ratio: float = 0.1
    hedge_ratio: float = 0.05
    owner_ids: tuple[str, ...] = ()
    owners: tuple[int, ...] = ()
    fences: tuple[int, ...] = ()
    pins: dict[int, int] = attrs.field(factory=dict)


@attrs.frozen
class EntryAddress:
    """Address of an entry; a request for a cold target may be forwarded once to another entry."""

    entry_id: str
    address: str


@attrs.frozen
class View:
    """Routing state for entries at one version of the cluster state."""

    version: int
    ticket: int
    services: tuple[ServiceView, ...] = ()
    targets: tuple[TargetView, ...] = ()
    entries: tuple[EntryAddress, ...] = ()
    permit_holders: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
