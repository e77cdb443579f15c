"""The routes, services and caller limits that one change puts in force as a whole."""

import attrs


@attrs.frozen
class RouteShare:
    """A service that receives a share of a route's requests in proportion to ``weight``."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where the requests of one host below one path prefix go; times are seconds.

    ``idempotent`` tells whether a request may run more than once. ``timeout`` is the longest time that a
    caller is kept waiting, ``objective`` the time within which an answer is worth most. Priority 0 is the
    highest. ``attempts`` is the greatest number of targets that one request is sent to.
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


@attrs.frozen
class RoutedService:
    """A service that routes name; ``keyed`` tells whether each key belongs to one target.

    A target in cold start carries ``cold_rate`` requests a second. ``takeover_time`` is the time in seconds
    for which keys are slow that come without the state of their last owner.
    """

    name: str
    keyed: bool
    health_path: str
    max_connections: int
    cold_time: float
    cold_rate: float
    takeover_time: float


@attrs.frozen
class CallerLimits:
    """What a caller may send; sizes in bytes, times in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout: float = 10.0
    idle_timeout: float = 20.0


@attrs.frozen
class RoutePlan:
    """A numbered configuration that replaces the one before it completely.

    ``source`` is the document as the operator sent it and ``digest`` identifies its content.
    """

    number: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    source: bytes = b""
    digest: str = ""

    def service(self, name: str) -> RoutedService | None:
        """Return a service by name."""
        return next((service for service in self.services if service.name == name), None)
