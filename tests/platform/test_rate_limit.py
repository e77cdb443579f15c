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
MIN_SERVED_SHARE = 0.9


class RateLimitTest(testtools.TestCase):
    def check_limited_target(self, target_number, method, path):
        """Load four entries while a target names a limit; check what it gets and that callers are served."""

        async def main():
            async with RunningSystem(entry_count=4) as system:
                await system.prepare()
                target = system.targets[target_number]
                target.rate_limit = str(LIMIT)
                limited_at = asyncio.get_running_loop().time()
                statuses = await system.send_load(method, path, LOAD_S, REQUEST_INTERVAL_S)
                return [at - limited_at for at in target.arrivals if at >= limited_at], statuses

        arrivals, statuses = asyncio.run(main())
        for start in [at for at in arrivals if at >= CONTACT_S]:
            in_window = sum(start <= at < start + WINDOW_S for at in arrivals)
            assert in_window <= BOUND, (start, in_window, BOUND)
        late = statuses[int(CONTACT_S / REQUEST_INTERVAL_S) :]
        served_share = late.count(200) / len(late)
        assert served_share >= MIN_SERVED_SHARE, served_share
        return arrivals

    def test_owner_of_keys_gets_no_more_than_the_limit_that_it_named(self):
        """Guards against entries that send a target what its keys ask for, whatever limit it names."""
        arrivals = self.check_limited_target(0, "GET", "/ledger/x")
        assert sum(at >= CONTACT_S for at in arrivals) > 0, arrivals

    def test_pooled_target_gets_no_more_than_the_limit_that_it_named(self):
        """Guards against entries that choose a target by its load although it named a limit.

        That it gets requests at all is checked with fixed seeds in the tests of the choice.
        """
        self.check_limited_target(2, "POST", "/desk/x")
