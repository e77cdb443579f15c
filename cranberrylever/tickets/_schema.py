"""Schema of change tickets, which hold the complete new state of each object that they change."""

import attrs

from cranberrylever.routing import KeySource


@attrs.frozen
class ServiceSpec:
    """A routed service.

    ``kind`` is ``keyed`` or ``pooled``. ``shards`` is a power of two and applies to keyed services only.
    ``idempotent`` and ``non_idempotent`` list ``METHOD /path-prefix`` rules (the path below the service name)
    that override the default of the method. ``retry_ratio`` is the number of retries allowed per request.
    """

    name: str
    kind: str
    shards: int = 1024
    key: KeySource = attrs.field(factory=KeySource)
    deadline_ms: int = 10_000
    max_body_bytes: int = 1_048_576
    idempotent: tuple[str, ...] = ()
    non_idempotent: tuple[str, ...] = ()
    retry_ratio: float = 0.1
    hedge_ratio: float = 0.05


@attrs.frozen
class FailureDomainSpec:
    """A failure domain; ``state`` is ``active`` or ``withdrawn``."""

    name: str
    state: str = "active"


@attrs.frozen
class TargetSpec:
    """Directive of an operator for one target; a target with ``drain`` set receives no new work."""

    id: str
    drain: bool = False


@attrs.frozen
class Ticket:
    """A numbered ticket with the new state of the objects that it changes."""

    number: int
    service: tuple[ServiceSpec, ...] = ()
    failure_domain: tuple[FailureDomainSpec, ...] = ()
    target: tuple[TargetSpec, ...] = ()
