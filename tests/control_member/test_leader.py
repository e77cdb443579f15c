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
    leader_id = "c1"
    member_id = "c1"

    @property
    def config(self):
        return self

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

    def test_leader_without_a_lease_for_a_moment_sends_nobody_away(self):
        """Guards against a stall of 0.3 s after which all entries lose their streams to the leader."""

        async def scenario(leader):
            loop = asyncio.get_running_loop()
            await asyncio.sleep(0.2)
            leader.driver.has_valid_lease = False
            loop.call_later(0.3, setattr, leader.driver, "has_valid_lease", True)
            assert not leader.is_serving()
            assert await leader.wait_until_serving()

        self.run_leader(scenario)

    def test_member_that_does_not_lead_says_so_at_once(self):
        """Guards against callers that wait at a member that another one has replaced."""

        async def scenario(leader):
            loop = asyncio.get_running_loop()
            await asyncio.sleep(0.2)
            leader.driver.has_valid_lease = False
            leader.driver.leader_id = "c2"
            asked_at = loop.time()
            assert not await leader.wait_until_serving()
            assert loop.time() == asked_at

        self.run_leader(scenario)

    def test_wait_for_a_lease_that_does_not_come_ends(self):
        """Guards against callers that a cut off leader holds until their own time is up."""

        async def scenario(leader):
            loop = asyncio.get_running_loop()
            await asyncio.sleep(0.2)
            leader.driver.has_valid_lease = False
            asked_at = loop.time()
            assert not await leader.wait_until_serving()
            assert loop.time() - asked_at < 0.6

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
