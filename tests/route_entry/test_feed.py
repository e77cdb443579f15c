"""Tests of the stream of an entry to control."""

import asyncio

import grpclib.server
import testtools

from cranberrylever.logs import Log
from cranberrylever.route_entry._feed import FeedClient
from cranberrylever.wire import FeedBase, FeedReport, MsgpackCodec
from tests.support import end_slowly

HOST = "127.0.0.1"


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
            assert feed.task.done()
            server.close()
            await server.wait_closed()

        asyncio.run(main())
