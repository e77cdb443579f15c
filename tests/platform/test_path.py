"""The whole path on loopback: one control member, one entry and stand-in targets."""

import asyncio
import importlib
import json
import tempfile

import testtools

from bench.processes import free_address
from cranberrylever.route_control import create_route_control
from cranberrylever.route_entry import create_route_entry
from cranberrylever.settings import LogSettings, RouteControlSettings, RouteEntrySettings
from tests.platform.standin import Caller, StandInTarget, configuration

control_api = importlib.import_module("control_api")
call_headers = importlib.import_module("call_headers")
grant_client = importlib.import_module("grant_client")

QUIET = LogSettings("-", "error")


class Path:
    """A running system with its stand-ins."""

    async def __aenter__(self):
        self.folder = tempfile.TemporaryDirectory()
        rpc, self.control = free_address(), free_address()
        settings = RouteControlSettings(
            "test",
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
        self.steering = create_route_control(
            settings,
            grant_client.PlatformGrantClient(),
            lambda service, forwarder: control_api.ControlApi(service, forwarder, settings).app(),
            control_api.HEADERS_TO_FORWARD,
        )
        self.entry, self.ready = free_address(), free_address()
        entry_settings = RouteEntrySettings(
            "test",
            "e1",
            self.entry,
            self.ready,
            (rpc,),
            drain_delay=0.1,
            finish_timeout=1.0,
            log=QUIET,
        )
        self.gateway = create_route_entry(entry_settings, call_headers.PlatformFormat())
        self.caller = Caller()
        self.targets = []
        self.requests = 0
        await self.steering.start()
        await self.gateway.start()
        return self

    async def __aexit__(self, *exc_info):
        self.beats.cancel()
        self.caller.close()
        await self.gateway.close()
        await self.steering.close()
        for target in self.targets:
            await target.close()
        self.folder.cleanup()

    async def prepare(self):
        """Add targets, configure the routes and wait until everything is served."""
        for number, (service, zone) in enumerate(
            [("ledger", "puget"), ("ledger", "olympic"), ("desk", "puget"), ("desk", "olympic")]
        ):
            target = StandInTarget(f"i-{number}", service, zone, 1_000 + number, service == "ledger")
            await target.start()
            self.targets.append(target)
        self.beats = asyncio.get_running_loop().create_task(self._beat())
        await self.until(self.put, configuration(3, "ledger", "desk"), 0)
        await self.until(self.is_served)

    async def until(self, attempt, *arguments, seconds=8.0):
        """Repeat a call until its result is true or 200."""
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

    async def request(self, method, path, key=None, body=b"", host="h.example"):
        self.requests += 1
        headers = {"Host": host, "Cranberrylever_Request_Id": f"q{self.requests}"}
        headers["Cranberrylever_Deadline_Ms"] = "1500"
        if key is not None:
            headers["Cranberrylever_Shard_Key"] = str(key)
        return await self.caller.call(self.entry, method, path, body, **headers)

    async def beat(self, target, **changes):
        path = f"/Instances.Heartbeat/{target.target_id}"
        return (await self.caller.call(self.control, "POST", path, target.heartbeat(**changes))).status

    async def _beat(self):
        while True:
            for target in self.targets:
                await self.beat(target)
            await asyncio.sleep(0.3)


class PathTest(testtools.TestCase):
    def run_path(self, scenario):
        async def main():
            async with Path() as path:
                await path.prepare()
                await scenario(path)

        asyncio.run(main())

    def test_requests_reach_the_owner_and_the_pool(self):
        """Guards against a path that does not hold together."""

        async def scenario(path):
            answer = await path.request("GET", "/ledger/progress?x=1", 12_345)
            assert answer.status == 200
            assert answer.header(b"cranberrylever-upstream-signature").startswith(b"sig-")
            answer = await path.request("POST", "/desk/order", body=b"cedar")
            assert answer.body == b"ran cedar"
            ran = [item for target in path.targets for item in target.ran]
            assert len({item[0] for item in ran}) == len(ran)
            assert any(item[2] == "/ledger/progress?x=1" for item in ran)
            assert (await path.request("GET", "/nowhere/x", 1)).status == 404
            assert (await path.request("GET", "/ledger/x")).status == 400

        self.run_path(scenario)

    def test_operator_calls(self):
        """Guards against repeated, raced and invalid configurations."""

        async def scenario(path):
            first = configuration(3, "ledger", "desk")
            assert await path.put(first, 0) == 200
            assert await path.put(configuration(5, "ledger", "desk"), 0) == 412
            bad = configuration(5, "ledger", "desk")
            bad["routes"][0]["timeout_s"] = 0
            assert await path.put(bad, 3) == 400
            second = configuration(5, "ledger", "desk", host="new.example")
            assert await path.put(second, 3) == 200
            assert await path.put(first, 0) == 200
            answer = await path.caller.call(path.control, "GET", "/Config.Get")
            assert json.loads(answer.body) == second
            await path.until(self.is_host_served, path, "new.example")
            assert (await path.request("GET", "/ledger/x", 1)).status == 404

        self.run_path(scenario)

    def test_control_shows_its_metrics(self):
        """Guards against an on-call engineer who finds nothing at the metrics address of control."""

        async def scenario(path):
            await path.until(self.shows, path, b"cranberrylever_is_leader 1.0")
            await path.until(self.shows, path, b"cranberrylever_targets 4.0")
            await path.until(self.shows, path, b"cranberrylever_grant_ms_bucket")
            await path.until(self.shows, path, b"cranberrylever_commit_ms_bucket")

        self.run_path(scenario)

    async def shows(self, path, text):
        answer = await path.caller.call(path.control_metrics, "GET", "/metrics")
        return answer.status == 200 and text in answer.body

    async def is_host_served(self, path, host):
        return (await path.request("GET", "/ledger/x", 1, host=host)).status

    def test_withdrawn_zone_gets_nothing(self):
        """Guards against work for a zone that operators have taken out."""

        async def scenario(path):
            answer = await path.caller.call(path.control, "POST", "/Evacuations.Start/olympic")
            assert answer.status == 200
            await asyncio.sleep(1.0)
            before = [len(target.ran) for target in path.targets]
            await path.until(path.is_served)
            for key in range(0, 65_536, 6_000):
                await path.request("GET", "/ledger/x", key)
                await path.request("POST", "/desk/x")
            after = [len(target.ran) for target in path.targets]
            assert (after[1], after[3]) == (before[1], before[3])
            assert after[0] > before[0]
            answer = await path.caller.call(path.control, "POST", "/Evacuations.End/olympic")
            assert answer.status == 200
            answer = await path.caller.call(path.control, "POST", "/Evacuations.Start/mars")
            assert answer.status == 404

        self.run_path(scenario)

    def test_draining_target_gets_nothing(self):
        """Guards against work for a target that has said that it leaves."""

        async def scenario(path):
            leaving = path.targets[0]
            leaving.state = "draining"
            assert await path.beat(leaving) == 200
            await asyncio.sleep(1.0)
            before = len(leaving.ran)
            await path.until(path.is_served)
            for key in range(0, 65_536, 6_000):
                assert (await path.request("GET", "/ledger/x", key)).status == 200
            assert len(leaving.ran) == before

        self.run_path(scenario)

    def test_forged_heartbeat_is_refused(self):
        """Guards against a target that another writer names."""

        async def scenario(path):
            assert await path.beat(path.targets[0], zone="mars") == 400
            assert await path.is_served()

        self.run_path(scenario)
