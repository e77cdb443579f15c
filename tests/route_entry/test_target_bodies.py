"""Tests of the limit on the bytes of request bodies at targets."""

import asyncio
import random

import attrs
import testtools

from cranberrylever.logs import Log
from cranberrylever.route_control._sections import Section
from cranberrylever.route_entry._default_format import OUTCOME, DefaultHeaderFormat
from cranberrylever.route_entry._dispatcher import Dispatcher
from cranberrylever.route_entry._permit_gate import create_permit_gate
from cranberrylever.route_entry._reports import ReportCollector
from cranberrylever.route_entry._request import RefusedError, RoutedRequest
from cranberrylever.route_entry._target_bodies import TargetBodies
from cranberrylever.route_entry._view import EntryView
from cranberrylever.settings import LimitSettings
from cranberrylever.target_http import TargetAnswer
from cranberrylever.wire import FleetView
from tests.route_entry.test_dispatcher import ROUTE, SERVICE
from tests.route_entry.test_view import reply, target
from tests.support import run_in_simulated_time

ENTRIES = 84
TARGETS = 17
MIN_BYTES = 20_000
MEAN_BYTES = 60_000
MAX_BYTES = 360_000
UPLOADS_PER_S = 60.0
FEW_ENTRIES = 6
FEW_TARGETS = 2
SLOW_WORK_S = 2.0
HEAD_BYTES = 10_000
POOLED = attrs.evolve(SERVICE, keyed=False)
UPLOADS = attrs.evolve(ROUTE, idempotent=False, timeout=9.0, objective=2.4, large_bodies=True)


class HoldingPool:
    """Fake pool whose targets answer after some seconds; ``peak`` has the most bytes that each held."""

    def __init__(self, work):
        self.work = work
        self.held = {}
        self.peak = {}

    async def exchange(
        self, address, method, request_bytes, request_id=b"", is_idempotent=False, before_send=None
    ):
        self.held[address] = self.held.get(address, 0) + len(request_bytes)
        self.peak[address] = max(self.peak.get(address, 0), self.held[address])
        await asyncio.sleep(self.work)
        self.held[address] -= len(request_bytes)
        return TargetAnswer(200, [(OUTCOME, b"done")])


def upload(size, now, route=UPLOADS):
    return RoutedRequest(b"q", b"POST", b"/x", [], b"x" * size, route, POOLED, None, now, now + 9.0)


def make_dispatcher(pool, names, limit, entries=1):
    view = EntryView(LimitSettings())
    fleet = Section()
    fleet.update(FleetView(tuple(target(name) for name in names), 8), 1)
    view.apply(reply(fleet), 0.0)
    view.entries = entries
    permits = create_permit_gate(LimitSettings(), lambda: None)
    parts = (view, pool, DefaultHeaderFormat(), ReportCollector(), permits, "a", Log("entry", "e", "error"))
    return Dispatcher(*parts, bodies=TargetBodies(limit))


class TargetBodiesTest(testtools.TestCase):
    def send(self, sizes, names=("a", "b"), work=0.5, limit=200_000, route=UPLOADS):
        """Send uploads at the same time; return the most bytes at each target, and the outcomes."""

        async def scenario():
            pool = HoldingPool(work)
            dispatcher = make_dispatcher(pool, names, limit)
            requests = [upload(size, asyncio.get_running_loop().time(), route) for size in sizes]
            running = (dispatcher.run(request) for request in requests)
            results = await asyncio.gather(*running, return_exceptions=True)
            assert not dispatcher.bodies.held
            return pool.peak, results

        return run_in_simulated_time(scenario)

    def test_target_with_too_many_bytes_gets_no_further_upload(self):
        """Guards against a target that ends because it holds more requests than its memory takes."""
        peak, results = self.send([150_000] * 4)
        assert max(peak.values()) < 160_000, peak
        self.assertEqual(["a:80", "b:80"], sorted(peak))
        assert all(not isinstance(result, Exception) for result in results), results

    def test_upload_that_finds_no_room_is_refused_as_not_run(self):
        """Guards against an upload that waits for a slow target until its deadline."""
        _, results = self.send([150_000] * 3, work=5.0)
        (refused,) = [result for result in results if isinstance(result, RefusedError)]
        assert refused.retry_after > 0

    def test_single_upload_above_the_share_is_sent(self):
        """Guards against uploads that no target ever gets because many entries share the limit."""
        peak, results = self.send([250_000], limit=10_000)
        self.assertEqual(200, results[0].answer.status)

    def test_requests_of_other_routes_are_not_held_back(self):
        """Guards against a limit that refuses requests of routes for which none was asked."""
        route = attrs.evolve(UPLOADS, large_bodies=False)
        _, results = self.send([150_000] * 6, work=1.2, limit=10_000, route=route)
        self.assertEqual([200] * 6, [getattr(result, "answer", result).status for result in results])

    def test_upload_that_waits_goes_to_a_new_target_at_once(self):
        """Guards against uploads that are refused though a target with room has joined."""

        async def scenario():
            loop = asyncio.get_running_loop()
            pool = HoldingPool(3.0)
            dispatcher = make_dispatcher(pool, ("a",), 200_000)
            first = asyncio.ensure_future(dispatcher.run(upload(150_000, loop.time())))
            waiting = asyncio.ensure_future(dispatcher.run(upload(150_000, loop.time())))
            await asyncio.sleep(0.3)
            fleet = Section()
            fleet.update(FleetView((target("a"), target("b")), 8), 2)
            dispatcher.view.apply(reply(fleet), loop.time())
            await waiting
            await first
            return loop.time(), sorted(pool.peak)

        ended_at, targets = run_in_simulated_time(scenario)
        self.assertEqual(["a:80", "b:80"], targets)
        assert ended_at < 3.31, ended_at

    def test_small_requests_are_sent_beside_uploads(self):
        """Guards against lookups that wait behind uploads."""
        _, results = self.send([150_000] * 2 + [1_000] * 4, names=("a", "b"), limit=160_000)
        self.assertEqual([200] * 6, [result.answer.status for result in results])


class UploadLoadTest(testtools.TestCase):
    def replay(self, seed, entries, targets, work, limit):
        """Send uploads for 10 s; return the most bytes at each target and the number that were refused."""

        async def scenario():
            rng = random.Random(seed)
            pool = HoldingPool(work)
            names = [f"t{number}" for number in range(targets)]
            dispatchers = [make_dispatcher(pool, names, limit, entries) for _ in range(entries)]
            running = []
            for _ in range(round(10 * UPLOADS_PER_S)):
                size = min(MAX_BYTES, MIN_BYTES + int(rng.expovariate(1 / (MEAN_BYTES - MIN_BYTES))))
                request = upload(size, asyncio.get_running_loop().time())
                running.append(asyncio.ensure_future(rng.choice(dispatchers).run(request)))
                await asyncio.sleep(rng.expovariate(UPLOADS_PER_S))
            results = await asyncio.gather(*running, return_exceptions=True)
            return pool.peak, sum(isinstance(result, RefusedError) for result in results)

        return run_in_simulated_time(scenario)

    def test_uploads_of_many_entries_are_spread_and_not_refused(self):
        """Guards against a limit that refuses uploads while targets have room."""
        for seed in range(3):
            peak, refused = self.replay(seed, ENTRIES, TARGETS, 0.33, ENTRIES * MAX_BYTES)
            self.assertEqual((TARGETS, 0), (len(peak), refused))

    def test_uploads_to_few_slow_targets_stay_within_what_these_hold(self):
        """Guards against entries that together send a target more than it holds."""
        for seed in range(3):
            limit = FEW_ENTRIES * MAX_BYTES
            peak, _ = self.replay(seed, FEW_ENTRIES, FEW_TARGETS, SLOW_WORK_S, limit)
            assert max(peak.values()) <= limit + FEW_ENTRIES * HEAD_BYTES, peak
