"""A leader whose lease ends for a moment, as after a stall of its loop, with real entries over loopback."""

import asyncio

import testtools

from tests.platform.fakes import configuration
from tests.platform.running_system import RunningSystem

PAUSE_S = 0.3


class LeasePauseTest(testtools.TestCase):
    def test_streams_and_calls_outlast_a_lease_that_ends_for_a_moment(self):
        """Guards against a busy leader that ends the streams of all entries and refuses operators."""

        async def main():
            async with RunningSystem(entry_count=3) as system:
                await system.prepare()
                losses = []
                for entry in system.route_entries:
                    entry.feed._record_loss = lambda address, reason: losses.append(reason)
                driver = system.route_control.driver
                has_lease = driver.has_lease
                driver.has_lease = lambda now: False
                loop = asyncio.get_running_loop()
                loop.call_later(PAUSE_S, setattr, driver, "has_lease", has_lease)
                status = await system.put(configuration(5, "ledger", "desk"), 3)
                await asyncio.sleep(PAUSE_S)
                return losses, status

        losses, status = asyncio.run(main())
        assert losses == []
        assert status == 200
