"""Differential test of the settled version against a naive computation over all views."""

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from cranberrylever.entry._exchange import Attempt, Exchange
from cranberrylever.entry._inflight import InFlightAttempts
from cranberrylever.routing import RoutingTable, ServiceView, TargetView, View

_TARGET = TargetView("t1", "ledger", "h:1", "d", "i", "warm", 3, 100, 1)
_STEPS = st.lists(st.tuples(st.sampled_from(["view", "begin", "end"]), st.integers(0, 3)), max_size=40)


def table_at(version: int, fences: tuple[int, ...]) -> RoutingTable:
    """Return a table with four shards; a shard with an odd fence has no owner."""
    owners = tuple(-1 if fence % 2 else 0 for fence in fences)
    service = ServiceView("ledger", "keyed", 4, owner_ids=("t1",), owners=owners, fences=fences)
    return RoutingTable(View(version, 1, (service,), (_TARGET,)))


def naive_settled(history: list[RoutingTable], running: list[Attempt]) -> int:
    """Compute the settled version by scanning all views for each running attempt."""
    settled = history[-1].version
    for attempt in running:
        before = attempt.view_version
        for table in history:
            if table.version <= attempt.view_version:
                continue
            route = table.shard_owner(table.services["ledger"], attempt.exchange.key_hash)
            if route.target is None or route.fence != attempt.fence:
                settled = min(settled, before)
                break
            before = table.version
    return settled


class SettledVersionTest(testtools.TestCase):
    def test_settled_version_equals_naive_version(self):
        """Guards against a shard that moves while its old owner runs a request, or that never moves."""

        @seed(1)
        @settings(max_examples=300, deadline=None, database=None)
        @given(_STEPS)
        def drive(steps):
            in_flight = InFlightAttempts()
            fences = [2, 2, 2, 2]
            history = [table_at(1, tuple(fences))]
            running: list[Attempt] = []
            reported = 0
            for kind, number in steps:
                table = history[-1]
                if kind == "view":
                    fences[number] += 1
                    history.append(table_at(table.version + 2, tuple(fences)))
                    in_flight.apply_view(table.version, history[-1])
                elif kind == "begin":
                    service = table.services["ledger"]
                    route = table.shard_owner(service, number)
                    if route.target is not None:
                        exchange = Exchange(service, "POST", "/", [], b"", 0.0, False, "r", number)
                        attempt = Attempt(exchange, "t1", "h:1", "i", table.version, route.shard, route.fence)
                        in_flight.add(attempt)
                        running.append(attempt)
                elif running:
                    in_flight.remove(running.pop(number % len(running)))
                settled = in_flight.settled_version(history[-1].version)
                self.assertEqual(naive_settled(history, running), settled)
                self.assertGreaterEqual(settled, reported)
                reported = settled

        drive()
