"""Tests of requests whose bodies come slowly, with a fake caller and a fake dispatcher in simulated time."""

import asyncio
import types

import testtools

from cranberrylever.body_memory import BodyMemory
from cranberrylever.logs import Log
from cranberrylever.metrics import NullMetrics
from cranberrylever.route_entry._app import RouteEntryApp
from cranberrylever.route_entry._body import WATCHED_BYTES, BodyReader
from cranberrylever.route_entry._default_format import DefaultHeaderFormat
from cranberrylever.route_entry._estimates import ServiceTimeEstimator
from cranberrylever.route_entry._request import AttemptResult
from cranberrylever.route_entry._view import EntryView
from cranberrylever.route_plan import RouteMatcher
from cranberrylever.settings import LimitSettings
from cranberrylever.target_http import TargetAnswer
from tests.route_plan.test_routes import make_plan, make_route
from tests.support import run_in_simulated_time

BODY_BYTES = 360_000
LINK_BYTES_PER_S = 250_000.0
PART_BYTES = 10_000
TIMEOUT_S = 9.0


class FakeDispatcher:
    """Fake dispatcher that notes the time and the length of each body, and answers after ``work`` seconds."""

    def __init__(self, work=0.3):
        self.work = work
        self.service_times = ServiceTimeEstimator()
        self.requests = []

    async def run(self, request):
        self.requests.append((asyncio.get_running_loop().time(), len(request.body), request.deadline))
        await asyncio.sleep(self.work)
        return AttemptResult(TargetAnswer(200, []), "t")


class Caller:
    """A caller that sends a body at a constant rate and may leave midway.

    ``leaves_at`` is the number of bytes after which it leaves. ``ended_at`` is the loop time of its answer.
    """

    def __init__(self, app, size=BODY_BYTES, rate=LINK_BYTES_PER_S, leaves_at=None, is_chunked=False):
        self.app = app
        self.size = size
        self.rate = rate
        self.leaves_at = leaves_at
        self.sent = 0
        self.status = None
        self.headers = {}
        self.ended_at = None
        length = (b"transfer-encoding", b"chunked") if is_chunked else (b"content-length", b"%d" % size)
        headers = [(b"host", b"h.example"), (b"cranberrylever-request-id", b"q"), length]
        path = {"raw_path": b"/a/x", "query_string": b""}
        self.scope = {"type": "http", "method": "POST", "headers": headers, **path}

    async def receive(self):
        if self.leaves_at is not None and self.sent >= self.leaves_at:
            return {"type": "http.disconnect"}
        if self.sent >= self.size:
            await asyncio.Event().wait()
        part = min(PART_BYTES, self.size - self.sent)
        await asyncio.sleep(part / self.rate)
        self.sent += part
        return {"type": "http.request", "body": b"x" * part, "more_body": self.sent < self.size}

    async def send(self, message):
        if "status" in message:
            self.status = message["status"]
            self.headers = dict(message["headers"])
            self.ended_at = asyncio.get_running_loop().time()

    async def run(self):
        await self.app(self.scope, self.receive, self.send)
        return self


def make_app(memory_bytes=10 * BODY_BYTES, work=0.3):
    view = EntryView(LimitSettings())
    view.matcher = RouteMatcher(make_plan(1, make_route(timeout=TIMEOUT_S)))
    view.fleet_version = 0
    links = types.SimpleNamespace(is_lost=False)
    bodies = BodyReader(BodyMemory(memory_bytes), NullMetrics())
    parts = (
        view,
        FakeDispatcher(work),
        DefaultHeaderFormat(),
        links,
        NullMetrics(),
        Log("entry", "e", "error"),
    )
    return RouteEntryApp(*parts, bodies=bodies)


def play(scenario):
    """Run a coroutine function that gets a call to later run something at a time."""

    async def main():
        return await scenario(asyncio.get_running_loop())

    return run_in_simulated_time(main)


class SlowBodyTest(testtools.TestCase):
    def test_request_is_dispatched_only_with_its_whole_body(self):
        """Guards against a target's slot that is held while a body comes over a slow link."""

        async def scenario(loop):
            app = make_app()
            caller = await Caller(app).run()
            return caller.status, app.dispatcher.requests[0][:2]

        status, (dispatched_at, size) = play(scenario)
        assert (status, size) == (200, BODY_BYTES)
        assert dispatched_at >= BODY_BYTES / LINK_BYTES_PER_S

    def test_body_that_comes_too_slowly_gets_408_at_its_deadline(self):
        """Guards against a request that is held after its caller has given up."""

        async def scenario(loop):
            app = make_app()
            caller = await Caller(app, rate=10_000.0).run()
            return caller, app

        caller, app = play(scenario)
        assert (caller.status, caller.ended_at) == (408, TIMEOUT_S)
        assert app.dispatcher.requests == []
        assert app.bodies.memory.held == 0

    def test_route_that_is_gone_after_a_slow_body_is_not_served(self):
        """Guards against a request that runs by a plan which was replaced while its body came."""

        async def scenario(loop):
            app = make_app()
            plan = make_plan(2, make_route("other", "/b/"))
            loop.call_later(0.5, setattr, app.view, "matcher", RouteMatcher(plan))
            caller = await Caller(app).run()
            return caller.status, app.dispatcher.requests

        self.assertEqual((404, []), play(scenario))

    def test_shorter_timeout_of_a_new_plan_holds_after_a_slow_body(self):
        """Guards against a request that is worked on beyond the timeout of its route."""

        async def scenario(loop):
            app = make_app()
            plan = make_plan(2, make_route(timeout=2.0))
            loop.call_later(0.5, setattr, app.view, "matcher", RouteMatcher(plan))
            await Caller(app).run()
            return app.dispatcher.requests[0][2]

        self.assertEqual(2.0, play(scenario))

    def test_view_that_went_old_during_a_body_is_not_used(self):
        """Guards against a request that is sent by an old view because its body came slowly."""

        async def scenario(loop):
            app = make_app()
            app.reader.knows_leader = lambda now: now > 1.0
            caller = await Caller(app, rate=LINK_BYTES_PER_S / 2).run()
            return caller.status, app.dispatcher.requests

        self.assertEqual((503, []), play(scenario))

    def test_caller_that_leaves_midway_holds_nothing(self):
        """Guards against memory and readers that stay behind callers who left."""

        async def scenario(loop):
            app = make_app()
            caller = await Caller(app, leaves_at=BODY_BYTES // 2).run()
            return caller.status, app.bodies.memory.held, len(app.bodies.reads), app.dispatcher.requests

        self.assertEqual((None, 0, 0, []), play(scenario))

    def test_memory_of_a_body_ends_before_its_answer_is_read(self):
        """Guards against bodies that are held while callers read their answers slowly."""

        async def scenario(loop):
            app = make_app()
            caller = Caller(app)
            held = []

            async def send(message):
                held.append(app.bodies.memory.held)

            caller.send = send
            await caller.run()
            return held

        self.assertEqual([0, 0], play(scenario))


class StopTest(testtools.TestCase):
    def play_stop(self, rate, stops_in):
        """Stop an entry 0.5 s after a body has begun to come; return its caller."""

        async def scenario(loop):
            app = make_app()
            caller = Caller(app, rate=rate)
            loop.call_later(0.5, app.start_draining, 0.6, 0.5 + stops_in)
            return await caller.run()

        return play(scenario)

    def test_stop_waits_for_a_body_that_still_comes(self):
        """Guards against an entry that refuses a body though it has the time for it."""
        caller = self.play_stop(LINK_BYTES_PER_S, 5.0)
        self.assertEqual((200, b"close"), (caller.status, caller.headers[b"connection"]))

    def test_body_for_which_a_stop_has_no_time_is_refused_at_once(self):
        """Guards against a caller that sends on in vain and has no time left to come again."""
        caller = self.play_stop(LINK_BYTES_PER_S / 10, 5.0)
        self.assertEqual((503, b"close"), (caller.status, caller.headers[b"connection"]))
        assert caller.ended_at < 1.0, caller.ended_at

    def play_stop_of_waiting(self, stops_in):
        """Stop an entry while a body waits behind another one; return its caller."""

        async def scenario(loop):
            app = make_app(1_000_000, work=1.0)
            holder = asyncio.ensure_future(Caller(app, 1_000_000, 1e6).run())
            await asyncio.sleep(0.1)
            caller = Caller(app, 120_000, 1e6)
            loop.call_later(0.4, app.start_draining, 0.6, 0.5 + stops_in)
            await caller.run()
            await holder
            return caller

        return play(scenario)

    def test_waiting_body_for_which_a_stop_has_no_time_is_refused_at_once(self):
        """Guards against a caller that learns only at the stop that its body is not taken."""
        caller = self.play_stop_of_waiting(1.05)
        self.assertEqual((503, b"0.000"), (caller.status, caller.headers[b"retry-after"]))
        assert caller.ended_at <= 0.51, caller.ended_at

    def test_waiting_body_for_which_a_stop_has_the_time_is_served(self):
        """Guards against a stop that refuses bodies that it could still serve."""
        self.assertEqual(200, self.play_stop_of_waiting(6.0).status)


class BodyMemoryUseTest(testtools.TestCase):
    """Callers of one entry whose memory for bodies is full."""

    def play_callers(self, count, memory_bytes, **options):
        async def scenario(loop):
            app = make_app(memory_bytes)
            callers = [Caller(app, **options) for _ in range(count)]
            await asyncio.gather(*(caller.run() for caller in callers))
            return callers, app

        return play(scenario)

    def test_bodies_wait_their_turn_unread(self):
        """Guards against an entry whose memory fills with bodies that come at the same time."""
        callers, app = self.play_callers(22, 20 * BODY_BYTES)
        self.assertEqual([200] * 22, [caller.status for caller in callers])
        assert app.bodies.memory.peak <= 20 * BODY_BYTES
        assert app.bodies.memory.held == 0
        ends = [caller.ended_at for caller in callers]
        assert ends == sorted(ends)

    def test_body_that_cannot_be_taken_in_time_is_refused_before_it_comes(self):
        """Guards against callers that send large bodies in vain."""
        callers, app = self.play_callers(60, 4 * BODY_BYTES)
        refused = [caller for caller in callers if caller.status == 503]
        assert refused
        self.assertEqual({0}, {caller.sent for caller in refused})
        assert all(float(caller.headers[b"retry-after"]) > 0 for caller in refused)
        self.assertEqual({200, 503}, {caller.status for caller in callers})

    def test_bodies_in_chunks_all_end(self):
        """Guards against bodies without a length that wait for each other's memory for good."""
        callers, app = self.play_callers(4, 2 * BODY_BYTES, is_chunked=True)
        self.assertEqual([200] * 4, [caller.status for caller in callers])
        assert app.bodies.memory.held == 0

    def test_body_that_the_instance_cannot_hold_is_refused(self):
        """Guards against one caller whose body takes all memory of a small instance."""
        for is_chunked in (False, True):
            callers, app = self.play_callers(1, BODY_BYTES, size=4 * BODY_BYTES, is_chunked=is_chunked)
            self.assertEqual([503], [caller.status for caller in callers])
            self.assertEqual([], app.dispatcher.requests)
            assert app.bodies.memory.peak <= 2 * BODY_BYTES, app.bodies.memory.peak
            assert app.bodies.memory.held == 0

    def test_body_that_only_an_idle_instance_can_hold_is_taken(self):
        """Guards against a body within the limits of the plan that is never taken."""
        for is_chunked in (False, True):
            callers, _ = self.play_callers(1, BODY_BYTES, size=19 * BODY_BYTES // 10, is_chunked=is_chunked)
            self.assertEqual([200], [caller.status for caller in callers])

    def play_wait(self, size, leaves_at=None, rate=LINK_BYTES_PER_S):
        """Let a body wait behind four that fill the memory; return its caller and a later one."""

        async def scenario(loop):
            app = make_app(4_000_000, work=1.0)
            holders = [asyncio.ensure_future(Caller(app, 1_000_000, 1e6).run()) for _ in range(4)]
            await asyncio.sleep(0.1)
            waiting = Caller(app, size, rate, leaves_at)
            running = asyncio.ensure_future(waiting.run())
            await asyncio.sleep(0.4)
            is_running = not running.done()
            sent = waiting.sent
            later = await Caller(app, 200_000).run()
            await asyncio.gather(running, *holders)
            return waiting, later, is_running, sent, app

        return play(scenario)

    def test_caller_that_left_while_its_body_waits_refuses_nobody(self):
        """Guards against callers who are refused because others have left."""
        for leaves_at in (0, 2 * PART_BYTES):
            waiting, later, is_running, _, app = self.play_wait(1_000_000, leaves_at)
            self.assertEqual((False, None, 200), (is_running, waiting.status, later.status))
            assert app.bodies.memory.held == 0

    def test_body_that_waits_is_read_no_further_than_to_watch_its_caller(self):
        """Guards against a waiting body that is read without memory, and against parts that are lost."""
        for size, limit in ((30_000, 30_000), (300_000, WATCHED_BYTES + PART_BYTES)):
            waiting, _, is_running, sent, app = self.play_wait(size, rate=1e6)
            self.assertEqual((True, 200), (is_running, waiting.status))
            assert 0 < sent <= limit, sent
            assert size in [length for _, length, _ in app.dispatcher.requests]

    def test_body_that_gets_no_memory_in_time_is_refused_before_its_deadline(self):
        """Guards against a caller that has no time left to send its body elsewhere."""

        async def scenario(loop):
            app = make_app(1_000_000, work=20.0)
            holder = asyncio.ensure_future(Caller(app, 1_000_000).run())
            await asyncio.sleep(0.2)
            holding_time = app.bodies.memory.holding_time
            caller = await Caller(app, 100_000).run()
            holder.cancel()
            return caller, holding_time

        caller, holding_time = play(scenario)
        self.assertEqual(503, caller.status)
        assert caller.ended_at - 0.2 <= TIMEOUT_S - holding_time + 0.001, caller.ended_at
        assert float(caller.headers[b"retry-after"]) > 0

    def test_small_bodies_do_not_count(self):
        """Guards against small requests that wait behind uploads."""
        callers, app = self.play_callers(50, BODY_BYTES, size=10_000)
        self.assertEqual({200}, {caller.status for caller in callers})
        assert app.bodies.memory.peak == 0
