"""Tests of the tokens of one entry."""

import asyncio

import attrs
import testtools

from cranberrylever.metrics import NullMetrics
from cranberrylever.quota import QuotaClient
from cranberrylever.wire import QuotaGrant
from tests.quota.feed_model import Cluster, customer
from tests.support import run_in_simulated_time


class QuotaClientTest(testtools.TestCase):
    def test_burst_elsewhere_does_not_refuse_for_longer_than_it_lasts(self):
        """Guards against entries that refuse for seconds by a queue of which nothing is left."""

        async def play():
            cluster = Cluster(55, customer(15.0, 15.0))
            await asyncio.sleep(4)
            for number in range(165):
                cluster.request(number % 55, cluster.customers[0])
            await asyncio.sleep(3.0)
            refused = len(cluster.refused)
            await cluster.request_evenly(7.5, 4.0, lambda count: (count * 7) % 55)
            await cluster.finish()
            return len(cluster.refused) - refused

        self.assertEqual(0, run_in_simulated_time(play))

    def test_slow_link_refuses_nothing_below_the_quota(self):
        """Guards against tokens that are thrown away because their answer took longer than 0.3 s."""

        async def play():
            cluster = Cluster(1, customer(20.0, 20.0))
            cluster.link_delay = 0.2
            await asyncio.sleep(4)
            await cluster.request_evenly(10, 5.0, lambda count: 0)
            await cluster.finish()
            return len(cluster.refused)

        self.assertEqual(0, run_in_simulated_time(play))

    def wait_for_tokens(self, change):
        """Let two requests wait, one token come and ``change`` act; return whether the second has ended."""

        async def play():
            loop = asyncio.get_running_loop()
            limited = customer()
            client = QuotaClient(lambda: None, NullMetrics())
            client.set_customers((limited,))
            first, second = (loop.create_task(client.acquire(limited, loop.time() + 10)) for _ in range(2))
            await asyncio.sleep(0)
            client.build_report(1, False, loop.time())
            client.record((QuotaGrant(limited.name, 1, 0, 0.5),), 1, loop.time())
            change(client, limited, first)
            await asyncio.sleep(0.05)
            return second.done() and second.exception() is None

        return run_in_simulated_time(play)

    def test_token_of_a_caller_that_leaves_goes_to_the_next_request(self):
        """Guards against a token that lies unused beside a request that waits for one."""
        assert self.wait_for_tokens(lambda client, limited, first: first.cancel())

    def test_request_waits_no_longer_once_its_customer_has_no_quota(self):
        """Guards against 429 for a customer whose quota was taken away."""

        def drop_quota(client, limited, first):
            client.set_customers((attrs.evolve(limited, rate=None, burst=0.0),))

        assert self.wait_for_tokens(drop_quota)
