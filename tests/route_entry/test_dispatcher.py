"""Tests of how the dispatcher retries requests, and what it learns from their ends."""

import asyncio

import testtools

from cranberrylever.logs import Log
from cranberrylever.route_control._sections import Section
from cranberrylever.route_entry._default_format import NOT_RUN, OUTCOME, DefaultHeaderFormat
from cranberrylever.route_entry._dispatcher import Dispatcher
from cranberrylever.route_entry._permit_gate import create_permit_gate
from cranberrylever.route_entry._reports import ReportCollector
from cranberrylever.route_entry._request import RefusedError, RoutedRequest
from cranberrylever.route_entry._request_log import estimate_fields
from cranberrylever.route_entry._view import EntryView
from cranberrylever.route_plan import Route, RoutedService, RouteShare
from cranberrylever.settings import LimitSettings
from cranberrylever.target_http import TargetAnswer
from cranberrylever.wire import FleetView, RangesView, RangeView, ServiceRanges
from tests.route_entry.test_view import KEYS, reply, target
from tests.support import run_in_simulated_time

SERVICE = RoutedService("ledger", True, "/healthz", 100, 3.0, 10.0, 2.0)
ROUTE = Route("r", "h", "/", (RouteShare("ledger", 1.0),), True, 1.0, 0.3, 1, 2)


class FakePool:
    """Fake pool that answers 421 at the address of one target and 200 at all others."""

    def __init__(self, misdirected):
        self.misdirected = misdirected
        self.sent = []

    async def exchange(
        self, address, method, request_bytes, request_id=b"", is_idempotent=False, before_send=None
    ):
        self.sent.append(address)
        if address == self.misdirected:
            return TargetAnswer(421, [(OUTCOME, NOT_RUN)])
        return TargetAnswer(200, [(OUTCOME, b"done")])


def owned_by(name):
    return RangesView((ServiceRanges("ledger", (RangeView(0, KEYS - 1, name),)),))


def keyed_request(deadline=1.0):
    return RoutedRequest(b"q", b"GET", b"/x", [], b"", ROUTE, SERVICE, 7, 0.0, deadline)


class SilentPool:
    """Fake pool without answers."""

    async def exchange(self, *arguments, **options):
        await asyncio.Event().wait()


class SilentTargetTest(testtools.TestCase):
    def send(self, seconds, deadline=1.0):
        """Give a request up after some seconds; return the recent failures of its target."""

        async def scenario():
            view = EntryView(LimitSettings())
            fleet, ranges = Section(), Section()
            fleet.update(FleetView((target("a"),), 8), 1)
            ranges.update(owned_by("a"), 1)
            view.apply(reply(fleet, ranges), 0.0)
            permits = create_permit_gate(LimitSettings(), lambda: None)
            log = Log("entry", "e", "error")
            parts = (view, SilentPool(), DefaultHeaderFormat(), ReportCollector(), permits, "a", log)
            running = asyncio.ensure_future(Dispatcher(*parts).run(keyed_request(deadline)))
            await asyncio.sleep(seconds)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            (state,) = view.targets.values()
            return state.estimate.recent_failures(asyncio.get_running_loop().time())

        return run_in_simulated_time(scenario)

    def test_request_without_an_answer_at_its_deadline_is_a_failure_of_its_target(self):
        """Guards against a silent target that seems idle once its requests have ended."""
        assert self.send(0.98) > 0.9

    def test_caller_who_leaves_is_no_failure_of_the_target(self):
        """Guards against sound targets that get less because callers are impatient."""
        assert self.send(0.3) == 0.0

    def test_request_that_was_sent_shortly_before_its_deadline_is_no_failure_of_the_target(self):
        """Guards against sound targets that get less because requests reach them too late."""
        assert self.send(0.04, deadline=0.05) == 0.0


class MisdirectedTest(testtools.TestCase):
    def run_request(self, change_owner, request=None):
        """Send a keyed request whose owner answers 421; return the addresses and the status or ``None``."""

        async def scenario():
            view = EntryView(LimitSettings())
            fleet, ranges = Section(), Section()
            fleet.update(FleetView((target("a"), target("b")), 8), 1)
            ranges.update(owned_by("a"), 1)
            view.apply(reply(fleet, ranges), 0.0)
            pool = FakePool("a:80")
            permits = create_permit_gate(LimitSettings(), lambda: None)
            log = Log("entry", "e", "error")
            dispatcher = Dispatcher(view, pool, DefaultHeaderFormat(), ReportCollector(), permits, "a", log)
            if change_owner:
                exchange = pool.exchange

                async def exchange_and_move(*arguments, **options):
                    answer = await exchange(*arguments, **options)
                    ranges.update(owned_by("b"), 1)
                    view.apply(reply(fleet, ranges), 0.0)
                    return answer

                pool.exchange = exchange_and_move
            try:
                result = await dispatcher.run(request or keyed_request())
            except RefusedError:
                return pool.sent, None
            return pool.sent, result.answer.status

        return run_in_simulated_time(scenario)

    def test_target_that_does_not_hold_a_key_is_not_asked_again(self):
        """Guards against a second request to an address that another service uses now (pbdtc-gate).

        It would count as a retry there.
        """
        assert self.run_request(change_owner=False) == (["a:80"], None)

    def test_request_follows_its_key_to_another_owner(self):
        """Guards against refusals while a key moves."""
        assert self.run_request(change_owner=True) == (["a:80", "b:80"], 200)

    def test_request_line_has_the_estimates_that_decided(self):
        """Guards against a failure whose choice of target cannot be explained from the log."""
        request = keyed_request()
        self.run_request(change_owner=True, request=request)
        fields = estimate_fields(request.estimate)
        assert fields["expected_ms"] > 0, fields
        assert fields["completion_ms"] >= fields["queue_ms"] == 0, fields
        assert fields["load_age_ms"] is None, fields
