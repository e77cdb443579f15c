"""A control member that the group has replaced, in the process that founded the group."""

import asyncio
import tempfile

import testtools

from bench.processes import free_address
from cranberrylever.route_control import create_route_control
from cranberrylever.settings import LogSettings, RouteControlSettings
from tests.platform.running_system import control_api, grant_client

QUIET = LogSettings("-", "error")


def create_founder(data_dir):
    """Return one of three founders; the other two do not run."""
    rpc = free_address()
    founders = (rpc, free_address(), free_address())
    settings = RouteControlSettings(
        "test", rpc, free_address(), data_dir, founders, founders, bootstrap=True, log=QUIET
    )
    return create_route_control(
        settings,
        grant_client.PlatformGrantClient(),
        lambda service, forwarder: control_api.ControlApi(service, forwarder, settings).app(),
    )


async def replaced(member):
    """Let the group refuse the directory of a member and wait until the member runs with another one."""
    old = member.driver
    old.node.refusal_reason = "the data directory was replaced"
    old._schedule_cycle()
    async with asyncio.timeout(5.0):
        while member.driver is old or member.leader.task is None:
            await asyncio.sleep(0.02)


class RetiredMemberTest(testtools.TestCase):
    def test_replaced_founder_founds_no_second_group(self):
        """Guards against two replaced founders that elect each other and act beside the group."""

        async def main():
            with tempfile.TemporaryDirectory() as folder:
                member = create_founder(f"{folder}/data")
                await member.start()
                assert member.driver.node.founder
                await replaced(member)
                node = member.driver.node
                state = (node.founder, node.may_vote(), node.is_outside_group())
                await member.close()
                return state

        assert asyncio.run(main()) == (False, False, True)

    def test_member_restarts_after_a_restart_that_failed(self):
        """Guards against a member that keeps its data directory locked and never runs again."""

        async def main():
            with tempfile.TemporaryDirectory() as folder:
                member = create_founder(f"{folder}/data")
                await member.start()
                await member.http.close()
                host, _, port = member.settings.http.rpartition(":")
                other = await asyncio.start_server(lambda reader, writer: writer.close(), host, int(port))
                member.driver.node.refusal_reason = "the data directory was replaced"
                member.driver._schedule_cycle()
                await asyncio.sleep(1.0)
                other.close()
                await other.wait_closed()
                async with asyncio.timeout(5.0):
                    while member.http.task is None or member.http.task.done():
                        await asyncio.sleep(0.05)
                await member.close()

        asyncio.run(main())

    def test_replaced_founder_founds_no_second_group_after_a_restart_with_bootstrap(self):
        """Guards against the same after a kill between the loss of the old identity and the new start."""

        async def main():
            with tempfile.TemporaryDirectory() as folder:
                first = create_founder(f"{folder}/data")
                await first.start()
                await replaced(first)
                await first.close()
                second = create_founder(f"{folder}/data")
                await second.start()
                state = (second.driver.node.founder, second.driver.node.may_vote())
                await second.close()
                return state

        assert asyncio.run(main()) == (False, False)
