"""Requests over loopback through one control member, one entry and fake targets of the platform."""

import asyncio
import json

import testtools

from tests.platform.fakes import configuration
from tests.platform.running_system import RunningSystem


class RequestPathTest(testtools.TestCase):
    def run_scenario(self, scenario):
        async def main():
            async with RunningSystem() as system:
                await system.prepare()
                await scenario(system)

        asyncio.run(main())

    def test_requests_reach_the_owner_and_the_pool(self):
        """Guards against requests that do not reach the owner or a pooled target, or run more than once."""

        async def scenario(system):
            answer = await system.request("GET", "/ledger/progress?x=1", 12_345)
            assert answer.status == 200
            assert answer.header(b"cranberrylever-upstream-signature").startswith(b"sig-")
            answer = await system.request("POST", "/desk/order", body=b"cedar")
            assert answer.body == b"ran cedar"
            ran = [item for target in system.targets for item in target.ran]
            assert len({item[0] for item in ran}) == len(ran)
            assert any(item[2] == "/ledger/progress?x=1" for item in ran)
            assert (await system.request("GET", "/nowhere/x", 1)).status == 404
            assert (await system.request("GET", "/ledger/x")).status == 400

        self.run_scenario(scenario)

    def test_operator_calls(self):
        """Guards against accepting a stale or invalid configuration, and against refusing a repeated one."""

        async def scenario(system):
            first = configuration(3, "ledger", "desk")
            assert await system.put(first, 0) == 200
            assert await system.put(configuration(5, "ledger", "desk"), 0) == 412
            invalid = configuration(5, "ledger", "desk")
            invalid["routes"][0]["timeout_s"] = 0
            assert await system.put(invalid, 3) == 400
            second = configuration(5, "ledger", "desk", host="new.example")
            assert await system.put(second, 3) == 200
            assert await system.put(first, 0) == 200
            answer = await system.caller.call(system.control, "GET", "/Config.Get")
            assert json.loads(answer.body) == second
            await system.until(self.is_host_served, system, "new.example")
            assert (await system.request("GET", "/ledger/x", 1)).status == 404

        self.run_scenario(scenario)

    def test_control_serves_its_metrics(self):
        """Guards against a metrics endpoint of control that lacks the metrics of the leader."""

        async def scenario(system):
            await system.until(self.has_metric, system, b"cranberrylever_is_leader 1.0")
            await system.until(self.has_metric, system, b"cranberrylever_targets 4.0")
            await system.until(self.has_metric, system, b"cranberrylever_grant_ms_bucket")
            await system.until(self.has_metric, system, b"cranberrylever_commit_ms_bucket")

        self.run_scenario(scenario)

    async def has_metric(self, system, text):
        answer = await system.caller.call(system.control_metrics, "GET", "/metrics")
        return answer.status == 200 and text in answer.body

    async def is_host_served(self, system, host):
        return (await system.request("GET", "/ledger/x", 1, host=host)).status

    def test_withdrawn_zone_gets_nothing(self):
        """Guards against requests to targets in a zone that operators have withdrawn."""

        async def scenario(system):
            answer = await system.caller.call(system.control, "POST", "/Evacuations.Start/olympic")
            assert answer.status == 200
            await asyncio.sleep(1.0)
            before = [len(target.ran) for target in system.targets]
            await system.until(system.is_served)
            for key in range(0, 65_536, 6_000):
                await system.request("GET", "/ledger/x", key)
                await system.request("POST", "/desk/x")
            after = [len(target.ran) for target in system.targets]
            assert (after[1], after[3]) == (before[1], before[3])
            assert after[0] > before[0]
            answer = await system.caller.call(system.control, "POST", "/Evacuations.End/olympic")
            assert answer.status == 200
            answer = await system.caller.call(system.control, "POST", "/Evacuations.Start/mars")
            assert answer.status == 404

        self.run_scenario(scenario)

    def test_draining_target_gets_nothing(self):
        """Guards against requests to a target whose heartbeat announces that it drains."""

        async def scenario(system):
            leaving = system.targets[0]
            leaving.state = "draining"
            assert await system.send_heartbeat(leaving) == 200
            await asyncio.sleep(1.0)
            before = len(leaving.ran)
            await system.until(system.is_served)
            for key in range(0, 65_536, 6_000):
                assert (await system.request("GET", "/ledger/x", key)).status == 200
            assert len(leaving.ran) == before

        self.run_scenario(scenario)

    def test_forged_heartbeat_is_refused(self):
        """Guards against a heartbeat with an unknown zone that changes a recorded target."""

        async def scenario(system):
            assert await system.send_heartbeat(system.targets[0], zone="mars") == 400
            assert await system.is_served()

        self.run_scenario(scenario)
