"""Targets that get their keys in the replies to their heartbeats, with an entry and control over loopback."""

import asyncio

import testtools

from tests.platform.running_system import RunningSystem


class AnnouncedKeysTest(testtools.TestCase):
    def run_system(self, scenario):
        async def main():
            async with RunningSystem(grants="heartbeat") as system:
                await system.prepare()
                await scenario(system)

        asyncio.run(main())

    def test_requests_reach_the_owner_without_a_call_to_it(self):
        """Guards against a keyed service that is not served because its targets take no calls."""

        async def scenario(system):
            for key in range(0, 65_536, 4_096):
                answer = await system.request("GET", "/ledger/x", key)
                assert answer.status == 200, (key, answer)
            assert [target.calls for target in system.targets] == [0, 0, 0, 0]
            assert all(target.holds for target in system.targets[:2])

        self.run_system(scenario)

    def test_keys_of_a_draining_target_move_in_replies(self):
        """Guards against keys that stay at a leaving target until its lease ends."""

        async def scenario(system):
            leaving, staying = system.targets[:2]
            leaving.state = "draining"

            async def has_moved():
                return not leaving.holds and staying.holds_key(0) and staying.holds_key(65_535)

            await system.until(has_moved, seconds=4.0)
            await system.until(system.is_served, seconds=2.0)

        self.run_system(scenario)

    def test_malformed_rows_change_nothing(self):
        """Guards against a heartbeat with a malformed row that frees keys or moves them."""

        async def scenario(system):
            target = system.targets[0]
            held = list(target.holds)
            assert await system.send_heartbeat(target, holds=[[0, 1]]) == 400
            assert await system.send_heartbeat(target, freed=[[0, 65_536, ""]]) == 400
            assert await system.send_heartbeat(target) == 200
            assert [hold["fence"] for hold in target.holds] == [hold["fence"] for hold in held]
            assert await system.is_served()

        self.run_system(scenario)
