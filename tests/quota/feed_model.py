"""Entries and a leader that exchange reports about tokens over links with a delay, in simulated time."""

import asyncio
import itertools
import random

from cranberrylever.customers import QuotaExceededError
from cranberrylever.metrics import NullMetrics
from cranberrylever.quota import QuotaClient, QuotaLedger
from cranberrylever.route_plan import Customer

REPORT_INTERVAL_S = 0.34
BATCH_DELAY_S = 0.055
RECONNECT_DELAY_S = 0.1375
"""Mean time between two tries to find the leader, as in the client of the feed with 55 entries."""
LINK_DELAY_S = 0.005
REQUEST_TIMEOUT_S = 1.4
ROUNDING_ERROR = 1e-6


class Entry:
    """Process of an entry with a stream to the leader."""

    def __init__(self, cluster, entry_id):
        self.cluster = cluster
        self.entry_id = entry_id
        self.requested = asyncio.Event()
        self.client = QuotaClient(self.requested.set, NullMetrics(), random.Random(entry_id))
        self.is_connected = True
        self.sequence = 0
        self.leader = None
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self):
        """Send reports as the client of the feed does."""
        while True:
            try:
                async with asyncio.timeout(REPORT_INTERVAL_S):
                    await self.requested.wait()
                await asyncio.sleep(BATCH_DELAY_S)
            except TimeoutError:
                pass
            self.requested.clear()
            while self.cluster.leader is None or not self.is_connected:
                await asyncio.sleep(self.cluster.rng.uniform(0.5, 1.5) * RECONNECT_DELAY_S)
            self.send()

    def send(self):
        """Send a report, which the leader answers after a delay unless one of both is cut off."""
        loop, leader = asyncio.get_running_loop(), self.cluster.leader
        self.client.set_customers(self.cluster.customers)
        self.sequence += 1
        report = self.client.build_report(self.sequence, leader is not self.leader, loop.time())
        self.leader = leader
        loop.call_later(self.cluster.link_delay, self.deliver, leader, report, self.sequence)

    def deliver(self, leader, report, sequence):
        """Hand a report to the leader and its answer back."""
        loop = asyncio.get_running_loop()
        if leader is not self.cluster.leader or not self.is_connected:
            return
        leader.set_customers(self.cluster.customers, loop.time())
        grants = leader.answer(report, self.entry_id, sequence, loop.time())
        if grants:
            loop.call_later(self.cluster.link_delay, self.receive, leader, grants, sequence)

    def receive(self, leader, grants, sequence):
        """Take an answer that has not been lost with its stream."""
        if leader is self.cluster.leader and self.is_connected:
            self.client.record(grants, sequence, asyncio.get_running_loop().time())


class Cluster:
    """Entries of one leader, with the times at which requests ran and were refused."""

    def __init__(self, entries, *customers):
        self.customers = customers
        self.rng = random.Random(1)
        self.link_delay = LINK_DELAY_S
        self.entry_ids = [f"e{number}" for number in range(entries)]
        self.entries = [Entry(self, entry_id) for entry_id in self.entry_ids]
        self.start_leader()
        self.ran = []
        self.refused = []
        self.waits = []
        self.requests = []

    def restart(self, number):
        """Replace the process of an entry; the requests that wait there end with it."""
        self.entries[number].task.cancel()
        for waiter in itertools.chain(*self.entries[number].client.waiters.values()):
            waiter.cancel()
        self.entries[number] = Entry(self, self.entry_ids[number])

    def lose_leader(self):
        """End the process of the leader and with it all streams, which the entries notice."""
        self.leader = None
        for entry in self.entries:
            entry.requested.set()

    def start_leader(self):
        """Let another leader begin that knows nothing of the tokens of its predecessor."""
        self.leader = QuotaLedger(asyncio.get_running_loop().time(), self.entry_ids)

    def request(self, number, customer, give_back=False):
        """Send a request to an entry."""
        coroutine = self._request(number, customer, give_back)
        self.requests.append(asyncio.get_running_loop().create_task(coroutine))

    async def request_evenly(self, rate, seconds, choose):
        """Send requests of the first customer at even intervals to the entries that ``choose`` returns."""
        for count in itertools.count():
            if count / rate >= seconds:
                return
            self.request(choose(count), self.customers[0])
            await asyncio.sleep(1 / rate)

    async def finish(self):
        """Wait for the requests and stop the entries."""
        await asyncio.gather(*self.requests)
        for entry in self.entries:
            entry.task.cancel()

    async def _request(self, number, customer, give_back):
        client = self.entries[number].client
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        try:
            taken_at = await client.acquire(customer, arrived_at + REQUEST_TIMEOUT_S)
        except asyncio.CancelledError:
            return
        except QuotaExceededError as error:
            self.refused.append((loop.time(), error.retry_after))
            return
        if give_back:
            client.give_back(customer, taken_at)
            return
        self.waits.append(loop.time() - arrived_at)
        self.ran.append(loop.time())


def excess(times, rate, burst):
    """Return by how many requests some window exceeds rate x window + burst, at most 0 if none does."""
    highest, least_before = 0.0, float("inf")
    for count, time in enumerate(sorted(times)):
        least_before = min(least_before, count - rate * time)
        highest = max(highest, count + 1 - rate * time - least_before)
    return highest - burst - ROUNDING_ERROR


def customer(rate=40.0, burst=40.0):
    """Return a customer with a quota."""
    return Customer("bakery", ("digest",), rate=rate, burst=burst)
