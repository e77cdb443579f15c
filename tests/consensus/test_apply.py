"""Tests of how a member applies committed commands."""

import asyncio

import testtools

from tests.consensus.cluster import Cluster, wait_for
from tests.support import run_in_simulated_time

COMMANDS = 12
COMMAND_BYTES = 300_000


class ApplyLargeCommandsTest(testtools.TestCase):
    def test_heartbeats_go_between_two_large_commands(self):
        """Guards against members that replay large plans and lose one election after the other meanwhile."""

        async def scenario():
            cluster = Cluster(1)
            await cluster.start_all()
            leader = await cluster.wait_leader()
            events = []
            apply, run_cycle = leader.state_machine.apply, leader._run_cycle

            def record_and_apply(index, payload):
                events.append("apply")
                return apply(index, payload)

            def record_and_run(*arguments):
                events.append("cycle")
                run_cycle(*arguments)

            leader.state_machine.apply = record_and_apply
            leader._run_cycle = record_and_run
            payloads = [b"%d" % number + b"x" * COMMAND_BYTES for number in range(COMMANDS)]
            await asyncio.gather(*map(leader.propose, payloads))
            await wait_for(lambda: leader.applied_index == leader.commit_index)
            await cluster.close()
            return events

        events = run_in_simulated_time(scenario)
        assert events.count("apply") == COMMANDS
        pairs = list(zip(events, events[1:], strict=False))
        assert ("apply", "apply") not in pairs
