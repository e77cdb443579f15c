"""The versioned routing view that control sends to entries."""

import attrs


@attrs.frozen
class KeySource:
    """Where a keyed service finds the key of a request.

    ``header`` names a request header; when empty the key is path segment ``segment`` (counted from 1,
    the service name being segment 1).
    """

    segment: int = 2
    header: str = ""


@attrs.frozen
class TargetView:
    """One target as entries see it; ``address`` is ``host:port``.

    ``phase`` is ``cold``, ``warm``, ``leaving`` or ``lost``. ``cold_budget`` is the most work that the
    target may hold at once while it is cold.
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
    """One service with its shard table.

    ``owners[shard]`` is an index into ``owner_ids`` or -1 while the shard must not be served, and
    ``fences[shard]`` its fence; both are empty for a pooled service. Shards from ``shards`` upwards belong to
    the pinned keys in ``pins`` (key hash to shard). ``retry_ratio`` and ``hedge_ratio`` are the retries and
    hedges that an entry may send per request; 0 switches them off.
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
    """Another entry, to which a request for a cold target may be forwarded once."""

    entry_id: str
    address: str


@attrs.frozen
class View:
    """Everything that an entry needs to route, at one version of the cluster state."""

    version: int
    ticket: int
    services: tuple[ServiceView, ...] = ()
    targets: tuple[TargetView, ...] = ()
    entries: tuple[EntryAddress, ...] = ()
    permit_holders: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
