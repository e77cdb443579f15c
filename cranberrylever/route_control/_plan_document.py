"""Route plan as an operator sends it, with API keys."""

import attrs

from cranberrylever.route_plan import (
    CallerLimits,
    Customer,
    Route,
    RoutedService,
    RoutePlan,
    plan_digest,
    text_key_digest,
)


@attrs.frozen
class CustomerDocument:
    """A customer in a plan; the fields are those of ``Customer``, with the keys in place of their digests.

    A rate of 0 means no quota.
    """

    name: str
    api_keys: tuple[str, ...] = attrs.field(default=(), repr=False)
    priority: int | None = None
    rate: float | None = None
    burst: float = 0.0

    def to_customer(self) -> Customer:
        """Return the customer with the digests of its keys."""
        digests = tuple(text_key_digest(key) for key in self.api_keys)
        return Customer(self.name, digests, self.priority, self.rate or None, self.burst)


@attrs.frozen
class PlanDocument:
    """A plan; the fields are those of ``RoutePlan``."""

    number: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    customers: tuple[CustomerDocument, ...] = ()

    def to_plan(self, source: bytes) -> RoutePlan:
        """Return the plan with ``source``, the bytes that the operator sent."""
        return RoutePlan(
            self.number,
            self.routes,
            self.services,
            self.limits,
            source,
            plan_digest(source),
            tuple(customer.to_customer() for customer in self.customers),
        )
