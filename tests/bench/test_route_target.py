"""Tests of the stand-in targets of the soak of routes."""

import asyncio
import json

import testtools

from bench.processes import free_address
from bench.relay import Relay
from bench.routes.target import Ledger, SoakTarget
from cranberrylever.target_http import TargetPool

LEASE_S = 0.5


class RouteTargetTest(testtools.TestCase):
    def test_lease_runs_from_arrival_at_a_target_that_stands_still(self):
        """Soak seed 111: a frozen target counted the lease from its thaw, against docs/routes.md."""

        async def scenario():
            relay = Relay(free_address(), free_address())
            target = SoakTarget("t", "ledger", "north", True, relay, Ledger(), [])
            await target.start()
            target.thawed.clear()
            pool = TargetPool()
            body = json.dumps({"first": 0, "last": 9, "fence": 1, "lease": LEASE_S}).encode()
            head = b"POST /-/keys/grant HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % len(body)
            call = asyncio.ensure_future(pool.exchange(relay.upstream, b"POST", head + body))
            await asyncio.sleep(LEASE_S + 0.1)
            target.thawed.set()
            await call
            now = asyncio.get_running_loop().time()
            assert target.holds.items
            assert not target.holds_key(5, now)
            pool.close()
            await target.crash()

        asyncio.run(scenario())

    def test_crash_ends_what_is_held(self):
        """Guards against a stand-in that keeps keys over a crash and so shows a second holder."""

        async def scenario():
            relay = Relay(free_address(), free_address())
            target = SoakTarget("t", "ledger", "north", True, relay, Ledger(), [])
            await target.start()
            target.holds.grant(0, 9, 1, asyncio.get_running_loop().time() + 10.0)
            await target.crash()
            assert not target.holds.items

        asyncio.run(scenario())
