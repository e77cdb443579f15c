"""Tests of when a request with an API key may be sent."""

import random

import testtools

from cranberrylever.customers import CustomerDirectory, RevocationGuard, SendVerdict
from cranberrylever.route_plan import Customer

BOUND_S = 5.0
HELD = CustomerDirectory((Customer("x", ("d",)),))
MOVED = CustomerDirectory((Customer("x", ()), Customer("y", ("d",))))
GONE = CustomerDirectory((Customer("x", ()),))


class SendVerdictTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.suspended = 0.0
        self.guard = RevocationGuard(BOUND_S, lambda: self.suspended)

    def decide(self, directory=HELD, digest="d", customer="x", is_public=False, age=0.1):
        return self.guard.decide(directory, digest, customer, is_public, 100.0 - age, 100.0)

    def test_key_that_was_taken_away_or_moved_while_a_request_waited(self):
        """Guards against a request that runs without a key in force, or for a customer who lost it."""
        assert self.decide() is SendVerdict.SEND
        assert self.decide(GONE) is SendVerdict.KEY_REVOKED
        assert self.decide(MOVED) is SendVerdict.CUSTOMER_CHANGED
        assert self.decide(MOVED, customer="y") is SendVerdict.SEND

    def test_customers_that_came_or_went_while_a_request_waited(self):
        """Guards against a request that was read without a key and runs where one is needed."""
        assert self.decide(digest="", customer="") is SendVerdict.CUSTOMER_CHANGED
        assert self.decide(CustomerDirectory()) is SendVerdict.CUSTOMER_CHANGED
        assert self.decide(CustomerDirectory(), "", "") is SendVerdict.SEND

    def test_public_routes_go_on_by_an_old_view(self):
        """Guards against an outage of public routes at entries without control."""
        assert self.decide(digest="", customer="", is_public=True, age=60.0) is SendVerdict.SEND

    def test_old_view_sends_nothing_with_a_key(self):
        """Guards against a removed key that a cut-off entry still accepts."""
        assert self.decide(age=BOUND_S * 0.7) is SendVerdict.SEND
        assert self.decide(age=BOUND_S * 0.9) is SendVerdict.VIEW_UNCONFIRMED

    def test_without_a_bound_the_last_view_stays_in_force(self):
        """Guards against refusals in deployments that state no bound."""
        self.guard = RevocationGuard(0.0, lambda: self.suspended)
        assert self.decide(age=600.0) is SendVerdict.SEND

    def test_suspended_entry_sends_nothing_before_a_new_confirmation(self):
        """Guards against a process whose steady clock stood still while a key was taken away."""
        self.suspended = 30.0
        assert self.decide() is SendVerdict.VIEW_UNCONFIRMED
        assert self.guard.is_confirmed(100.05, 100.1)

    def test_random_cuts_suspensions_and_revocations(self):
        """Guards against any order of events in which a removed key is accepted after the bound."""
        sent = [self.check_random_events(random.Random(seed)) for seed in range(200)]
        assert sum(sent) > 200, sum(sent)

    def check_random_events(self, rng):
        """Replay an entry that is cut off and suspended at random beside a plan that takes its key away.

        The suspended time passes for all others. A confirmation tells what was in force when it was asked
        for.
        """
        suspended = 0.0
        guard = RevocationGuard(BOUND_S, lambda: suspended)
        revoked_at = rng.uniform(0.0, 20.0)
        view, confirmed_at, sent, now = HELD, 0.0, 0, 0.0
        asked = []
        while now < 30.0:
            now += rng.uniform(0.01, 0.4)
            if rng.random() < 0.03:
                suspended += rng.uniform(0.2, 10.0)
            if rng.random() < 0.5:
                asked.append((now, now + suspended))
            if asked and rng.random() < 0.2:
                confirmed_at, confirmed_time = asked.pop(rng.randrange(len(asked)))
                view = GONE if confirmed_time >= revoked_at else view
            verdict = guard.decide(view, "d", "x", False, confirmed_at, now)
            if verdict is SendVerdict.SEND:
                sent += 1
                assert now + suspended <= revoked_at + BOUND_S, (now, suspended, revoked_at)
        return sent
