"""Test of the memory that a request takes while its target reads nothing, over loopback."""

import asyncio
import contextlib
import socket
import tracemalloc

import testtools

from cranberrylever.target_http._connection import TargetConnection
from tests.route_entry.test_target_bodies import upload

BODY_BYTES = 20_000_000
MAX_HELD_COPIES = 3
MAX_PEAK_COPIES = 4
OTHER_BYTES = 200_000


class RequestCopiesTest(testtools.TestCase):
    def test_request_to_a_target_that_reads_nothing_takes_as_many_copies_as_stated(self):
        """Guards against an entry that takes more memory for bodies than its settings say."""

        async def scenario():
            loop = asyncio.get_running_loop()
            with socket.create_server(("127.0.0.1", 0)) as listener:
                _, connection = await loop.create_connection(TargetConnection, *listener.getsockname())
                tracemalloc.start()
                request = upload(BODY_BYTES, loop.time())
                encoded = request.encode([])
                sending = asyncio.ensure_future(connection.exchange(b"POST", encoded))
                await asyncio.sleep(0)
                sizes = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                sending.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await sending
                return sizes

        held, peak = asyncio.run(scenario())
        assert held <= MAX_HELD_COPIES * BODY_BYTES + OTHER_BYTES, held
        assert peak <= MAX_PEAK_COPIES * BODY_BYTES + OTHER_BYTES, peak
