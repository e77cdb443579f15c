"""Changes between two plans, so that a small change of a plan with many routes stays small."""

import attrs

from cranberrylever.route_plan._plan import CallerLimits, Customer, Route, RoutedService, RoutePlan

RoutePlace = tuple[str, str]
"""Lower-case host and path prefix, which identify a route of a plan."""


@attrs.frozen
class PlanChanges:
    """Changes from the plan of version ``base_version`` to plan ``number``.

    ``routes`` were added or changed, ``removed`` are the places of those that were removed.
    """

    base_version: int
    number: int
    routes: tuple[Route, ...]
    removed: tuple[RoutePlace, ...]
    services: tuple[RoutedService, ...]
    limits: CallerLimits
    customers: tuple[Customer, ...] = ()


def changes_between(before: RoutePlan, after: RoutePlan, base_version: int) -> PlanChanges:
    """Return what turns ``before``, the plan of version ``base_version``, into ``after``."""
    known = _routes_by_place(before)
    changed = []
    for route in after.routes:
        old = known.pop(_place(route), None)
        if old is not route and old != route:
            changed.append(route)
    return PlanChanges(
        base_version,
        after.number,
        tuple(changed),
        tuple(known),
        after.services,
        after.limits,
        after.customers,
    )


def apply_changes(plan: RoutePlan, changes: PlanChanges) -> RoutePlan:
    """Return the plan that ``changes`` make of ``plan``; changed routes may stand in another order."""
    routes = _routes_by_place(plan)
    for place in changes.removed:
        routes.pop(place, None)
    routes.update((_place(route), route) for route in changes.routes)
    return RoutePlan(
        changes.number,
        tuple(routes.values()),
        changes.services,
        changes.limits,
        customers=changes.customers,
    )


def share_routes(before: RoutePlan | None, after: RoutePlan) -> RoutePlan:
    """Return ``after`` with the equal route objects of ``before``, so that plans share their memory."""
    if before is None:
        return after
    known = _routes_by_place(before)
    routes = tuple(_same_or_new(known.get(_place(route)), route) for route in after.routes)
    return attrs.evolve(after, routes=routes)


def _same_or_new(before: Route | None, route: Route) -> Route:
    return before if before == route else route


def _place(route: Route) -> RoutePlace:
    return route.host.lower(), route.prefix


def _routes_by_place(plan: RoutePlan) -> dict[RoutePlace, Route]:
    return {_place(route): route for route in plan.routes}
