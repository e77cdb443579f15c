"""Sends grant renewals to targets over HTTP while this member leads."""

import asyncio
import contextlib
from collections.abc import Callable

import aiohttp
import cattrs.preconf.orjson

from cranberrylever.ownership import Coordinator, GrantAck, GrantRenewal

POLL_S = 0.02
REQUEST_TIMEOUT_S = 1.0

_converter = cattrs.preconf.orjson.make_converter()


class GrantSender:
    """Runs one renewal loop per target of the cluster state.

    Args:
        cluster_id: Cluster named in each grant.
        coordinator: Decides what is granted and until when.
        is_serving: Tells whether this member leads and holds its lease.
    """

    def __init__(
        self, cluster_id: str, coordinator: Coordinator, is_serving: Callable[[], bool], token: str = ""
    ) -> None:
        self.cluster_id = cluster_id
        self.coordinator = coordinator
        self.is_serving = is_serving
        self.headers = {"Authorization": f"Bearer {token}"} if token else {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(timeout=timeout, headers=self.headers, connector=connector)

    async def close(self) -> None:
        """Stop all renewal loops."""
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        if self.session is not None:
            await self.session.close()

    def reconcile(self) -> None:
        """Start loops for new targets and stop those of forgotten ones."""
        wanted = set(self.coordinator.state.targets.records) if self.is_serving() else set()
        for target_id in wanted - self.tasks.keys():
            self.tasks[target_id] = asyncio.create_task(self._renew(target_id))
        for target_id in self.tasks.keys() - wanted:
            self.tasks.pop(target_id).cancel()

    async def _renew(self, target_id: str) -> None:
        loop = asyncio.get_running_loop()
        while True:
            renewal = self.coordinator.next_renewal(target_id, loop.time()) if self.is_serving() else None
            if renewal is None:
                await asyncio.sleep(POLL_S)
                continue
            await self._send(target_id, renewal)

    async def _send(self, target_id: str, renewal: GrantRenewal) -> None:
        loop = asyncio.get_running_loop()
        ack = None
        try:
            with contextlib.suppress(
                aiohttp.ClientError, TimeoutError, ValueError, cattrs.BaseValidationError
            ):
                ack = await self._post(renewal)
        finally:
            # A cancelled renewal counts as failed too; an outstanding one would hold back all later ones.
            if ack is None:
                self.coordinator.record_grant_failure(target_id, renewal, loop.time())
        if ack is None:
            await asyncio.sleep(POLL_S)
        else:
            self.coordinator.record_grant_ack(target_id, renewal, ack, loop.time())

    async def _post(self, renewal: GrantRenewal) -> GrantAck | None:
        shards = None if renewal.shards is None else [[item.shard, item.fence] for item in renewal.shards]
        body = {
            "cluster_id": self.cluster_id,
            "target_id": renewal.target_id,
            "incarnation": renewal.incarnation,
            "term": renewal.term,
            "sequence": renewal.sequence,
            "expires_at_ms": renewal.expires_at_ms,
            "version": renewal.version,
            "shards": shards,
            "tickets_version": renewal.tickets_version,
        }
        async with self.session.post(f"http://{renewal.address}/-/grant", json=body) as response:
            if response.status != 200:
                return None
            return _converter.loads(await response.read(), GrantAck)
