"""Checks that a route plan must pass before it is accepted."""

import math
from collections.abc import Iterator

from cranberrylever.errors import TicketError
from cranberrylever.route_plan._api_keys import MAX_KEY_BYTES
from cranberrylever.route_plan._plan import Customer, Route, RoutePlan

MAX_ATTEMPTS = 100
MAX_PRIORITY = 1_000
MAX_CUSTOMER_NAME_BYTES = 256


def plan_problem(plan: RoutePlan) -> TicketError | None:
    """Return an error for the first rule that a plan breaks, or ``None`` when it breaks none."""
    return next(_problems(plan), None)


def _problems(plan: RoutePlan) -> Iterator[TicketError]:
    if plan.number < 1:
        yield TicketError(f"plan number {plan.number} is not positive", "use a number of at least 1")
    names = [service.name for service in plan.services]
    if len(set(names)) != len(names):
        yield TicketError("a service is declared twice", "declare each service once")
    seen: set[tuple[str, str]] = set()
    for route in plan.routes:
        host_and_prefix = (route.host.lower(), route.prefix)
        if host_and_prefix in seen:
            yield _route_error(
                route, f"{route.host}{route.prefix} already has a route", "remove one of the two"
            )
        seen.add(host_and_prefix)
        yield from _route_problems(route, set(names))
    yield from _customers_problems(plan.customers)


def _route_problems(route: Route, services: set[str]) -> Iterator[TicketError]:
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield _route_error(
            route, f"prefix {route.prefix!r} does not begin and end with a slash", "add the missing slash"
        )
    for share in route.shares:
        if share.service not in services:
            yield _route_error(route, f"unknown service {share.service!r}", "declare it under services")
        if not (math.isfinite(share.weight) and share.weight >= 0):
            yield _route_error(
                route, f"weight {share.weight} is not a number of at least 0", "use a weight of 0 or more"
            )
    if sum(share.weight for share in route.shares) <= 0:
        yield _route_error(route, "no service has a weight above 0", "give one service a weight above 0")
    for label, value in (("time-out", route.timeout), ("objective", route.objective)):
        if not (math.isfinite(value) and value > 0):
            yield _route_error(route, f"{label} of {value} s is not a time above 0", "use a time above 0")
    if not 1 <= route.attempts <= MAX_ATTEMPTS:
        yield _route_error(route, f"{route.attempts} attempts are out of range", f"use 1 to {MAX_ATTEMPTS}")
    if not 0 <= route.priority <= MAX_PRIORITY:
        yield _route_error(route, f"priority {route.priority} is out of range", f"use 0 to {MAX_PRIORITY}")


def _customers_problems(customers: tuple[Customer, ...]) -> Iterator[TicketError]:
    seen: set[str] = set()
    holders: dict[str, str] = {}
    for customer in customers:
        if customer.name in seen:
            yield _customer_error(customer, "the name is declared twice", "declare each customer once")
        seen.add(customer.name)
        yield from _customer_problems(customer)
        for number, digest in enumerate(customer.key_digests, 1):
            holder = holders.setdefault(digest, customer.name)
            if holder != customer.name:
                yield _customer_error(
                    customer,
                    f"API key {number} also belongs to customer {holder!r:.80}",
                    "give each key to one customer",
                )


def _customer_problems(customer: Customer) -> Iterator[TicketError]:
    if not _is_header_value(customer.name):
        yield _customer_error(
            customer,
            "the name cannot be sent in a header",
            f"use 1 to {MAX_CUSTOMER_NAME_BYTES} visible ASCII characters",
        )
    for number, digest in enumerate(customer.key_digests, 1):
        if not digest:
            yield _customer_error(
                customer,
                f"API key {number} is empty, too long or has other than visible ASCII characters",
                f"use a key of 1 to {MAX_KEY_BYTES} visible ASCII characters",
            )
    priority = customer.priority
    if priority is not None and not 0 <= priority <= MAX_PRIORITY:
        yield _customer_error(
            customer, f"priority {priority} is out of range", f"use 0 to {MAX_PRIORITY} or leave it out"
        )
    rate, burst = customer.rate, customer.burst
    if rate is not None and not (math.isfinite(rate) and rate > 0):
        yield _customer_error(
            customer, f"rate {rate} is not a number above 0", "use a rate above 0 or leave it out"
        )
    if not (math.isfinite(burst) and burst >= 0):
        yield _customer_error(customer, f"burst {burst} is not a number of at least 0", "use 0 or more")
    elif rate is None and burst > 0:
        yield _customer_error(customer, f"burst {burst} stands without a rate", "add a rate or remove it")


def _is_header_value(name: str) -> bool:
    """Return whether a name can be sent in a header without being changed."""
    return (
        0 < len(name) <= MAX_CUSTOMER_NAME_BYTES and name.isascii() and name.isprintable() and " " not in name
    )


def _customer_error(customer: Customer, problem: str, remedy: str) -> TicketError:
    return TicketError(f"customer {customer.name!r:.80}: {problem}", remedy)


def _route_error(route: Route, problem: str, remedy: str) -> TicketError:
    return TicketError(f"route {route.name!r}: {problem}", remedy)
