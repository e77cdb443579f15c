"""Stand-in targets that hold ranges of keys and watch for two holders of one key."""

import asyncio
import contextlib
import json
import random
import time

import attrs

from bench.relay import Relay
from bench.routes.held_ranges import Holds

SLOTS = 4
BEAT_INTERVAL_S = 0.4
WORK_S = (0.01, 0.06)


@attrs.define
class Ledger:
    """What all targets together have seen; the soak's checks read it.

    ``runs`` lists the targets that began each request, ``began`` when and in which failure domain each began,
    ``problems`` what broke a rule.
    """

    runs: dict[str, list[str]] = attrs.field(factory=dict)
    began: list[tuple[float, str, str]] = attrs.field(factory=list)
    problems: list[str] = attrs.field(factory=list)


class SoakTarget:
    """One target behind a relay; it can crash, freeze, drain and return under the same id.

    Args:
        name: Its id.
        service: Name of its service.
        domain: Its failure domain.
        keyed: Whether it checks that it holds a request's key.
        relay: Relay in front of it, whose address it announces.
        ledger: Shared record.
        peers: All targets, to look for a second holder.
    """

    def __init__(
        self,
        name: str,
        service: str,
        domain: str,
        keyed: bool,
        relay: Relay,
        ledger: Ledger,
        peers: "list[SoakTarget]",
    ) -> None:
        self.name = name
        self.service = service
        self.domain = domain
        self.keyed = keyed
        self.relay = relay
        self.ledger = ledger
        self.peers = peers
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.draining = False
        self.sequence = 0
        self.holds = Holds()
        self.started_ms = 0

    async def start(self) -> None:
        """Begin a new life at the same address."""
        host, _, port = self.relay.upstream.rpartition(":")
        self.holds = Holds()
        self.draining = False
        self.sequence = 0
        self.started_ms = max(self.started_ms + 1, int(time.time() * 1000))
        self.server = await asyncio.start_server(self._serve, host, int(port))

    async def crash(self) -> None:
        """End without a word: connections break and nothing is held any more."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.relay.reset()
        self.holds = Holds()

    def notice(self) -> bytes:
        """Return the next notice."""
        self.sequence += 1
        return json.dumps(
            {
                "target_id": self.name,
                "started_ms": self.started_ms,
                "sequence": self.sequence,
                "service": self.service,
                "address": self.relay.address,
                "failure_domain": self.domain,
                "slots": SLOTS,
                "draining": self.draining,
                "cold_for": 0.0,
            }
        ).encode()

    def holds_key(self, key: int, now: float) -> bool:
        """Tell whether this target may begin a request for a key."""
        return self.holds.has_key(key, now)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, path, _ = head[0].split(" ")
                headers = {}
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                # A lease runs from the arrival of its call, also at a target that stands still meanwhile.
                arrived = asyncio.get_running_loop().time()
                await self.thawed.wait()
                status, extra, content = await self._answer(method, path, headers, body, arrived)
                await self.thawed.wait()
                lines = [f"HTTP/1.1 {status} X", f"content-length: {len(content)}", *extra]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            with contextlib.suppress(OSError):
                writer.close()

    async def _answer(
        self, method: str, path: str, headers: dict[str, str], body: bytes, arrived: float
    ) -> tuple[int, list[str], bytes]:
        if path == "/-/keys/grant":
            return self._grant(json.loads(body), arrived)
        if path == "/-/keys/release":
            return self._release(json.loads(body))
        if path == "/healthz":
            return 200, [], self.name.encode()
        return await self._run(headers)

    def _grant(self, order: dict, arrived: float) -> tuple[int, list[str], bytes]:
        first, last, fence = order["first"], order["last"], order["fence"]
        if not self.holds.grant(first, last, fence, arrived + order["lease"]):
            return 409, [], b""
        for peer in self.peers:
            for hold in peer.holds.items:
                is_same = hold.first <= last and first <= hold.last
                if peer is not self and is_same and hold.fence >= fence:
                    self.ledger.problems.append(
                        f"{self.name} gets {first}-{last} with fence {fence}, {peer.name} had {hold.fence}"
                    )
        return 200, [], b""

    def _release(self, order: dict) -> tuple[int, list[str], bytes]:
        self.holds.release(order["first"], order["last"])
        return 200, [], f"token-{self.name}-{order['fence']}".encode()

    async def _run(self, headers: dict[str, str]) -> tuple[int, list[str], bytes]:
        now = asyncio.get_running_loop().time()
        request_id = headers.get("cranberrylever-request-id", "")
        echo = f"cranberrylever-request-id: {request_id}"
        refused = 421, [echo, "cranberrylever-outcome: not-run"], b""
        if headers.get("cranberrylever-target", self.name) != self.name:
            return refused
        if self.keyed:
            key = int(headers["cranberrylever-key"])
            if not self.holds_key(key, now):
                return refused
            others = [peer.name for peer in self.peers if peer is not self and peer.holds_key(key, now)]
            if others:
                self.ledger.problems.append(f"{self.name} runs key {key} while {others} hold it")
        self.ledger.runs.setdefault(request_id, []).append(self.name)
        self.ledger.began.append((now, self.domain, request_id))
        await asyncio.sleep(random.uniform(*WORK_S))
        load = f"cranberrylever-load: {len(self.tasks)},0,{SLOTS},100"
        return 200, [echo, load, "cranberrylever-outcome: done"], f"ran {request_id}".encode()
