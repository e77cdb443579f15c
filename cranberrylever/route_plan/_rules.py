"""Checks that a route plan must pass before it is accepted."""

import math
from collections.abc import Iterator

from cranberrylever.errors import TicketError
from cranberrylever.route_plan._plan import Route, RoutePlan

MAX_ATTEMPTS = 100
MAX_PRIORITY = 1_000


def plan_problem(plan: RoutePlan) -> TicketError | None:
    """Return the first rule that a plan breaks, ``None`` when it may be accepted."""
    return next(_problems(plan), None)


def _problems(plan: RoutePlan) -> Iterator[TicketError]:
    if plan.number < 1:
        yield TicketError(f"number {plan.number} is not positive", "number plans from 1 on")
    names = [service.name for service in plan.services]
    if len(set(names)) != len(names):
        yield TicketError("a service is declared twice", "declare each service once")
    places: set[tuple[str, str]] = set()
    for route in plan.routes:
        place = (route.host.lower(), route.prefix)
        if place in places:
            yield _wrong(route, f"{route.host}{route.prefix} has a route already", "remove one of the two")
        places.add(place)
        yield from _route_problems(route, set(names))


def _route_problems(route: Route, services: set[str]) -> Iterator[TicketError]:
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield _wrong(route, f"prefix {route.prefix!r}", "begin and end the prefix with a slash")
    for share in route.shares:
        if share.service not in services:
            yield _wrong(route, f"unknown service {share.service!r}", "declare it under services")
        if not (math.isfinite(share.weight) and share.weight >= 0):
            yield _wrong(route, f"weight {share.weight}", "use a weight of 0 or more")
    if sum(share.weight for share in route.shares) <= 0:
        yield _wrong(route, "no service has a weight", "give one service a weight above 0")
    for label, value in (("time-out", route.timeout), ("objective", route.objective)):
        if not (math.isfinite(value) and value > 0):
            yield _wrong(route, f"{label} of {value} s", "use a time above 0")
    if not 1 <= route.attempts <= MAX_ATTEMPTS:
        yield _wrong(route, f"{route.attempts} attempts", f"use 1 to {MAX_ATTEMPTS}")
    if not 0 <= route.priority <= MAX_PRIORITY:
        yield _wrong(route, f"priority {route.priority}", f"use 0 to {MAX_PRIORITY}")


def _wrong(route: Route, problem: str, remedy: str) -> TicketError:
    return TicketError(f"route {route.name!r}: {problem}", remedy)
