"""Chooses targets for a request and runs its attempts."""

import asyncio
import random

import aiohttp

from cranberrylever.errors import NotRunError
from cranberrylever.logs import Log
from cranberrylever.routing import RoutingTable

from ._client import TargetClient
from ._exchange import Attempt, Exchange
from ._inflight import InFlight
from ._tuning import EntryTuning
from ._views import ViewStore


class Dispatcher:
    """Runs requests at targets under the view in force."""

    def __init__(
        self, views: ViewStore, in_flight: InFlight, client: TargetClient, tuning: EntryTuning, log: Log
    ) -> None:
        self.views = views
        self.in_flight = in_flight
        self.client = client
        self.tuning = tuning
        self.log = log
        self.random = random.Random()

    async def run(self, exchange: Exchange) -> tuple[Attempt, aiohttp.ClientResponse]:
        """Return the attempt that was answered, and the answer with its body unread.

        Raises:
            NotRunError: No target ran the request.
            UnknownOutcomeError: A target may have run it.
        """
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            table = self.views.current(now)
            attempt = self._choose(exchange, table)
            if attempt is None:
                await self.views.wait_for_change(exchange.deadline - now)
                if loop.time() >= exchange.deadline:
                    raise NotRunError("no target could take the request before its deadline", "retry later")
                continue
            self.in_flight.add(attempt)
            try:
                return attempt, await self.client.send(attempt, now)
            except BaseException:
                self.in_flight.remove(attempt)
                raise

    def finish(self, attempt: Attempt) -> None:
        """Note that the answer to an attempt is complete or its connection closed."""
        self.in_flight.remove(attempt)

    def _choose(self, exchange: Exchange, table: RoutingTable) -> Attempt | None:
        service = table.services.get(exchange.service.name)
        if service is None:
            raise NotRunError(f"unknown service {exchange.service.name!r}", "check the path")
        shard, fence = -1, 0
        if exchange.is_keyed:
            route = table.keyed_route(service, exchange.key_hash)
            target, shard, fence = route.target, route.shard, route.fence
        else:
            pool = table.pools[service.name]
            target = self.random.choice(pool) if pool else None
        if target is None:
            return None
        reason = "owner" if exchange.is_keyed else "pooled"
        self.log.decision(service.name, exchange.key_hash, target.target_id, reason, fence, table.version)
        return Attempt(
            exchange, target.target_id, target.address, target.incarnation, table.version, shard, fence
        )
