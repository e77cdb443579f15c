"""Sends grant renewals to targets over HTTP while this member leads."""

import asyncio
import contextlib
from collections.abc import Callable

import aiohttp
import cattrs.preconf.orjson

from cranberrylever.ownership import Coordinator, GrantAck, GrantRenewal

REQUEST_TIMEOUT_S = 0.4

_converter = cattrs.preconf.orjson.make_converter()


class GrantSender:
    """Sends the renewals that the coordinator asks for.

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
        self.tasks: set[asyncio.Task[None]] = set()
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(timeout=timeout, headers=self.headers, connector=connector)

    async def close(self) -> None:
        """Cancel the renewals that wait for an answer."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.session is not None:
            await self.session.close()

    def send_due(self) -> None:
        """Send every renewal that is due; called at each step of the leader."""
        if not self.is_serving():
            return
        now = asyncio.get_running_loop().time()
        for target_id in list(self.coordinator.state.targets.records):
            renewal = self.coordinator.next_renewal(target_id, now)
            if renewal is not None:
                task = asyncio.create_task(self._send(target_id, renewal))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

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
            return _converter.loads(await response.read(), GrantAck)
