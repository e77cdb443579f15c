"""Fakes that implement the platform's published protocol: a target, and an HTTP client."""

import asyncio
import json
import re

from cranberrylever.target_http import TargetPool


class FakeTarget:
    """A target that serves grants, releases, probes and requests.

    ``born`` is its start time in Unix milliseconds, ``work`` the duration of each request in seconds.
    ``heartbeat`` returns the body of its next heartbeat. ``rate_limit`` is the limit that its answers
    name and ``arrivals`` are the loop times of all requests. ``leaving`` and ``retry_after`` are what its
    answers say; with the latter it refuses all requests. ``padding`` ends the body of each answer. With
    ``gets_keys_in_replies`` its heartbeats list its keys, ``read_reply`` applies the replies, and it
    takes no calls about keys.
    """

    def __init__(self, target_id, service, zone, born, sharded=True, work=0.005, gets_keys_in_replies=False):
        self.target_id = target_id
        self.service = service
        self.zone = zone
        self.born = born
        self.sharded = sharded
        self.work = work
        self.seq = 0
        self.state = "ready"
        self.holds = []
        self.ran = []
        self.refused = 0
        self.rate_limit = ""
        self.leaving = False
        self.retry_after = ""
        self.gets_keys_in_replies = gets_keys_in_replies
        self.freed = []
        self.calls = 0
        self.arrivals = []
        self.padding = b""
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def heartbeat(self, **changes):
        self.seq += 1
        body = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "max_concurrency": 3,
            "state": self.state,
            "warmup_s_time": 0,
            "seq": self.seq,
            "born": self.born,
        }
        if self.gets_keys_in_replies:
            body["holds"] = [[hold["from"], hold["target"], hold["fence"]] for hold in self._valid_holds()]
            body["freed"] = self.freed
        return {**body, **changes}

    def _valid_holds(self):
        now = asyncio.get_running_loop().time()
        return [hold for hold in self.holds if now < hold["until"]]

    def read_reply(self, reply, sent_at):
        """Hold what the reply to a heartbeat lists from its sending, and free all other keys."""
        if "holds" not in reply:
            return
        before, self.holds, self.freed = self._valid_holds(), [], []
        for first, last, fence, _ in reply["holds"]:
            until = sent_at + reply["hold_s"]
            self.holds.append({"from": first, "target": last, "fence": fence, "until": until})
        for hold in before:
            if not any(new["from"] <= hold["from"] <= new["target"] for new in self.holds):
                self.freed.append([hold["from"], hold["target"], "0123456789abcdef"])

    def holds_key(self, key):
        now = asyncio.get_running_loop().time()
        return any(hold["from"] <= key <= hold["target"] and now < hold["until"] for hold in self.holds)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, path, _ = lines[0].split(" ")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines[1:] if line)
                }
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, extra, content = await self._answer(method, path, headers, body)
                header_lines = "".join(f"{name}: {value}\r\n" for name, value in extra.items())
                answer = f"HTTP/1.1 {status} X\r\n{header_lines}Content-Length: {len(content)}\r\n\r\n"
                writer.write(answer.encode() + content)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, method, path, headers, body):
        if path in ("/grant", "/release"):
            self.calls += 1
            if headers.get("cranberrylever-target-instance", self.target_id) != self.target_id:
                return 421, {"Cranberrylever-Not-Executed": "1"}, b""
        if path == "/grant":
            return self._grant(json.loads(body))
        if path == "/release":
            return self._release(json.loads(body))
        if path == "/healthz":
            return 200, {"Cranberrylever-Instance-Id": self.target_id}, b""
        request_id = headers.get("cranberrylever-request-id", "")
        echo = {"Cranberrylever-Request-Id": request_id, "Cranberrylever-Upstream-Load": "1,0,3,100"}
        if self.rate_limit:
            echo["Server-Limit"] = self.rate_limit
        if self.leaving:
            echo["Server-Leaving"] = "1"
        self.arrivals.append(asyncio.get_running_loop().time())
        if headers.get("cranberrylever-target-instance") != self.target_id:
            self.refused += 1
            return 421, {**echo, "Cranberrylever-Not-Executed": "1"}, b""
        if self.sharded and not self.holds_key(int(headers["cranberrylever-shard-key"])):
            self.refused += 1
            return 421, {**echo, "Cranberrylever-Not-Executed": "1"}, b""
        if self.retry_after:
            self.refused += 1
            return 503, {**echo, "Cranberrylever-Not-Executed": "1", "Retry-After": self.retry_after}, b""
        self.ran.append((request_id, method, path, body))
        await asyncio.sleep(self.work)
        return (
            200,
            {**echo, "Cranberrylever-Upstream-Signature": f"sig-{self.target_id}"},
            b"ran " + body + self.padding,
        )

    def _grant(self, grant):
        if any(
            hold["fence"] > grant["fence"]
            and hold["from"] <= grant["target"]
            and grant["from"] <= hold["target"]
            for hold in self.holds
        ):
            return 409, {}, b""
        expires_at = asyncio.get_running_loop().time() + grant["hold_s"]
        self._remove_range(grant)
        self.holds.append({**grant, "until": expires_at})
        return 200, {}, b""

    def _release(self, part):
        self._remove_range(part)
        return 200, {"Cranberrylever-Handover": "0123456789abcdef"}, b""

    def _remove_range(self, part):
        kept = []
        for hold in self.holds:
            if hold["target"] < part["from"] or part["target"] < hold["from"]:
                kept.append(hold)
                continue
            if hold["from"] < part["from"]:
                kept.append({**hold, "target": part["from"] - 1})
            if part["target"] < hold["target"]:
                kept.append({**hold, "from": part["target"] + 1})
        self.holds = kept


class Caller:
    """HTTP client for the calls of the platform's operator, targets and callers."""

    def __init__(self):
        self.pool = TargetPool()

    async def call(self, address, method, path, body=b"", **headers):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        names = {re.sub("_", "-", name): value for name, value in headers.items()}
        names.setdefault("Host", address)
        names["Content-Length"] = str(len(body))
        header_lines = "".join(f"{name}: {value}\r\n" for name, value in names.items())
        request = f"{method} {path} HTTP/1.1\r\n{header_lines}\r\n".encode() + body
        async with asyncio.timeout(5.0):
            return await self.pool.exchange(address, method.encode(), request)

    def close(self):
        self.pool.close()


def configuration(version, ledger, desk, host="h.example", grants="rpc", timeout=2.0):
    """Return a configuration with a keyed and a pooled service."""

    def service(name, **changes):
        fields = {
            "name": name,
            "health_path": "/healthz",
            "max_conns": 110,
            "proto": "h1",
            "tls": False,
            "warmup_s": 3.0,
            "warmup_per_s": 9.9,
        }
        return {**fields, **changes}

    def route(name, prefix, kind, target):
        return {
            "name": name,
            "hostname": host,
            "path_prefix": prefix,
            "type": kind,
            "timeout_s": timeout,
            "slo_s": 0.5,
            "priority": 1,
            "service": target,
            "attempts": 2,
        }

    return {
        "version": f"r{version}",
        "routes": [route("a", "/ledger/", "safe", ledger), route("b", "/desk/", "unsafe", desk)],
        "services": [service(ledger, sharded=True, warm_s=2.0, grants=grants), service(desk)],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
    }
