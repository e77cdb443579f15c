"""Status of targets, keyed services and entries, as reported to operators."""

import attrs


@attrs.frozen
class TargetStatus:
    """Status of one target; ``ack_age`` is in seconds since its last acknowledgement, -1 without one."""

    target_id: str
    service: str
    address: str
    failure_domain: str
    incarnation: str
    phase: str
    leaving_reason: str
    shards: int
    running: int
    queued: int
    ack_age: float


@attrs.frozen
class ServiceStatus:
    """Status of one keyed service; ``imbalance`` is the highest ratio of target load to fair share."""

    name: str
    owned: int
    releasing: int
    free: int
    pins: int
    imbalance: float


@attrs.frozen
class EntryStatus:
    """Status of one entry with a live lease; ``report_age`` is in seconds since its last report."""

    entry_id: str
    incarnation: str
    address: str
    applied_version: int
    settled_version: int
    report_age: float


@attrs.frozen
class CoordinatorStatus:
    """Status of all targets, keyed services and entries that the leader knows."""

    term: int
    view_version: int
    last_ticket: int
    targets: tuple[TargetStatus, ...]
    services: tuple[ServiceStatus, ...]
    entries: tuple[EntryStatus, ...]
