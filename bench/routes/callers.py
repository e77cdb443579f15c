"""Callers of a soak test, which keep connections open, retry refused requests and check every answer."""

import asyncio
import random

import attrs

from bench.routes.cluster import SoakCluster
from bench.routes.plans import HOST
from bench.routes.work import answer_body
from cranberrylever.target_http import AnswerLostError, NotSentError, TargetPool

DEADLINE_S = 2.0
KEY_COUNT = 65_536
REFUSAL_STATUS_CODES = (408, 421, 429, 503)


@attrs.define(eq=False)
class SoakCallers:
    """Sends requests to random entries at a fixed mean rate and checks the answers.

    Attributes:
        non_idempotent: Ids of requests that may run at most once.
        refused: Ids whose answer states that the request has not run.
        problems: Descriptions of answers that belong to another request.
    """

    cluster: SoakCluster
    random: random.Random
    sent: int = 0
    served: int = 0
    served_at: list[float] = attrs.field(factory=list)
    non_idempotent: set[str] = attrs.field(factory=set)
    refused: set[str] = attrs.field(factory=set)
    problems: list[str] = attrs.field(factory=list)
    pool: TargetPool = attrs.field(factory=TargetPool)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self.random.expovariate(self.cluster.options.callers))
            task = asyncio.get_running_loop().create_task(self._call())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _call(self) -> None:
        route = self.random.choice(("read", "read", "book", "order"))
        key = self.random.randrange(KEY_COUNT)
        for _ in range(2):
            status = await self._send(route, key)
            if status not in REFUSAL_STATUS_CODES and (route != "read" or status == 200):
                return
            await asyncio.sleep(0.1)

    async def send_to(self, address: str, route: str) -> int | None:
        """Send a request to one entry; returns the status, ``None`` without an answer."""
        return await self._send(route, self.random.randrange(KEY_COUNT), address)

    async def _send(self, route: str, key: int, address: str = "") -> int | None:
        self.sent += 1
        request_id = f"q{self.sent}"
        if route != "read":
            self.non_idempotent.add(request_id)
        address = address or self.random.choice(self.cluster.entries)[1]
        method = "GET" if route == "read" else "POST"
        lines = [f"{method} /{route}/x HTTP/1.1", f"host: {HOST}", f"cranberrylever-request-id: {request_id}"]
        lines += [f"cranberrylever-deadline-ms: {DEADLINE_S * 1000:.0f}", f"cranberrylever-key: {key}"]
        request = "\r\n".join([*lines, "content-length: 0"]).encode() + b"\r\n\r\n"
        try:
            async with asyncio.timeout(DEADLINE_S + 1.0):
                answer = await self.pool.exchange(address, method.encode(), request)
        except (NotSentError, AnswerLostError, TimeoutError):
            return None
        if answer.status == 200:
            if answer.body != answer_body(request_id):
                self.problems.append(f"{request_id} received the answer {answer.body!r:.60}")
            self.served += 1
            self.served_at.append(asyncio.get_running_loop().time())
        elif answer.status in REFUSAL_STATUS_CODES:
            self.refused.add(request_id)
        return answer.status

    async def close(self) -> None:
        """Cancel all pending requests and close the connections."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.pool.close()
