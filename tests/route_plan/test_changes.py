"""Tests of changes between plans."""

import random

import attrs
import testtools

from cranberrylever.route_plan import (
    Customer,
    PlanRegistry,
    Route,
    RoutedService,
    RouteMatcher,
    RoutePlan,
    RouteShare,
    apply_changes,
    changes_between,
)

SERVICES = (
    RoutedService("a", True, "/h", 9, 3.0, 10.0, 2.0),
    RoutedService("b", False, "/h", 9, 3.0, 10.0, 0.0),
)


def route(place, service="a", timeout=1.0):
    return Route(
        f"r{place}",
        f"H{place % 7}.example",
        f"/{place}/",
        (RouteShare(service, 1.0),),
        True,
        timeout,
        0.5,
        1,
        2,
    )


def plan(number, routes):
    return RoutePlan(number, tuple(routes), SERVICES, digest=str(number))


class PlanChangesTest(testtools.TestCase):
    def test_changes_lead_to_the_same_routes_as_the_whole_plan(self):
        """Guards against an entry whose routes drift from those in force."""
        rng = random.Random(5)
        held = plan(1, [route(place) for place in range(40)])
        for number in range(2, 60):
            places = rng.sample(range(80), rng.randint(0, 60))
            new = plan(number, [route(place, rng.choice("ab"), rng.choice([1.0, 2.0])) for place in places])
            held = apply_changes(held, changes_between(held, new, number - 1))
            assert held.number == number
            assert set(held.routes) == set(new.routes)
            assert len(held.routes) == len(new.routes)

    def test_changed_weight_brings_one_route(self):
        """Guards against a whole plan that goes to every entry for one weight."""
        before = plan(1, [route(place) for place in range(500)])
        after = plan(2, [route(place, "b" if place == 7 else "a") for place in range(500)])
        changes = changes_between(before, after, 1)
        assert [item.name for item in changes.routes] == ["r7"]
        assert changes.removed == ()

    def test_removed_route_matches_no_more(self):
        """Guards against requests by a route that was dropped."""
        before = plan(1, [route(1), route(2)])
        after = apply_changes(before, changes_between(before, plan(2, [route(2)]), 1))
        matcher = RouteMatcher(after)
        assert matcher.match("h1.example", "/1/x") is None
        assert matcher.match("h2.example", "/2/x") is not None

    def test_changes_bring_the_keys_in_force(self):
        """Guards against an entry that accepts a key which a plan took away."""
        before = attrs.evolve(plan(1, [route(1)]), customers=(Customer("x", ("k1", "k2")),))
        after = attrs.evolve(plan(2, [route(1)]), customers=(Customer("x", ("k2",)), Customer("y", ("k1",))))
        held = apply_changes(before, changes_between(before, after, 1))
        assert held.customers == after.customers

    def test_accepted_plans_share_routes(self):
        """Guards against a member whose memory holds every route once for each recent plan."""
        registry = PlanRegistry()
        first, second = (
            plan(1, [route(1), route(2)]),
            plan(2, [route(1), attrs.evolve(route(2), timeout=9.0)]),
        )
        assert registry.accept(first, 0).accepted
        assert registry.accept(second, 1).accepted
        assert registry.current.routes[0] is first.routes[0]
        assert registry.current.routes[1].timeout == 9.0
