"""Callers of a soak: they keep connections open, come back when refused and note every answer."""

import asyncio
import random

import attrs

from bench.routes.cluster import HOST, SoakCluster
from cranberrylever.target_http import AnswerLostError, NotSentError, TargetPool

RATE_PER_S = 60.0
DEADLINE_S = 2.0
KEYS = 65_536
REFUSALS = (408, 421, 429, 503)


@attrs.define(eq=False)
class SoakCallers:
    """Sends requests at a fixed rate to all entries in turn and checks what comes back.

    Attributes:
        once: Ids of requests that may run at most once.
        refused: Ids that were answered with a promise that they have not run.
        problems: Answers that belong to another request.
    """

    cluster: SoakCluster
    random: random.Random
    asked: int = 0
    done: int = 0
    done_at: list[float] = attrs.field(factory=list)
    once: set[str] = attrs.field(factory=set)
    refused: set[str] = attrs.field(factory=set)
    problems: list[str] = attrs.field(factory=list)
    pool: TargetPool = attrs.field(factory=TargetPool)
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self.random.expovariate(RATE_PER_S))
            task = asyncio.get_running_loop().create_task(self._ask())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _ask(self) -> None:
        kind = self.random.choice(("read", "read", "book", "order"))
        key = self.random.randrange(KEYS)
        for _ in range(2):
            status = await self._send(kind, key)
            if status not in REFUSALS and (kind != "read" or status == 200):
                return
            await asyncio.sleep(0.1)

    async def _send(self, kind: str, key: int) -> int | None:
        self.asked += 1
        request_id = f"q{self.asked}"
        if kind != "read":
            self.once.add(request_id)
        _, address = self.random.choice(self.cluster.entries)
        method = "GET" if kind == "read" else "POST"
        lines = [f"{method} /{kind}/x HTTP/1.1", f"host: {HOST}", f"cranberrylever-request-id: {request_id}"]
        lines += [f"cranberrylever-deadline-ms: {DEADLINE_S * 1000:.0f}", f"cranberrylever-key: {key}"]
        request = "\r\n".join([*lines, "content-length: 0"]).encode() + b"\r\n\r\n"
        try:
            async with asyncio.timeout(DEADLINE_S + 1.0):
                answer = await self.pool.exchange(address, method.encode(), request)
        except (NotSentError, AnswerLostError, TimeoutError):
            return None
        if answer.status == 200:
            if answer.body != f"ran {request_id}".encode():
                self.problems.append(f"{request_id} got the answer {answer.body!r:.60}")
            self.done += 1
            self.done_at.append(asyncio.get_running_loop().time())
        elif answer.status in REFUSALS:
            self.refused.add(request_id)
        return answer.status

    async def close(self) -> None:
        """Stop all requests."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.pool.close()
