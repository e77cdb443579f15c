"""Tests of route plans: matching, shares and acceptance."""

import attrs
import testtools

from cranberrylever.route_plan import (
    PlanRegistry,
    Route,
    RoutedService,
    RouteMatcher,
    RoutePlan,
    RouteShare,
    plan_problem,
)


def make_route(name="r", prefix="/a/", shares=(("one", 1.0),), **changes):
    route = Route(
        name, "h.example", prefix, tuple(RouteShare(*share) for share in shares), True, 1.0, 0.3, 1, 2
    )
    return attrs.evolve(route, **changes)


def make_plan(number, *routes, services=("one", "two"), digest=""):
    specs = tuple(RoutedService(name, False, "/healthz", 10, 3.0, 10.0, 2.0) for name in services)
    return RoutePlan(number, routes or (make_route(),), specs, digest=digest or f"digest-{number}")


class MatcherTest(testtools.TestCase):
    def test_longest_prefix_on_the_host_wins(self):
        """Guards against a request that matches a route with a shorter prefix or of another host."""
        plan = make_plan(1, make_route("short", "/a/"), make_route("long", "/a/b/"), make_route("root", "/"))
        matcher = RouteMatcher(plan)
        assert matcher.match("h.example", "/a/b/c").name == "long"
        assert matcher.match("H.example:80", "/a/x").name == "short"
        assert matcher.match("h.example", "/a").name == "root"
        assert matcher.match("other.example", "/a/b/c") is None

    def test_prefix_ends_at_a_slash(self):
        """Guards against /ab matching the prefix /a/."""
        matcher = RouteMatcher(make_plan(1, make_route(prefix="/a/")))
        assert matcher.match("h.example", "/ab/c") is None

    def test_shares_follow_the_weights_exactly(self):
        """Guards against a service that gets more or fewer requests than its share, as by a random choice."""
        route = make_route(shares=(("one", 90.0), ("two", 10.0)))
        matcher = RouteMatcher(make_plan(1, route))
        chosen = [matcher.choose(route) for _ in range(300)]
        assert chosen.count("two") == 30

    def test_share_without_weight_gets_nothing(self):
        """Guards against requests to a service with a weight of 0."""
        route = make_route(shares=(("one", 0.0), ("two", 5.0)))
        matcher = RouteMatcher(make_plan(1, route))
        assert {matcher.choose(route) for _ in range(20)} == {"two"}


class PlanRegistryTest(testtools.TestCase):
    def test_one_of_two_plans_on_one_base_wins(self):
        """Guards against concurrent changes of two operators that are both accepted."""
        registry = PlanRegistry()
        assert registry.accept(make_plan(5), 0).accepted
        assert registry.accept(make_plan(8, digest="first"), 5).accepted
        outcome = registry.accept(make_plan(9, digest="second"), 5)
        assert (outcome.accepted, outcome.conflict) == (False, True)
        assert registry.number == 8

    def test_repeated_plan_is_accepted_again_even_when_it_is_outdated(self):
        """Guards against the rejection of a plan sent again because its acknowledgement was lost."""
        registry = PlanRegistry()
        registry.accept(make_plan(5), 0)
        registry.accept(make_plan(6), 5)
        outcome = registry.accept(make_plan(5), 0)
        assert (outcome.accepted, outcome.repeated, registry.number) == (True, True, 6)

    def test_same_number_with_other_content_is_refused(self):
        """Guards against two plans with one number."""
        registry = PlanRegistry()
        registry.accept(make_plan(5), 0)
        assert not registry.accept(make_plan(5, digest="other"), 5).accepted

    def test_invalid_plan_is_refused(self):
        """Guards against the acceptance of invalid plans."""
        invalid_plans = [
            make_plan(1, make_route(shares=(("missing", 1.0),))),
            make_plan(1, make_route("a"), make_route("b")),
            make_plan(1, make_route(shares=(("one", -1.0), ("two", 2.0)))),
            make_plan(1, make_route(timeout=0.0)),
            make_plan(1, make_route(prefix="/a")),
        ]
        for plan in invalid_plans:
            assert plan_problem(plan) is not None
            assert not PlanRegistry().accept(plan, 0).accepted

    def test_record_keeps_what_was_accepted(self):
        """Guards against a restart that loses the digests of accepted plans."""
        registry = PlanRegistry()
        registry.accept(make_plan(5), 0)
        registry.accept(make_plan(6), 5)
        restored = PlanRegistry(registry.to_record())
        assert restored.accept(make_plan(5), 0).repeated
        assert restored.number == 6
