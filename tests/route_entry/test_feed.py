"""Tests of the stream of an entry to control."""

import asyncio
import contextlib

import grpclib.server
import testtools

from cranberrylever.logs import Log
from cranberrylever.route_entry._app import RouteEntryApp
from cranberrylever.route_entry._feed import MIN_RECONNECT_DELAY_S, FeedClient
from cranberrylever.route_entry._view import EntryView
from cranberrylever.settings import LimitSettings
from cranberrylever.wire import FeedBase, FeedReply, FeedReport, MsgpackCodec
from tests.support import end_slowly, run_in_simulated_time

HOST = "127.0.0.1"

ENTRY_COUNT = 185
OUTAGE_S = 10.0
MAX_ATTEMPTS_PER_S = 3 * ENTRY_COUNT
RECOVERY_BOUND_S = 2.0
"""Time after which all streams are open again once a member leads."""


class SilentFeed(FeedBase):
    """Control member that never answers a report."""

    async def attach(self, stream):
        await asyncio.sleep(60)


class FeedClientTest(testtools.TestCase):
    def test_feed_that_is_closed_while_its_stream_is_lost_ends(self):
        """Guards against an entry that never stops because the lost stream hides its cancellation."""

        async def main():
            server = grpclib.server.Server([SilentFeed()], codec=MsgpackCodec())
            await server.start(HOST, 0)
            address = f"{HOST}:{server._server.sockets[0].getsockname()[1]}"
            feed = FeedClient(
                (address,),
                lambda sequence, is_first: FeedReport("c", "e", sequence, -1, -1, -1),
                lambda reply: None,
                Log("entry", "e", "error"),
            )
            is_ending = asyncio.Event()

            async def lose_stream(stream, address):
                await asyncio.sleep(0.01)
                raise ConnectionError("lost")

            feed._receive = lose_stream
            feed._send_reports = end_slowly(is_ending)
            feed.start()
            await is_ending.wait()
            async with asyncio.timeout(5.0):
                await feed.close()
            assert len(feed.tasks) == 0
            server.close()
            await server.wait_closed()

        asyncio.run(main())


class ReconnectTest(testtools.TestCase):
    """The load after a loss of the leader: all entries of a large site look for the next one at once."""

    def run_outage(self):
        """Return the times of all attempts, and those at which the entries attach after an outage."""

        async def scenario():
            loop = asyncio.get_running_loop()
            attempts, attached = [], []

            def client():
                feed = FeedClient(("a:1", "b:1"), None, None, Log("entry", "e", "error"))

                async def attach(address):
                    attempts.append(loop.time())
                    if loop.time() < OUTAGE_S:
                        raise ConnectionError("no member leads")
                    attached.append(loop.time())
                    await asyncio.sleep(3600)

                feed._attach = attach
                feed.start()
                return feed

            feeds = [client() for _ in range(ENTRY_COUNT)]
            await asyncio.sleep(OUTAGE_S + RECOVERY_BOUND_S)
            for feed in feeds:
                await feed.close()
            return attempts, attached

        return run_in_simulated_time(scenario)

    def test_entries_without_control_ask_less_and_less_often(self):
        """Guards against a storm of new streams that keeps the next leader from serving any."""
        attempts, attached = self.run_outage()
        for second in range(1, int(OUTAGE_S)):
            count = sum(second <= at < second + 1 for at in attempts)
            assert count <= MAX_ATTEMPTS_PER_S, (second, count)
        assert len(attached) == ENTRY_COUNT

    def test_entries_do_not_all_ask_at_the_same_moment(self):
        """Guards against entries that lost their streams together and come back together."""
        attempts, _ = self.run_outage()
        late = [at for at in attempts if OUTAGE_S / 2 < at < OUTAGE_S]
        busiest = max(sum(at <= other < at + 0.05 for other in late) for at in late)
        assert busiest < ENTRY_COUNT / 3, busiest


class OutdatedViewTest(testtools.TestCase):
    """Entries whose view is old, on a site where control is busy, cut off or without a leader."""

    def is_refused(self, view_age, leader_named_age):
        async def scenario():
            await asyncio.sleep(100.0)
            now = asyncio.get_running_loop().time()
            feed = FeedClient(("a:1",), None, None, Log("entry", "e", "error"))
            feed.leader_named_at = now - leader_named_age
            view = EntryView(LimitSettings())
            view.confirmed_at = now - view_age
            app = RouteEntryApp(view, None, None, None, None, None, feed.knows_leader)
            return app.reader.is_view_outdated(now)

        return run_in_simulated_time(scenario)

    def test_entry_that_a_busy_leader_tells_nothing_refuses(self):
        """Guards against requests by an old plan, or to targets that left (canopy-gate-large, trouble-1)."""
        assert self.is_refused(view_age=2.2, leader_named_age=0.5)
        assert not self.is_refused(view_age=1.5, leader_named_age=0.5)

    def test_entry_that_control_cannot_tell_serves_on(self):
        """Guards against refusals while control is cut off or has no leader, who could change nothing."""
        assert not self.is_refused(view_age=5.0, leader_named_age=2.0)

    def play_replies(self, replies, seconds, member_delay=0.0):
        """Play a stream on which replies arrive late; return whether a request is refused at its end.

        ``replies`` pairs the time of each reply with the number of the report that it answers; the member
        at ``b:1`` answers it as the leader that ``a:1`` named, which takes ``member_delay`` to do so again.
        """

        class LateStream:
            def __init__(self, address):
                self.address = address
                self.opened_at = asyncio.get_running_loop().time()

            async def send_message(self, report):
                pass

            async def recv_message(self):
                if self.address == "a:1":
                    await asyncio.sleep(member_delay if self.opened_at > 1.0 else 0.0)
                    return FeedReply("c", 1, False, "b:1")
                if not replies:
                    await asyncio.sleep(3600)
                at, sequence = replies.pop(0)
                await asyncio.sleep(self.opened_at + at - asyncio.get_running_loop().time())
                return FeedReply("c", sequence, True, "b:1")

        @contextlib.asynccontextmanager
        async def open_stream(address):
            yield LateStream(address)

        async def scenario():
            view = EntryView(LimitSettings())

            def on_reply(reply, *confirmed_at):
                view.apply(reply, asyncio.get_running_loop().time(), *confirmed_at)

            def build_report(sequence, is_first):
                return FeedReport("c", "e", sequence, -1, -1, -1)

            feed = FeedClient(("a:1",), build_report, on_reply, Log("entry", "e", "error"), open_stream)
            feed.set_entry_count(ENTRY_COUNT)
            app = RouteEntryApp(view, None, None, None, None, None, feed.knows_leader)
            feed.start()
            await asyncio.sleep(seconds)
            is_outdated = app.reader.is_view_outdated(asyncio.get_running_loop().time())
            await feed.close()
            return is_outdated

        return run_in_simulated_time(scenario)

    def test_reply_that_was_long_under_way_does_not_make_a_view_new(self):
        """Guards against requests by an old plan behind a full link, on which replies come late but often."""
        first_reports = [(0.1 * number, 2) for number in range(1, 40)]
        assert self.play_replies(first_reports, 3.5)

    def test_entry_that_waits_for_the_named_leader_refuses(self):
        """Guards against requests by an old plan while a leader is too busy to answer a new stream."""
        assert self.play_replies([], 2.5)

    def test_entry_that_looks_for_another_leader_refuses(self):
        """Guards against requests to targets that left, between a frozen leader and the one after it."""
        first_report = 2
        play = [(0.05, first_report)]
        assert self.play_replies(list(play), 2.2, member_delay=0.4)

    def test_entry_that_finds_no_member_serves_on(self):
        """Guards against an entry that control cannot reach and that refuses for as long as it is cut off."""
        assert not self.play_replies([(0.05, 2)], 2.8, member_delay=60.0)

    def test_delays_grow_with_the_number_of_entries(self):
        """Guards against a leader that 185 entries keep busy, and against eight that wait for no reason."""

        async def scenario():
            feed = FeedClient(("a:1",), None, None, Log("entry", "e", "error"))
            feed.set_entry_count(8)
            assert feed.batch_delay < 0.01
            assert feed.max_reconnect_delay == MIN_RECONNECT_DELAY_S
            feed.set_entry_count(ENTRY_COUNT)
            assert ENTRY_COUNT / feed.batch_delay <= 1_000.1
            assert feed.batch_delay < 0.2
            assert ENTRY_COUNT / feed.max_reconnect_delay <= 400.1

        run_in_simulated_time(scenario)
