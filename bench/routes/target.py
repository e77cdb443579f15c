"""Fake targets that hold key ranges and check that no key has two holders."""

import asyncio
import collections
import contextlib
import json
import random
import time

import attrs

from bench.relay import Relay
from bench.routes.held_ranges import HeldRange, HeldRanges
from bench.routes.lost import Run
from bench.routes.work import answer_body, parse_work

SLOTS = 4
SILENT_SHARE = 3
"""A silent target leaves each request whose number this divides without an answer."""

WORK_POLL_INTERVAL_S = 0.02
ANNOUNCE_INTERVAL_S = 0.4
# Range from which the duration of a request is drawn.
SERVICE_TIME_S = (0.01, 0.06)

LIMIT_GRACE_S = 3.0
"""Time after a target first stated a rate limit from which its arrivals are checked."""

LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
"""In any window, a target may get that multiple of its rate limit and so many requests more."""


@attrs.define
class TargetObservations:
    """Observations of all targets, which the checks of the soak test read.

    Attributes:
        runs: Names of the targets that started each request, by request id.
        starts: Loop time, failure domain and request id of each start.
        history: All runs of requests whose work their caller chose, in order.
        problems: Violations of exclusive ownership.
    """

    runs: dict[str, list[str]] = attrs.field(factory=dict)
    starts: list[tuple[float, str, str]] = attrs.field(factory=list)
    history: list[Run] = attrs.field(factory=list)
    problems: list[str] = attrs.field(factory=list)

    def count_starts(self, since: float) -> collections.Counter[str]:
        """Return the number of requests that each target has started since a loop time."""
        request_ids = [request_id for started_at, _, request_id in self.starts if started_at >= since]
        return collections.Counter(name for request_id in request_ids for name in self.runs[request_id])


class SoakTarget:
    """One target behind a relay; it can crash, freeze, drain and restart under the same id.

    Args:
        name: Target id.
        service: Name of its service.
        domain: Its failure domain.
        keyed: Whether it refuses requests for keys that it does not hold.
        relay: Relay to it, whose address it announces.
        observations: Record shared by all targets.
        peers: All targets, in which it looks for a second holder of a key.
    """

    def __init__(
        self,
        name: str,
        service: str,
        domain: str,
        keyed: bool,
        relay: Relay,
        observations: TargetObservations,
        peers: "list[SoakTarget]",
    ) -> None:
        self.name = name
        self.service = service
        self.domain = domain
        self.keyed = keyed
        self.relay = relay
        self.observations = observations
        self.peers = peers
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.slots = SLOTS
        self.is_silent = False
        self.draining = False
        self.sequence = 0
        self.holds = HeldRanges()
        self.running: dict[str, int] = {}
        self.finishing: list[HeldRange] = []
        self.released: list[dict] = []
        self.started_ms = 0
        self.rejected_share = 0.0
        self.repeated_share = 0.0
        self.rate_limit = 0.0
        self.limited_at = 0.0
        self.limited_arrivals: list[float] = []

    async def start(self) -> None:
        """Start a new incarnation at the same address."""
        host, _, port = self.relay.upstream.rpartition(":")
        self._drop_keys()
        self.draining = False
        self.sequence = 0
        self.started_ms = max(self.started_ms + 1, int(time.time() * 1000))
        self.server = await asyncio.start_server(self._serve, host, int(port))

    async def crash(self) -> None:
        """Stop without deregistration: connections are reset and all key ranges are dropped."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.relay.reset()
        self._drop_keys()

    def _drop_keys(self) -> None:
        self.holds = HeldRanges()
        self.running = {}
        self.finishing = []
        self.released = []

    def limit_rate(self, rate: float) -> None:
        """State a limit of ``rate`` requests per second with each answer, 0 for none."""
        self.rate_limit = rate
        self.limited_at = asyncio.get_running_loop().time()
        self.limited_arrivals = []

    def _check_rate_limit(self, now: float) -> None:
        """Record the arrival of a request while a limit is stated, and check the window that it ends."""
        first = max(now - LIMIT_WINDOW_S, self.limited_at + LIMIT_GRACE_S)
        self.limited_arrivals = [at for at in (*self.limited_arrivals, now) if at > first]
        allowed = LIMIT_FACTOR * self.rate_limit * LIMIT_WINDOW_S + LIMIT_EXTRA
        if len(self.limited_arrivals) > allowed:
            self.observations.problems.append(
                f"{now:.2f} {self.name} got {len(self.limited_arrivals)} requests in {LIMIT_WINDOW_S} s, "
                f"its limit is {self.rate_limit} a second since {self.limited_at:.2f}"
            )

    def announcement(self, with_keys: bool = False) -> bytes:
        """Return the next announcement as JSON, with the keys that this target holds and has released."""
        self.sequence += 1
        return json.dumps(
            {
                **({"keys": self._key_report()} if with_keys else {}),
                "target_id": self.name,
                "started_ms": self.started_ms,
                "sequence": self.sequence,
                "service": self.service,
                "address": self.relay.address,
                "failure_domain": self.domain,
                "slots": self.slots,
                "draining": self.draining,
                "cold_for": 0.0,
            }
        ).encode()

    def _key_report(self) -> dict[str, list[dict]]:
        now = asyncio.get_running_loop().time()
        for item in list(self.finishing):
            if not any(item.first <= key <= item.last for key in self.running.values()):
                self.finishing.remove(item)
                if now < item.until:
                    handover = f"token-{self.name}-{item.fence}"
                    self.released.append({"first": item.first, "last": item.last, "handover": handover})
        held = [
            {"first": item.first, "last": item.last, "fence": item.fence}
            for item in (*self.holds.at(now), *self.finishing)
        ]
        return {"held": held, "released": self.released}

    def apply_answer(self, answer: dict, sent_at: float) -> None:
        """Hold what the answer to an announcement lists, counted from its sending, and release other keys."""
        if "grants" not in answer:
            return
        self.released = []
        granted = [(grant["first"], grant["last"]) for grant in answer["grants"]]
        for item in self.holds.at(asyncio.get_running_loop().time()):
            if not any(first <= item.first and item.last <= last for first, last in granted):
                self.holds.release(item.first, item.last)
                self.finishing.append(item)
        for grant in answer["grants"]:
            self._grant(grant, sent_at)

    def holds_key(self, key: int, now: float) -> bool:
        """Return whether this target may start a request for a key."""
        return self.holds.has_key(key, now)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        repeated = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, path, _ = head[0].split(" ")
                headers = {}
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                # A lease counts from the arrival of its grant, also while the target is frozen.
                arrived = asyncio.get_running_loop().time()
                await self.resumed.wait()
                answered = await self._answer(method, path, headers, body, arrived, reader)
                await self.resumed.wait()
                if answered is None:
                    continue
                status, extra, content = answered
                lines = [f"HTTP/1.1 {status} X", f"content-length: {len(content)}", *extra]
                answer = "\r\n".join(lines).encode() + b"\r\n\r\n" + content
                writer.write(repeated + answer)
                repeated = answer if random.random() < self.repeated_share else b""
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            with contextlib.suppress(OSError):
                writer.close()

    async def _answer(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        arrived: float,
        reader: asyncio.StreamReader,
    ) -> tuple[int, list[str], bytes] | None:
        if path.startswith("/-/keys/") and headers.get("cranberrylever-target", self.name) != self.name:
            return 421, [], b""
        if path == "/-/keys/grant":
            return self._grant(json.loads(body), arrived)
        if path == "/-/keys/release":
            return self._release(json.loads(body))
        if path == "/healthz":
            return 200, [], self.name.encode()
        return await self._run_request(headers, path, reader)

    def _grant(self, grant: dict, arrived: float) -> tuple[int, list[str], bytes]:
        first, last, fence = grant["first"], grant["last"], grant["fence"]
        if not self.holds.grant(first, last, fence, arrived + grant["lease"]):
            return 409, [], b""
        for peer in self.peers:
            for hold in peer.holds.items:
                overlaps = hold.first <= last and first <= hold.last
                if peer is not self and overlaps and hold.fence >= fence:
                    self.observations.problems.append(
                        f"{self.name} gets {first}-{last} with fence {fence}, {peer.name} had {hold.fence}"
                    )
        return 200, [], b""

    def _release(self, release: dict) -> tuple[int, list[str], bytes]:
        self.holds.release(release["first"], release["last"])
        return 200, [], f"token-{self.name}-{release['fence']}".encode()

    async def _run_request(
        self, headers: dict[str, str], path: str, reader: asyncio.StreamReader
    ) -> tuple[int, list[str], bytes] | None:
        now = asyncio.get_running_loop().time()
        request_id = headers.get("cranberrylever-request-id", "")
        if self.rate_limit:
            self._check_rate_limit(now)
        echo = f"cranberrylever-request-id: {request_id}"
        refused = 421, [echo, "cranberrylever-outcome: not-run"], b""
        if headers.get("cranberrylever-target", self.name) != self.name:
            return refused
        if self.keyed:
            key = int(headers["cranberrylever-key"])
            if not self.holds_key(key, now):
                return refused
            other_holders = [
                peer.name for peer in self.peers if peer is not self and peer.holds_key(key, now)
            ]
            if other_holders:
                self.observations.problems.append(
                    f"{self.name} runs a request for key {key} while {other_holders} hold it"
                )
        if random.random() < self.rejected_share:
            return 503, [echo, "cranberrylever-outcome: not-run"], b""
        if self.keyed:
            self.running[request_id] = key
        self.observations.runs.setdefault(request_id, []).append(self.name)
        self.observations.starts.append((now, self.domain, request_id))
        work = parse_work(path)
        try:
            if work is None:
                await asyncio.sleep(random.uniform(*SERVICE_TIME_S))
            elif not await self._work(request_id, work.seconds, reader):
                return None
        finally:
            self.running.pop(request_id, None)
        extra = [f"cranberrylever-load: {len(self.tasks)},0,{self.slots},100"]
        if self.rate_limit:
            extra.append(f"cranberrylever-rate-limit: {self.rate_limit}")
        body = answer_body(request_id, work.answer_bytes if work else 0)
        return 200, [echo, *extra, "cranberrylever-outcome: done"], body

    async def _work(self, request_id: str, seconds: float, reader: asyncio.StreamReader) -> bool:
        """Work until done or until the connection ends; returns whether an answer is due."""
        loop = asyncio.get_running_loop()
        run = Run(request_id, self.name, loop.time())
        self.observations.history.append(run)
        try:
            while not run.is_cut_off and (rest := run.started_at + seconds - loop.time()) > 0:
                await asyncio.sleep(min(rest, WORK_POLL_INTERVAL_S))
                run.is_cut_off = reader.at_eof() or reader.exception() is not None
        except asyncio.CancelledError:
            run.is_broken_off = True
            raise
        finally:
            run.work_ended_at = loop.time()
        return not run.is_cut_off and not (self.is_silent and int(request_id[1:]) % SILENT_SHARE == 0)
