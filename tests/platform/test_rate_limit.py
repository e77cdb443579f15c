"""Targets that state a rate limit, with real entries and control over loopback."""

import asyncio

import testtools

from tests.platform.running_system import RunningSystem

LIMIT = 2.0
"""Requests per second that the target accepts."""

CONTACT_S = 3.0
"""Seconds after the first answer with a limit from which the bound holds."""

WINDOW_S = 4.0
BOUND = 1.5 * LIMIT * WINDOW_S + 5
"""Requests that the target may get in any window of ``WINDOW_S`` seconds."""

REQUEST_INTERVAL_S = 0.03
LOAD_S = 9.0


class RateLimitTest(testtools.TestCase):
    def arrivals_at_limited_target(self, target_number, method, path):
        """Load four entries; return the times of the requests to a target since it named its limit.

        Also returns the number of requests of the other targets of its service that ran in that time.
        """

        async def main():
            async with RunningSystem(entry_count=4) as system:
                await system.prepare()
                target = system.targets[target_number]
                others = [item for item in system.targets if item.service == target.service]
                others.remove(target)
                before = sum(len(item.ran) for item in others)
                target.rate_limit = str(LIMIT)
                limited_at = asyncio.get_running_loop().time()
                await self.send_load(system, method, path)
                ran_elsewhere = sum(len(item.ran) for item in others) - before
                return [at - limited_at for at in target.arrivals if at >= limited_at], ran_elsewhere

        return asyncio.run(main())

    async def send_load(self, system, method, path):
        loop = asyncio.get_running_loop()
        end = loop.time() + LOAD_S
        pending = set()
        number = 0
        while loop.time() < end:
            number += 1
            key = (number * 7_919) % 65_536 if path.startswith("/ledger") else None
            entry = system.entries[number % len(system.entries)]
            pending.add(loop.create_task(system.request(method, path, key, entry=entry)))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*pending)

    def check(self, arrivals, ran_elsewhere):
        for start in [at for at in arrivals if at >= CONTACT_S]:
            in_window = sum(start <= at < start + WINDOW_S for at in arrivals)
            assert in_window <= BOUND, (start, in_window, BOUND)
        served = sum(CONTACT_S <= at < LOAD_S for at in arrivals)
        assert served >= 0.5 * LIMIT * (LOAD_S - CONTACT_S), served
        assert ran_elsewhere > 0

    def test_owner_of_keys_gets_no_more_than_the_limit_that_it_named(self):
        """Guards against entries that send a target what its keys ask for, whatever limit it names."""
        self.check(*self.arrivals_at_limited_target(0, "GET", "/ledger/x"))

    def test_pooled_target_gets_no_more_than_the_limit_that_it_named(self):
        """Guards against entries that choose a target by its load although it named a limit."""
        self.check(*self.arrivals_at_limited_target(2, "POST", "/desk/x"))
