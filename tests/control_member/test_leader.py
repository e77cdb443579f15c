"""Tests of the leader loop."""

import asyncio

import testtools

from cranberrylever.control_member import LeaderBase
from cranberrylever.errors import ProposalLostError
from cranberrylever.logs import Log
from tests.support import run_in_simulated_time


class FakeDriver:
    term = 1
    leader_since = 0.0
    has_valid_lease = True

    def has_lease(self, now):
        return self.has_valid_lease

    async def propose(self, payload):
        raise ProposalLostError("the member was closed", "repeat it")


class FakeLeader(LeaderBase):
    def __init__(self, driver):
        super().__init__(driver, 0.1, Log("control", "c1", "error"))
        self.steps = 0
        self.is_failing = False

    def encode(self, command):
        return command

    def step(self, now):
        self.term = self.driver.term
        self.steps += 1
        if self.is_failing:
            raise ValueError("a step that fails")


class LeaderLoopTest(testtools.TestCase):
    def run_leader(self, scenario):
        async def main():
            leader = FakeLeader(FakeDriver())
            leader.start()
            try:
                await scenario(leader)
            finally:
                await leader.close()

        run_in_simulated_time(main)

    def test_steps_run_while_the_lease_holds(self):
        """Guards against two leaders that act at the same time: one without a lease runs no steps."""

        async def scenario(leader):
            await asyncio.sleep(0.55)
            assert leader.steps >= 5
            assert leader.is_serving()
            leader.driver.has_valid_lease = False
            steps = leader.steps
            await asyncio.sleep(0.5)
            assert leader.steps == steps
            assert not leader.is_serving()

        self.run_leader(scenario)

    def test_step_that_fails_does_not_end_the_loop(self):
        """Guards against a leader that holds its lease but runs no more steps."""

        async def scenario(leader):
            leader.is_failing = True
            await asyncio.sleep(0.35)
            assert leader.steps >= 3

        self.run_leader(scenario)

    def test_lost_proposal_does_not_end_the_loop(self):
        """Guards against a loop that ends because a proposal is lost in a change of leader."""

        async def scenario(leader):
            leader.propose_in_background(b"x")
            await asyncio.sleep(0.2)
            assert not leader.proposals
            assert leader.steps >= 1

        self.run_leader(scenario)
