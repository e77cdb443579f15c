"""Streams of many entries behind slow links, while plans with many routes follow each other."""

import asyncio
import contextlib

import attrs
import testtools

from cranberrylever.logs import Log
from cranberrylever.metrics import NullMetrics
from cranberrylever.route_control._attached_entry import AttachedEntry
from cranberrylever.route_control._commands import SubmitPlan
from cranberrylever.route_control._feed import FeedService
from cranberrylever.route_control._measurements import TargetMeasurements
from cranberrylever.route_control._state import RouteControlState
from cranberrylever.route_entry._feed import FeedClient
from cranberrylever.route_entry._view import EntryView
from cranberrylever.route_plan import Route, RoutedService, RoutePlan, RouteShare
from cranberrylever.settings import LimitSettings
from cranberrylever.wire import FeedReport, ViewSections, compress_sections, encode
from tests.route_control.fake_leader import MEMBER, FakeDriver, FakeLeader
from tests.support import run_in_simulated_time

SERVICES = (
    RoutedService("ledger", True, "/h", 100, 3.0, 10.0, 2.0),
    RoutedService("desk", False, "/h", 100, 3.0, 10.0, 0.0),
)
ENTRY_COUNT = 8
STEP_S = 0.05
LINK_BYTES_PER_S = 100_000.0
"""What callers leave of an entry's link of 2 Mbit/s."""

EMPTY_REPLY_BYTES = 1_000
"""Reports and replies without sections of the view are smaller."""

SOCKET_BUFFER_BYTES = 64 * 1024
IN_FORCE_S = 2.0
"""Time after its acceptance from which a plan must be in force at every entry."""

MAX_WAITING_BYTES = 64 * 1024
"""Memory of a control member for what one entry has not taken yet."""

ALL_FORMS = {field.name: True for field in attrs.fields(FeedReport) if field.name.startswith("reads_")}
"""An entry of this version reads every form in which control may send a view."""


def plan(number, route_count, weight=90.0):
    """Return a plan with a shared route whose first service has ``weight``, and ``route_count`` others."""
    shares = (RouteShare("ledger", weight), RouteShare("desk", 10.0))
    routes = [Route("split", "h.example", "/", shares, True, 1.0, 0.5, 1, 2)]
    routes.extend(
        Route(
            f"r-{index * 7_919 % 1_000_003:06d}",
            f"{index * 104_729 % 999_983:06d}.example",
            f"/{index * 15_485_863 % 999_979:06d}/",
            (RouteShare("desk", 1.0),),
            index % 2 == 0,
            1.0,
            0.5,
            1,
            2,
        )
        for index in range(route_count)
    )
    return RoutePlan(number, tuple(routes), SERVICES, source=b"{}", digest=str(number))


class Direction:
    """One direction of a connection: bytes arrive at a rate, a full socket buffer blocks the sender."""

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0
        self.largest_message = 0
        self.section_bytes = 0
        self.messages = asyncio.Queue()

    async def send(self, message):
        loop = asyncio.get_running_loop()
        size = len(encode(message))
        self.largest_message = max(self.largest_message, size)
        if size > EMPTY_REPLY_BYTES:
            self.section_bytes += size
        self.free_at = max(self.free_at, loop.time()) + size / self.bytes_per_s
        self.messages.put_nowait((self.free_at, message))
        await asyncio.sleep(max(0.0, self.free_at - loop.time() - SOCKET_BUFFER_BYTES / self.bytes_per_s))

    async def receive(self):
        arrives_at, message = await self.messages.get()
        await asyncio.sleep(max(0.0, arrives_at - asyncio.get_running_loop().time()))
        return message


class End:
    """One end of a connection, as either program sees it."""

    def __init__(self, outgoing, incoming):
        self.outgoing = outgoing
        self.incoming = incoming

    async def send_message(self, message):
        await self.outgoing.send(message)

    async def recv_message(self):
        return await self.incoming.receive()

    async def __aiter__(self):
        while True:
            yield await self.incoming.receive()


class Site:
    """A leader and the streams of entries, each behind a slow link of its own."""

    def __init__(self):
        self.state = RouteControlState()
        self.service = FeedService(
            "test",
            FakeDriver(),
            FakeLeader(TargetMeasurements(0.0, 100.0)),
            self.state,
            NullMetrics(),
            Log("control", MEMBER, "error"),
        )
        self.opened = 0
        self.links = []
        self.views = [EntryView(LimitSettings()) for _ in range(ENTRY_COUNT)]
        self.in_force_at = [{} for _ in self.views]
        self.feeds = [self.create_feed(number) for number in range(ENTRY_COUNT)]

    def create_feed(self, number):
        view = self.views[number]

        def build_report(sequence, is_first):
            return FeedReport(
                "test",
                f"e{number}",
                sequence,
                view.plan_version,
                view.fleet_version,
                view.ranges_version,
                **ALL_FORMS,
            )

        def on_reply(reply, *_):
            now = asyncio.get_running_loop().time()
            view.apply(reply, now)
            if view.matcher is not None:
                self.in_force_at[number].setdefault(view.matcher.plan.number, now)

        feed = FeedClient((MEMBER,), build_report, on_reply, Log("entry", "e", "error"), self.open_stream)
        feed.set_entry_count(ENTRY_COUNT)
        return feed

    @contextlib.asynccontextmanager
    async def open_stream(self, address):
        self.opened += 1
        up, down = Direction(LINK_BYTES_PER_S), Direction(LINK_BYTES_PER_S)
        self.links.append(down)
        server = asyncio.get_running_loop().create_task(self.service.attach(End(down, up)))
        try:
            yield End(up, down)
        finally:
            server.cancel()
            await asyncio.gather(server, return_exceptions=True)

    def submit(self, new_plan):
        version = self.state.plan_version + 1
        outcome = self.state.apply(version, SubmitPlan(new_plan, self.state.plans.number))
        assert outcome.accepted, outcome
        self.service.push()

    async def run(self, seconds):
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            self.service.push()
            await asyncio.sleep(STEP_S)

    async def close(self):
        for feed in self.feeds:
            await feed.close()


class SlowLinksTest(testtools.TestCase):
    """A plan that gets many routes more, and a small change of it right after, at entries of 2 Mbit/s."""

    def play(self, first_plan, later_plans, seconds=8.0, report_interval=None):
        """Play plans that follow each other; return the site and when the later ones were submitted."""

        async def scenario():
            site = Site()
            try:
                submitted_at = await self.play_at(site, first_plan, later_plans, seconds, report_interval)
            finally:
                await site.close()
            return site, submitted_at

        return run_in_simulated_time(scenario)

    @staticmethod
    async def play_at(site, first_plan, later_plans, seconds, report_interval):
        site.submit(first_plan)
        for feed in site.feeds:
            feed.start()
        async with asyncio.timeout(60.0):
            while not all(first_plan.number in times for times in site.in_force_at):
                await site.run(STEP_S)
        if report_interval is not None:
            for feed in site.feeds:
                feed.report_interval = report_interval
        await site.run(2.0)
        submitted_at = asyncio.get_running_loop().time()
        for later in later_plans:
            site.submit(later)
            await site.run(0.15)
        await site.run(seconds)
        return submitted_at

    def test_small_changes_of_a_large_plan_are_in_force_in_time(self):
        """Guards against entries that serve by old plans after routes were added (CONFIG)."""
        site, submitted_at = self.play(
            plan(1, 7_000), [plan(2, 8_400), plan(3, 8_400, weight=80.0)], report_interval=0.1
        )
        for times in site.in_force_at:
            assert 3 in times, sorted(times)
            assert times[3] - submitted_at <= IN_FORCE_S, times[3] - submitted_at
        assert site.views[0].matcher.plan.routes[0].shares[0].weight == 80.0
        assert len(site.views[0].matcher.plan.routes) == 8_401
        assert site.opened == ENTRY_COUNT

    def test_plan_under_way_is_not_sent_again(self):
        """Guards against a copy of the plan for each report that was written before the first one came."""
        new_plan = plan(2, 3_000)
        once = len(compress_sections(ViewSections(2, new_plan, -1, None, -1, None)))
        site, _ = self.play(plan(1, 10), [new_plan], report_interval=0.05)
        for link in site.links:
            assert link.section_bytes < 1.5 * once, (link.section_bytes, once)

    def test_first_view_that_takes_long_arrives(self):
        """Guards against an entry that gives a stream up while a large view is arriving, again and again."""
        site, _ = self.play(plan(1, 30_000), [])
        assert site.opened == ENTRY_COUNT, site.opened

    def test_leader_keeps_little_for_entries_that_take_it_slowly(self):
        """Guards against a leader whose memory fills with what slow entries have not taken."""
        site, _ = self.play(plan(1, 10), [plan(2, 12_000)])
        largest = max(link.largest_message for link in site.links)
        assert largest <= MAX_WAITING_BYTES, largest


class ConfirmedReportTest(testtools.TestCase):
    """A leader whose lease ends while it sends an entry a plan."""

    def test_report_that_came_without_a_lease_is_not_confirmed(self):
        """Guards against an entry that takes an old plan for current because a replaced leader told it so."""

        async def scenario():
            sent = []

            class RecordingStream:
                async def send_message(self, reply):
                    await asyncio.sleep(0.1)
                    sent.append(reply)

            site = Site()
            site.submit(plan(1, 1))
            entry = AttachedEntry(RecordingStream())
            service = site.service
            await service._handle_report(entry, FeedReport("test", "e", 1, -1, -1, -1, **ALL_FORMS))
            service.leader.is_without_lease = True
            late = asyncio.create_task(
                service._handle_report(entry, FeedReport("test", "e", 2, -1, -1, -1, **ALL_FORMS))
            )
            await asyncio.sleep(1.0)
            late.cancel()
            assert {reply.sequence for reply in sent} == {1}, sent
            assert sent[-1].is_plan_pending is False

        run_in_simulated_time(scenario)
