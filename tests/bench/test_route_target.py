"""Tests of the fake targets of the soak test of the route programs."""

import asyncio
import json

import testtools

from bench.processes import free_address
from bench.relay import Relay
from bench.routes.target import SoakTarget, TargetObservations
from cranberrylever.target_http import TargetPool

LEASE_S = 0.5


class RouteTargetTest(testtools.TestCase):
    def test_lease_counts_from_arrival_at_a_frozen_target(self):
        """Guards against a frozen target that counts a lease from its resumption instead of from the arrival.

        Found by seed 111 of the soak test; docs/routes.md requires the arrival.
        """

        async def scenario():
            relay = Relay(free_address(), free_address())
            target = SoakTarget("t", "ledger", "north", True, relay, TargetObservations(), [])
            await target.start()
            target.resumed.clear()
            pool = TargetPool()
            body = json.dumps({"first": 0, "last": 9, "fence": 1, "lease": LEASE_S}).encode()
            head = b"POST /-/keys/grant HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % len(body)
            call = asyncio.ensure_future(pool.exchange(relay.upstream, b"POST", head + body))
            await asyncio.sleep(LEASE_S + 0.1)
            target.resumed.set()
            await call
            now = asyncio.get_running_loop().time()
            assert target.holds.items
            assert not target.holds_key(5, now)
            pool.close()
            await target.crash()

        asyncio.run(scenario())

    def test_crash_drops_all_key_ranges(self):
        """Guards against a fake target that keeps keys after a crash, which reports a false second holder."""

        async def scenario():
            relay = Relay(free_address(), free_address())
            target = SoakTarget("t", "ledger", "north", True, relay, TargetObservations(), [])
            await target.start()
            target.holds.grant(0, 9, 1, asyncio.get_running_loop().time() + 10.0)
            await target.crash()
            assert not target.holds.items

        asyncio.run(scenario())
