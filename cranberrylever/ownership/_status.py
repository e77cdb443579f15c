"""What operators can read about ownership."""

import attrs


@attrs.frozen
class TargetStatus:
    """One target; ``ack_age`` is the seconds since its last acknowledgement, -1 without one."""

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
    """One keyed service; ``imbalance`` is the load of its busiest target over its fair share."""

    name: str
    owned: int
    releasing: int
    free: int
    pins: int
    imbalance: float


@attrs.frozen
class EntryStatus:
    """One entry with a live lease; ``report_age`` in seconds."""

    entry_id: str
    incarnation: str
    address: str
    applied_version: int
    settled_version: int
    report_age: float


@attrs.frozen
class CoordinatorStatus:
    """Targets, keyed services and entries as the leader sees them."""

    term: int
    view_version: int
    last_ticket: int
    targets: tuple[TargetStatus, ...]
    services: tuple[ServiceStatus, ...]
    entries: tuple[EntryStatus, ...]
