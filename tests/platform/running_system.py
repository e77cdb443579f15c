"""A running control member and entries with fake targets, for tests over loopback."""

import asyncio
import importlib
import json
import tempfile

from bench.processes import free_address
from cranberrylever.route_control import create_route_control
from cranberrylever.route_entry import create_route_entry
from cranberrylever.settings import LogSettings, RouteControlSettings, RouteEntrySettings
from tests.platform.fakes import Caller, FakeTarget, configuration

control_api = importlib.import_module("control_api")
call_headers = importlib.import_module("call_headers")
grant_client = importlib.import_module("grant_client")

QUIET = LogSettings("-", "error")


class RunningSystem:
    """A running control member and entries with fake targets, which send heartbeats every 0.3 s.

    ``entry`` is the address of the first of ``entries``.
    """

    def __init__(self, entry_count=1, grants="rpc", cluster_id="test"):
        self.cluster_id = cluster_id
        self.entry_count = entry_count
        self.grants = grants

    async def __aenter__(self):
        self.folder = tempfile.TemporaryDirectory()
        rpc, self.control = free_address(), free_address()
        settings = RouteControlSettings(
            self.cluster_id,
            rpc,
            self.control,
            f"{self.folder.name}/data",
            (rpc,),
            (rpc,),
            bootstrap=True,
            failure_domains=("puget", "olympic"),
            notice_interval=0.5,
            metrics_listen=free_address(),
            log=QUIET,
        )
        self.control_metrics = settings.metrics_listen
        self.route_control = create_route_control(
            settings,
            grant_client.PlatformGrantClient(),
            lambda service, forwarder: control_api.ControlApi(service, forwarder, settings).app(),
            control_api.HEADERS_TO_FORWARD,
        )
        self.route_entries = [self.create_entry(number, rpc) for number in range(self.entry_count)]
        self.entries = [entry.settings.listen for entry in self.route_entries]
        self.entry = self.entries[0]
        self.caller = Caller()
        self.targets = []
        self.requests = 0
        await self.route_control.start()
        for entry in self.route_entries:
            await entry.start()
        return self

    async def __aexit__(self, *exc_info):
        self.heartbeats.cancel()
        self.caller.close()
        for entry in self.route_entries:
            await entry.close()
        await self.route_control.close()
        for target in self.targets:
            await target.close()
        self.folder.cleanup()

    def create_entry(self, number, rpc):
        settings = RouteEntrySettings(
            self.cluster_id,
            f"e{number}",
            free_address(),
            free_address(),
            (rpc,),
            drain_delay=0.1,
            finish_timeout=1.0,
            peer_listen=free_address(),
            log=QUIET,
        )
        return create_route_entry(settings, call_headers.PlatformFormat())

    async def prepare(self):
        """Start the targets, configure the routes and wait until requests to both services are answered."""
        for number, (service, zone) in enumerate(
            [("ledger", "puget"), ("ledger", "olympic"), ("desk", "puget"), ("desk", "olympic")]
        ):
            target = FakeTarget(
                f"i-{number}",
                service,
                zone,
                1_000 + number,
                service == "ledger",
                gets_keys_in_replies=self.grants == "heartbeat" and service == "ledger",
            )
            await target.start()
            self.targets.append(target)
        self.heartbeats = asyncio.get_running_loop().create_task(self._send_heartbeats())
        await self.until(self.put, configuration(3, "ledger", "desk", grants=self.grants), 0)
        await self.until(self.is_served)

    async def until(self, attempt, *arguments, seconds=8.0):
        """Repeat a call until its result is ``True`` or 200."""
        async with asyncio.timeout(seconds):
            while True:
                result = await attempt(*arguments)
                if result is True or result == 200:
                    return
                await asyncio.sleep(0.05)

    async def is_served(self):
        answers = [await self.request("GET", "/ledger/x", key) for key in (0, 30_000, 65_535)]
        answers.append(await self.request("POST", "/desk/x"))
        return all(answer.status == 200 for answer in answers)

    async def put(self, document, base):
        answer = await self.caller.call(
            self.control, "POST", "/Config.Put", document, Cranberrylever_Base_Version=f"r{base}"
        )
        return answer.status

    async def request(self, method, path, key=None, body=b"", host="h.example", entry=None):
        self.requests += 1
        headers = {"Host": host, "Cranberrylever_Request_Id": f"q{self.requests}"}
        headers["Cranberrylever_Deadline_Ms"] = "1500"
        if key is not None:
            headers["Cranberrylever_Shard_Key"] = str(key)
        return await self.caller.call(entry or self.entry, method, path, body, **headers)

    async def send_load(self, method, path, seconds, interval):
        """Send requests to all entries in turn; return the statuses in the order in which they were sent."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        tasks = []
        while loop.time() < end:
            number = len(tasks)
            key = (number * 7_919) % 65_536 if path.startswith("/ledger") else None
            entry = self.entries[number % len(self.entries)]
            tasks.append(loop.create_task(self.request(method, path, key, entry=entry)))
            await asyncio.sleep(interval)
        return [answer.status for answer in await asyncio.gather(*tasks)]

    async def send_heartbeat(self, target, **changes):
        path = f"/Instances.Heartbeat/{target.target_id}"
        sent_at = asyncio.get_running_loop().time()
        answer = await self.caller.call(self.control, "POST", path, target.heartbeat(**changes))
        if target.gets_keys_in_replies and answer.status == 200:
            target.read_reply(json.loads(answer.body), sent_at)
        return answer.status

    async def _send_heartbeats(self):
        while True:
            for target in self.targets:
                await self.send_heartbeat(target)
            await asyncio.sleep(0.3)
