"""Stand-ins for upstreams and clients that follow PROTOCOL.md; all of them run in the process of the case."""

import asyncio
import json
import secrets
import time

from system import HEARTBEAT_S, Machine, System, http_call, read_answer, read_headers

JSON_TYPE = ("Content-Type: application/json",)


class Run:
    """One request that an upstream ran; times are those of the record."""

    def __init__(self, request_id: str, path: str, upstream: "Upstream", at: float) -> None:
        self.request_id, self.path, self.upstream, self.at = request_id, path, upstream, at
        self.ended_at = 0.0


class Upstream:
    """One upstream: announces itself, serves requests and, if it is sharded, takes grants.

    Runs are appended to ``runs``; ``holds`` are the keys that it holds: (first, last, fence, until).
    """

    def __init__(
        self,
        system: System,
        service: str,
        number: int,
        zone: str,
        work_s: float = 0.02,
        sharded: bool = False,
    ) -> None:
        self.system, self.service, self.zone = system, service, zone
        self.work_s, self.sharded = work_s, sharded
        self.address = system.upstream_address(number)
        self.id = f"i-{secrets.token_hex(5)}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.slots = 6
        self.runs: list[Run] = []
        self.running: dict[int, list[int]] = {}
        self.holds: list[list] = []
        self.seen_fences: list[tuple[int, int, int]] = []
        self.server: asyncio.Server | None = None
        self.connections: set[asyncio.StreamWriter] = set()
        self.beat_address = ""
        self.is_silent = False
        self.warm_at = 0.0
        self.on_request = None

    async def start(self) -> None:
        """Listen and begin to announce itself."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.system.run(self._beat())

    def stop(self) -> None:
        """End at once, as a process does that crashes."""
        self.is_silent = True
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    # Heartbeats --------------------------------------------------------------------------------------

    def beat_body(self) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "addr": self.address,
                "zone": self.zone,
                "version": "v1",
                "max_concurrency": self.slots,
                "state": self.state,
                "warmup_s_time": 0,
                "seq": self.sequence,
                "born": self.born,
            }
        ).encode()

    async def _beat(self) -> None:
        turn = secrets.randbelow(3)
        while not self.is_silent:
            body = self.beat_body()
            addresses = [machine.control for machine in self.system.controls]
            addresses = addresses[turn % 3 :] + addresses[: turn % 3]
            if self.beat_address:
                addresses.insert(0, self.beat_address)
            for address in addresses:
                answer = await http_call(address, "POST", f"/Instances.Heartbeat/{self.id}", body, JSON_TYPE)
                if answer is not None and 200 <= answer[0] < 300:
                    self.beat_address = json.loads(answer[2] or b"{}").get("heartbeat_addr", "")
                    break
                self.beat_address = ""
                turn += 1
            await asyncio.sleep(HEARTBEAT_S)

    # Requests ----------------------------------------------------------------------------------------

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while True:
                line = await reader.readuntil(b"\r\n")
                method, path, _ = line.decode("latin-1").split(" ", 2)
                headers = await read_headers(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self._until_closed(reader, self._answer(method, path, headers, body))
                if answer is None:
                    return
                status, extra, content = answer
                lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(content)}", *extra]
                if "cranberrylever-request-id" in headers:
                    lines.append(f"Cranberrylever-Request-Id: {headers['cranberrylever-request-id']}")
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    @staticmethod
    async def _until_closed(reader: asyncio.StreamReader, answering):  # noqa: ANN001, ANN205
        """Return an answer, None if its connection closes before: the upstream drops the request then."""
        work = asyncio.ensure_future(answering)
        closing = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, closing}, return_when=asyncio.FIRST_COMPLETED)
        if work.done():
            closing.cancel()
            await asyncio.gather(closing, return_exceptions=True)
            return work.result()
        work.cancel()
        await asyncio.gather(work, closing, return_exceptions=True)
        return None

    async def _answer(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, list[str], bytes]:
        not_run = ["Cranberrylever-Not-Executed: 1"]
        named = headers.get("cranberrylever-target-instance")
        if named is not None and named != self.id:
            return 421, not_run, b""
        if path == "/healthz":
            return 200, [f"Cranberrylever-Instance-Id: {self.id}"], b""
        if path in ("/grant", "/release"):
            return await self._keys(path, json.loads(body))
        if "cranberrylever-request-id" not in headers:
            return 400, not_run, b""
        key = int(headers.get("cranberrylever-shard-key", -1))
        if self.sharded and self.holder_until(key) <= time.monotonic():
            return 421, not_run, b""
        if self.on_request is not None:
            answer = await self.on_request(self, method, path, headers, body)
            if answer is not None:
                return answer
        request_id = headers["cranberrylever-request-id"]
        self.runs.append(Run(request_id, path, self, self.system.record.now()))
        run, number = self.runs[-1], len(self.runs)
        self.running[number] = [key]
        try:
            await asyncio.sleep(self.work_s)
        finally:
            del self.running[number]
            run.ended_at = self.system.record.now()
        signature = f"Cranberrylever-Upstream-Signature: {self.id}.{number}"
        return 200, [signature], f"{request_id} {path} {self.id}".encode()

    # Keys --------------------------------------------------------------------------------------------

    def holder_until(self, key: int) -> float:
        """Return until when it holds a key, 0 if it does not."""
        return max((until for first, last, _, until in self.holds if first <= key <= last), default=0.0)

    async def _keys(self, path: str, order: dict) -> tuple[int, list[str], bytes]:
        first, last, fence = order["from"], order["target"], order["fence"]
        if path == "/grant":
            if any(seen > fence and low <= last and first <= high for low, high, seen in self.seen_fences):
                return 409, [], b""
            self.seen_fences.append((first, last, fence))
            self._drop(first, last)
            self.holds.append([first, last, fence, time.monotonic() + order["hold_s"]])
            return 200, [], b""
        self._drop(first, last)
        while any(first <= key <= last for keys in self.running.values() for key in keys):
            await asyncio.sleep(0.005)
        return 200, [f"Cranberrylever-Handover: {secrets.token_hex(8)}"], b""

    def _drop(self, first: int, last: int) -> None:
        kept = []
        for low, high, fence, until in self.holds:
            if low < first:
                kept.append([low, min(high, first - 1), fence, until])
            if last < high:
                kept.append([max(low, last + 1), high, fence, until])
            if high < first or last < low:
                kept = [item for item in kept if item[:2] != [low, high]]
                kept.append([low, high, fence, until])
        self.holds = kept


class Answer:
    """What a client saw of one request."""

    def __init__(self, request_id: str, sent_at: float) -> None:
        self.request_id, self.sent_at = request_id, sent_at
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.ended_at = 0.0


async def ask(
    system: System,
    entry: Machine | str,
    host: str,
    path: str,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 1200,
    headers: tuple[str, ...] = (),
) -> Answer:
    """Send one request of a client on a new connection; status 0 stands for no answer."""
    address = entry if isinstance(entry, str) else entry.front
    answer = Answer(secrets.token_hex(8), system.record.now())
    lines = (
        f"Cranberrylever-Request-Id: {answer.request_id}",
        f"Cranberrylever-Deadline-Ms: {deadline_ms}",
        *headers,
    )
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.5):
            ip, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            head = [f"{method} {path} HTTP/1.1", f"Host: {host}", *lines]
            if method != "GET" or body:
                head.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            answer.status, answer.headers, answer.body = await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        answer.status = 0
    finally:
        answer.ended_at = system.record.now()
        if writer is not None:
            writer.close()
    return answer


def configuration(
    version: int,
    routes: list[dict],
    services: list[tuple[str, bool]],
    extra: dict | None = None,
) -> bytes:
    """Return a configuration; ``routes`` are completed by usual values."""
    defaults = {"type": "safe", "timeout_s": 1.2, "slo_s": 0.5, "priority": 1, "attempts": 2}
    return json.dumps(
        {
            "version": f"r{version}",
            "routes": [{**defaults, **route} for route in routes],
            "services": [
                {
                    "name": name,
                    "health_path": "/healthz",
                    "max_conns": 62,
                    "proto": "h1",
                    "tls": False,
                    "warmup_s": 3.0,
                    "warmup_per_s": 11.0,
                    **({"sharded": True, "warm_s": 2.0, "grants": "rpc"} if sharded else {}),
                }
                for name, sharded in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
            **(extra or {}),
        }
    ).encode()
