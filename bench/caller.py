"""A caller that resends non-idempotent requests until they are answered."""

import asyncio

import aiohttp
import attrs

from bench.checker import Attempt
from bench.load import DONE, LoadGenerator, LoadRequest, Sample, send
from bench.scenario import KEYED_SERVICE, POOLED_SERVICE, Layout

MAX_ATTEMPTS = 6
ATTEMPT_TIMEOUT_SECONDS = 4.0
RESEND_DELAY_SECONDS = 0.3
LONG_WORK_MS = 400
# Coprime to the numbers of keys of the layouts, so that every key gets long requests.
LONG_WORK_INTERVAL = 13


@attrs.define
class Caller:
    """Sends orders at a fixed rate and resends each until it is answered or its attempts are used up.

    ``with_keys`` adds an idempotency key to each order. Resends go to the next entry.
    """

    addresses: list[str]
    layout: Layout
    with_keys: bool
    prefix: str = "o"
    attempts: list[Attempt] = attrs.field(factory=list)
    samples: list[Sample] = attrs.field(factory=list)
    served: int = 0
    stopped: bool = False

    async def run(self, rate: float, orders: int) -> None:
        """Send up to ``orders`` orders, ``rate`` new ones per second, and wait for their answers."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        tasks = []
        generator = LoadGenerator(
            self.addresses, lambda number: LoadRequest("POST", "/"), ATTEMPT_TIMEOUT_SECONDS
        )
        async with generator.session() as session:
            for number in range(orders):
                if self.stopped:
                    break
                due = begin + number / rate
                if due > loop.time():
                    await asyncio.sleep(due - loop.time())
                tasks.append(asyncio.create_task(self.send_order(session, number)))
            await asyncio.gather(*tasks)

    async def send_order(self, session: aiohttp.ClientSession, number: int) -> None:
        """Send one order, up to ``MAX_ATTEMPTS`` times, until it is answered."""
        key = f"{self.prefix}-{number}" if self.with_keys else ""
        for attempt in range(MAX_ATTEMPTS):
            request_id = f"{self.prefix}-{number}.{attempt}"
            address = self.addresses[(number + attempt) % len(self.addresses)]
            due = asyncio.get_running_loop().time()
            sample = await send(session, address, number, self.request(number, request_id, key), due)
            self.attempts.append(Attempt(request_id, key, sample.outcome))
            self.samples.append(sample)
            if sample.outcome == DONE:
                self.served += 1
                return
            await asyncio.sleep(RESEND_DELAY_SECONDS)

    def request(self, number: int, request_id: str, key: str) -> LoadRequest:
        """Return one attempt of an order; the body is the same in all attempts."""
        service = POOLED_SERVICE if self.layout.pooled and number % 3 == 0 else KEYED_SERVICE
        path = f"/{service}/{self.layout.key(number)}?order={self.prefix}-{number}{long_work_query(number)}"
        headers = {"Cranberrylever-Request-Id": request_id, "Cranberrylever-Deadline-Ms": "3000"}
        if key:
            headers["Idempotency-Key"] = key
        return LoadRequest("POST", path, headers, f"order {number}".encode())


def long_work_query(number: int) -> str:
    """Return the query part that makes one request in 13 run long enough to overlap a change of owner."""
    return f"&ms={LONG_WORK_MS}" if number % LONG_WORK_INTERVAL == 0 else ""
