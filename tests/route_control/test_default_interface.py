"""Tests of the default interface: a route control, a route entry and a target on loopback."""

import asyncio
import json
import tempfile

import testtools

from bench.processes import free_address
from cranberrylever.route_control import DefaultGrantClient, create_route_api, create_route_control
from cranberrylever.route_entry import DefaultHeaderFormat, create_route_entry
from cranberrylever.settings import LogSettings, RouteControlSettings, RouteEntrySettings
from cranberrylever.target_http import TargetPool

QUIET = LogSettings("-", "error")
PLAN = {
    "number": 1,
    "routes": [
        {
            "name": "a",
            "host": "h.example",
            "prefix": "/ledger/",
            "shares": [{"service": "ledger", "weight": 1.0}],
            "idempotent": True,
            "timeout": 2.0,
            "objective": 0.5,
            "priority": 1,
            "attempts": 2,
        }
    ],
    "services": [
        {
            "name": "ledger",
            "keyed": True,
            "health_path": "/healthz",
            "max_connections": 50,
            "cold_time": 3.0,
            "cold_rate": 10.0,
            "takeover_time": 2.0,
        }
    ],
}


class DefaultTarget:
    """A target that uses the default format of grants and requests."""

    def __init__(self):
        self.grants = []
        self.requests = []

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                writer.write(self.answer(head[0].split(" ")[1], headers, body))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def answer(self, path, headers, body):
        headers_out, content = "", b""
        if path == "/-/keys/grant":
            self.grants.append(json.loads(body))
        elif path != "/-/keys/release":
            self.requests.append((path, headers["cranberrylever-key"]))
            headers_out = f"cranberrylever-request-id: {headers['cranberrylever-request-id']}\r\n"
            headers_out += "cranberrylever-outcome: done\r\ncranberrylever-load: 1,0,3,100\r\n"
            content = b"whole"
        return f"HTTP/1.1 200 OK\r\n{headers_out}content-length: {len(content)}\r\n\r\n".encode() + content


class DefaultInterfaceTest(testtools.TestCase):
    def test_plan_announcement_grant_and_request(self):
        """Guards against routes that work only through an adapter with its own formats."""
        asyncio.run(self.scenario())

    async def scenario(self):
        rpc, http, listen, ready = (free_address() for _ in range(4))
        target = DefaultTarget()
        server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = TargetPool()
        with tempfile.TemporaryDirectory() as folder:
            settings = RouteControlSettings(
                "own", rpc, http, f"{folder}/data", (rpc,), (rpc,), True, ("a",), log=QUIET
            )
            control = create_route_control(
                settings,
                DefaultGrantClient(),
                lambda service, forwarder: create_route_api(service, forwarder, frozenset("a")),
            )
            entry_settings = RouteEntrySettings(
                "own", "e1", listen, ready, (rpc,), drain_delay=0.0, log=QUIET
            )
            entry = create_route_entry(entry_settings, DefaultHeaderFormat())
            await control.start()
            await entry.start()
            try:
                await self.check_control(pool, http, address)
                await self.check_entry(pool, listen, target)
            finally:
                await entry.close()
                await control.close()
                pool.close()
                server.close()

    async def check_control(self, pool, http, address):
        await self.call_until(pool, http, "PUT", "/v1/plan?base=0", PLAN, 200)
        answer = await pool.call(http, "PUT", "/v1/plan?base=7", {**PLAN, "number": 2}, 2.0)
        assert answer.status == 409
        answer = await pool.call(http, "PUT", "/v1/plan", {**PLAN, "routes": 3}, 2.0)
        assert answer.status == 422
        assert b"routes" in answer.body
        for keys in (["secret 1"], "secret 1", [7]):
            customers = [{"name": "x", "api_keys": keys}]
            answer = await pool.call(
                http, "PUT", "/v1/plan?base=1", {**PLAN, "number": 2, "customers": customers}, 2.0
            )
            assert answer.status == 422
            assert b"key" in answer.body
            assert b"secret" not in answer.body
        answer = await pool.call(http, "GET", "/v1/plan", None, 2.0)
        assert json.loads(answer.body) == PLAN
        answer = await pool.call(http, "POST", "/v1/domains/mars/withdraw", {}, 2.0)
        assert answer.status == 422
        announcement = {
            "target_id": "t1",
            "started_ms": 1,
            "sequence": 1,
            "service": "ledger",
            "address": address,
            "failure_domain": "a",
            "slots": 3,
            "draining": False,
            "cold_for": 0.0,
        }
        await self.call_until(pool, http, "PUT", "/v1/targets/t1", announcement, 200)

    async def check_entry(self, pool, listen, target):
        request = (
            b"GET /ledger/x HTTP/1.1\r\nhost: h.example\r\ncranberrylever-request-id: q\r\n"
            b"cranberrylever-key: 77\r\n\r\n"
        )
        async with asyncio.timeout(8.0):
            while True:
                answer = await pool.exchange(listen, b"GET", request)
                if answer.status == 200:
                    break
                await asyncio.sleep(0.1)
        assert answer.body == b"whole"
        assert target.requests == [("/ledger/x", "77")]
        self.check_grants(target.grants)

    def check_grants(self, grants):
        # The keys may be assigned in two ranges, and the grants of both ranges may arrive in any order.
        for grant in grants:
            assert type(grant["first"]) is int, grants
            assert type(grant["last"]) is int, grants
            assert type(grant["fence"]) is int, grants
            assert grant["fence"] > 0, grants
            assert grant["lease"] > 0.0, grants
        assert any(grant["first"] == 0 for grant in grants), grants
        assert any(grant["first"] <= 77 <= grant["last"] for grant in grants), grants

    async def call_until(self, pool, http, method, path, content, status):
        async with asyncio.timeout(8.0):
            while (await pool.call(http, method, path, content, 2.0)).status != status:
                await asyncio.sleep(0.1)
