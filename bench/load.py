"""Load generator: open loop at a fixed rate or closed loop with a fixed number of workers."""

import argparse
import asyncio
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import count
from urllib.parse import urlsplit

import aiohttp
import attrs
import msgspec
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_FIGURES = 3
OUTCOME_HEADER = "Cranberrylever-Outcome"

DONE = "done"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
MIXED_UP = "mixed-up"
FAILED = "failed"


@attrs.frozen
class LoadRequest:
    """One request to send; ``path`` identifies it in the answer of a stand-in target."""

    method: str
    path: str
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""


@attrs.frozen
class Sample:
    """Result of one attempt; times are loop seconds, ``started`` is the time at which it was due.

    ``outcome`` is ``done``, ``not-run``, ``unknown``, ``mixed-up`` (the answer belongs to another request
    or is incomplete) or ``failed`` (no answer).
    """

    number: int
    address: str
    path: str
    started: float
    ended: float
    outcome: str
    status: int
    detail: str = ""
    target_id: str = ""


@attrs.define
class LoadResult:
    """Latencies of answered requests in microseconds, outcome counts and all samples."""

    samples: list[Sample] = attrs.field(factory=list)
    outcomes: Counter[str] = attrs.field(factory=Counter)
    latencies: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
    )

    def add(self, sample: Sample) -> None:
        """Count one attempt."""
        self.samples.append(sample)
        self.outcomes[sample.outcome] += 1
        if sample.outcome == DONE:
            self.latencies.record_value(max(1, int((sample.ended - sample.started) * 1_000_000)))

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latency of served requests in milliseconds."""
        return self.latencies.get_value_at_percentile(percentile) / 1000

    def served_share(self) -> float:
        """Return the share of requests that were served."""
        total = sum(self.outcomes.values())
        return self.outcomes[DONE] / total if total else 0.0


@attrs.define
class LoadGenerator:
    """Sends requests to several entries in turn.

    ``make_request`` returns the request for a number that is unique for each request. ``timeout`` in seconds
    bounds one attempt. ``addresses`` may change while load runs.
    """

    addresses: list[str]
    make_request: Callable[[int], LoadRequest]
    timeout: float = 15.0
    numbers: Iterator[int] = attrs.field(factory=count)
    result: LoadResult = attrs.field(factory=LoadResult)
    stopped: bool = False

    async def run_open(self, rate: float, seconds: float) -> LoadResult:
        """Send ``rate`` requests per second without waiting for answers.

        Latency counts from the time at which a request was due, so a stall of the generator is included.
        """
        loop = asyncio.get_running_loop()
        begin = loop.time()
        tasks: set[asyncio.Task[None]] = set()
        async with self.session() as session:
            for index in range(int(rate * seconds)):
                if self.stopped:
                    break
                due = begin + index / rate
                if due > loop.time():
                    await asyncio.sleep(due - loop.time())
                task = asyncio.create_task(self.send_one(session, due))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.gather(*tasks)
        return self.result

    async def run_closed(self, workers: int, seconds: float) -> LoadResult:
        """Keep ``workers`` requests outstanding."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds

        async def work(session: aiohttp.ClientSession) -> None:
            while loop.time() < end and not self.stopped:
                sample = await self.send_one(session, loop.time())
                if sample.outcome == FAILED:
                    await asyncio.sleep(0.01)

        async with self.session() as session:
            await asyncio.gather(*(work(session) for _ in range(workers)))
        return self.result

    def session(self) -> aiohttp.ClientSession:
        """Return a client session that does not retry requests on its own."""
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=self.timeout),
        )
        session._retry_connection = False
        return session

    async def send_one(self, session: aiohttp.ClientSession, due: float) -> Sample:
        """Send the next request and count its outcome."""
        number = next(self.numbers)
        sample = await send(
            session, self.addresses[number % len(self.addresses)], number, self.make_request(number), due
        )
        self.result.add(sample)
        return sample


async def send(
    session: aiohttp.ClientSession, address: str, number: int, request: LoadRequest, due: float
) -> Sample:
    """Send one request and classify its answer."""
    now = asyncio.get_running_loop().time
    target_id = ""
    try:
        async with session.request(
            request.method,
            f"http://{address}{request.path}",
            headers=request.headers,
            data=request.body or None,
            allow_redirects=False,
        ) as answer:
            body = await answer.read()
            status = answer.status
            detail = "" if status == 200 else body[:200].decode("utf-8", "replace")
            outcome = answer.headers.get(OUTCOME_HEADER, DONE if status == 200 else UNKNOWN)
            if outcome == DONE and status == 200:
                path, target_id = read_identity(body)
                if path != request.path:
                    outcome = MIXED_UP
            elif outcome == DONE:
                outcome = UNKNOWN
    except TimeoutError:
        status, outcome, detail = 0, FAILED, "no answer in time"
    except aiohttp.ClientError as error:
        status, outcome, detail = 0, FAILED, f"{type(error).__name__}: {error}"
    return Sample(number, address, request.path, due, now(), outcome, status, detail, target_id)


def read_identity(body: bytes) -> tuple[str, str]:
    """Return path and target id from a stand-in target's answer, empty for an incomplete answer."""
    try:
        content = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return "", ""
    if urlsplit(content.get("path", "")).path == "":
        return "", ""
    return content["path"], content["target_id"]


def main() -> None:
    """Run load from the command line and print outcome counts and latencies."""
    parser = argparse.ArgumentParser(prog="python -m bench.load", description=__doc__)
    parser.add_argument("address", nargs="+", help="host:port of an entry")
    parser.add_argument(
        "--path", default="/project-ledger/build-{key}", help="path; {key} takes a key number"
    )
    parser.add_argument("--method", default="GET")
    parser.add_argument("--keys", type=int, default=1000)
    parser.add_argument("--rate", type=float, help="open loop: requests per second")
    parser.add_argument("--workers", type=int, default=16, help="closed loop: requests outstanding")
    parser.add_argument("--seconds", type=float, default=10)
    options = parser.parse_args()

    def make_request(number: int) -> LoadRequest:
        return LoadRequest(options.method, f"{options.path.format(key=number % options.keys)}?n={number}")

    generator = LoadGenerator(options.address, make_request)
    if options.rate:
        result = asyncio.run(generator.run_open(options.rate, options.seconds))
    else:
        result = asyncio.run(generator.run_closed(options.workers, options.seconds))
    print(" ".join(f"{name}={number}" for name, number in sorted(result.outcomes.items())))
    print(
        " ".join(
            f"p{percentile:g}={result.percentile_ms(percentile):.2f}ms" for percentile in (50, 90, 99, 99.9)
        )
    )


if __name__ == "__main__":
    main()
