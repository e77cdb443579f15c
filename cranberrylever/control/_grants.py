"""Sends grant renewals to targets over HTTP while this member is the leader."""

import asyncio
import contextlib
from collections.abc import Callable

import aiohttp
import cattrs.preconf.orjson

from cranberrylever.background_tasks import BackgroundTasks
from cranberrylever.ownership import Coordinator, GrantAck, GrantRenewal

GRANT_TIMEOUT_S = 0.4
"""Time from the start of a grant call to its complete answer after which it has failed."""

_json_converter = cattrs.preconf.orjson.make_converter()


class GrantSender:
    """Sends the grant renewals that the coordinator decides on.

    Args:
        cluster_id: Cluster named in each grant.
        coordinator: Decides which shards are granted and until when.
        is_serving: Returns whether this member leads and holds its lease.
        token: Bearer token sent to targets; empty for none.
    """

    def __init__(
        self, cluster_id: str, coordinator: Coordinator, is_serving: Callable[[], bool], token: str = ""
    ) -> None:
        self.cluster_id = cluster_id
        self.coordinator = coordinator
        self.is_serving = is_serving
        self.headers = {"Authorization": f"Bearer {token}"} if token else {}
        self.tasks = BackgroundTasks()
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session."""
        timeout = aiohttp.ClientTimeout(total=GRANT_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(timeout=timeout, headers=self.headers, connector=connector)

    async def close(self) -> None:
        """Cancel the renewals in flight and close the HTTP session."""
        await self.tasks.close()
        if self.session is not None:
            await self.session.close()

    def send_due(self) -> None:
        """Send every renewal that is due; called after each step of the leader."""
        if not self.is_serving():
            return
        now = asyncio.get_running_loop().time()
        for target_id in list(self.coordinator.state.targets.records):
            renewal = self.coordinator.next_renewal(target_id, now)
            if renewal is not None:
                self.tasks.start(self._send(target_id, renewal))

    async def _send(self, target_id: str, renewal: GrantRenewal) -> None:
        loop = asyncio.get_running_loop()
        ack = None
        try:
            with contextlib.suppress(
                aiohttp.ClientError, TimeoutError, ValueError, cattrs.BaseValidationError
            ):
                ack = await self._post(renewal)
        finally:
            # A cancelled renewal also counts as failed: while one is outstanding, no later one is sent.
            if ack is None:
                self.coordinator.record_grant_failure(target_id, renewal, loop.time())
        if ack is not None:
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
            return _json_converter.loads(await response.read(), GrantAck)
