"""Configuration of routes, services and caller limits."""

import hashlib

import attrs

_DIGEST_CHARACTERS = 32
"""Length of a plan's digest: 128 bits, so that no two plans are expected to share one."""


def plan_digest(source: bytes) -> str:
    """Return the digest of a plan as the operator sent it."""
    return hashlib.sha256(source).hexdigest()[:_DIGEST_CHARACTERS]


@attrs.frozen
class RouteShare:
    """A service that receives a share of a route's requests in proportion to ``weight``."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Destination and limits of the requests to one host below one path prefix; times are in seconds.

    ``idempotent`` permits that a request runs more than once. ``timeout`` is the longest time that a caller
    waits, ``objective`` the time within which an answer has its full value. Priority 0 is the highest.
    ``attempts`` is the maximum number of targets that one request is sent to. A ``public`` route needs no
    API key in a plan with customers. With ``large_bodies`` a request waits while its target holds as many
    bytes of bodies as it may.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[RouteShare, ...]
    idempotent: bool
    timeout: float
    objective: float
    priority: int
    attempts: int
    public: bool = False
    large_bodies: bool = False


@attrs.frozen
class RoutedService:
    """A service that routes refer to; in a ``keyed`` service one target owns each key.

    During its cold start of ``cold_time`` seconds a target can handle ``cold_rate`` requests per second.
    ``takeover_time`` is the time in seconds for which keys are slow at a new owner that has not received the
    state of the previous one. With ``granted_in_answers`` a target gets its keys in the answers to its
    announcements, otherwise by calls to it.
    """

    name: str
    keyed: bool
    health_path: str
    max_connections: int
    cold_time: float
    cold_rate: float
    takeover_time: float
    granted_in_answers: bool = False


@attrs.frozen
class CallerLimits:
    """Limits on the requests and connections of a caller; times are in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout: float = 10.0
    idle_timeout: float = 20.0


@attrs.frozen
class Customer:
    """A customer whose requests carry one of its API keys.

    ``key_digests`` are the digests of its keys; an empty one stands for a key that no request can carry,
    which makes the plan invalid. ``priority`` goes before that of the route, ``None`` without
    one. Its quota is ``rate`` requests per second and ``burst`` requests beyond that, over all entries
    together; ``rate`` is ``None`` without a quota.
    """

    name: str
    key_digests: tuple[str, ...] = attrs.field(repr=False)
    priority: int | None = None
    rate: float | None = None
    burst: float = 0.0


@attrs.frozen
class RoutePlan:
    """A numbered configuration that replaces the previous one completely.

    ``source`` is the document as the operator sent it, with the API keys; ``digest`` identifies its content.
    In a plan with ``customers`` a request needs an API key of one of them unless its route is public.
    """

    number: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    source: bytes = attrs.field(default=b"", repr=False)
    digest: str = ""
    customers: tuple[Customer, ...] = ()

    def service(self, name: str) -> RoutedService | None:
        """Return the service with that name, or ``None``."""
        return next((service for service in self.services if service.name == name), None)
