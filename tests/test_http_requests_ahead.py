"""Tests of the bounds on requests that wait behind others, without I/O."""

import random

import testtools

from cranberrylever.http_limits import ListenerLimits
from cranberrylever.http_requests_ahead import MIN_COUNTED_BYTES, ReadBudget, RequestsAhead

LIMITS = ListenerLimits(max_requests_ahead=4, max_bytes_ahead=100_000, read_memory=200_000)


class RequestsAheadTest(testtools.TestCase):
    def create(self):
        budget = ReadBudget(LIMITS.read_memory)
        return RequestsAhead(LIMITS, budget), budget

    def test_requests_wait_unread_behind_the_allowed_number(self):
        """Guards against a queue without a bound, and against one that is never read again."""
        ahead, _ = self.create()
        for _ in range(1 + LIMITS.max_requests_ahead):
            assert not ahead.is_full()
            ahead.add(100)
        assert ahead.is_full()
        assert not ahead.is_full(served=2)
        ahead.remove_first()
        assert not ahead.is_full()

    def test_large_requests_wait_unread_before_that_number(self):
        """Guards against a bound on requests whose heads and bodies have none together."""
        ahead, _ = self.create()
        ahead.add(100)
        ahead.add(100)
        ahead.grow_last(LIMITS.max_bytes_ahead)
        assert ahead.is_full()
        ahead.keep_only(1)
        assert not ahead.is_full()

    def test_nothing_is_read_ahead_while_half_of_the_memory_is_taken(self):
        """Guards against connections that together take what each of them may."""
        ahead, budget = self.create()
        assert budget.record("other", LIMITS.read_memory // 2 + 1) is None
        assert not ahead.is_full()
        ahead.add(100)
        assert ahead.is_full()
        budget.forget("other")
        assert not ahead.is_full()


class ReadBudgetTest(testtools.TestCase):
    def test_connections_that_hold_most_give_up_first(self):
        """Guards against an ordinary caller that pays for the others, and one that is given up twice."""
        budget = ReadBudget(100_000)
        assert budget.record("ordinary", 20_000) is None
        assert budget.record("large", 70_000) is None
        assert budget.record("larger", 90_000) == "larger"
        assert budget.record("ordinary", 20_000) == "large"
        assert budget.record("ordinary", MIN_COUNTED_BYTES - 1) is None
        assert budget.total == 160_000

    def test_what_is_held_adds_up_under_a_changing_crowd(self):
        """Guards against bytes that count for good."""
        rng = random.Random(44)
        budget = ReadBudget(1_000_000)
        held = {}
        for _ in range(3_000):
            connection = rng.randrange(40)
            if rng.random() < 0.2:
                budget.forget(connection)
                held.pop(connection, None)
                continue
            size = rng.randrange(100_000)
            excessive = budget.record(connection, size)
            held[connection] = size if size >= MIN_COUNTED_BYTES else 0
            assert budget.total == sum(held.values())
            if excessive is not None:
                budget.record(excessive, 0)
                held[excessive] = 0
        for connection in range(40):
            budget.forget(connection)
        assert (budget.total, budget.sizes, budget.given_up) == (0, {}, set())
