"""Tests of the customers of a plan: their rules and the digests of their keys."""

import attrs
import testtools

from cranberrylever.route_plan import Customer, key_digest, plan_problem
from tests.route_plan.test_routes import make_plan

KEY = key_digest(b"k1")
VALID = Customer("x", (KEY,), 0, 2.0, 3.0)


def problem(*customers):
    found = plan_problem(attrs.evolve(make_plan(1), customers=customers))
    return found and found.message


class CustomerRulesTest(testtools.TestCase):
    def test_valid_customers_are_accepted(self):
        """Guards against the rejection of customers without keys, priority or quota."""
        assert problem(VALID, Customer("y", ()), Customer("z", (key_digest(b"k2"),))) is None

    def test_each_broken_rule_names_the_customer_and_the_field(self):
        """Guards against a plan in which it is undefined whose request is served, or how many."""
        for changes, field in (
            ({"key_digests": (KEY,)}, "API key 1 also belongs to customer 'x'"),
            ({"key_digests": ("",)}, "API key 1 is empty"),
            ({"name": "x"}, "declared twice"),
            ({"name": ""}, "name"),
            ({"name": "a\r\nb"}, "name"),
            ({"priority": -1}, "priority"),
            ({"priority": 1_001}, "priority"),
            ({"rate": -1.0}, "rate"),
            ({"rate": float("nan")}, "rate"),
            ({"rate": None}, "burst"),
            ({"burst": -1.0}, "burst"),
        ):
            broken = attrs.evolve(VALID, **{"name": "y", "key_digests": (), **changes})
            message = problem(VALID, broken)
            assert message is not None, changes
            assert field in message, message
            assert repr(broken.name) in message, message
            assert KEY not in message, message


class KeyDigestTest(testtools.TestCase):
    def test_keys_that_no_request_can_carry_have_no_digest(self):
        """Guards against keys that are accepted and then never match."""
        for key in (b"", b"a b", b"a\n", "ä".encode(), b"x" * 8_192):
            assert key_digest(key) == "", key

    def test_digests_of_two_keys_differ(self):
        """Guards against a key that stands in a plan as it is, and against a short digest."""
        assert key_digest(b"k1") != key_digest(b"k2")
        assert len(KEY) == 64
        assert "k1" not in KEY
