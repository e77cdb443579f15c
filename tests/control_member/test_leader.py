"""Tests of the loop of a leader's duties."""

import asyncio

import testtools

from cranberrylever.control_member import LeaderBase
from cranberrylever.errors import ProposalLostError
from cranberrylever.logs import Log
from tests.support import run_paused


class FakeDriver:
    term = 1
    leader_since = 0.0
    lease = True

    def has_lease(self, now):
        return self.lease

    async def propose(self, payload):
        raise ProposalLostError("the member was closed", "repeat it")


class Duties(LeaderBase):
    def __init__(self, driver):
        super().__init__(driver, 0.1, Log("control", "c1", "error"))
        self.steps = 0
        self.fails = False

    def encode(self, command):
        return command

    def step(self, now):
        self.term = self.driver.term
        self.steps += 1
        if self.fails:
            raise ValueError("a step that fails")


class LeaderDutiesTest(testtools.TestCase):
    def run_duties(self, scenario):
        async def main():
            duties = Duties(FakeDriver())
            duties.start()
            try:
                await scenario(duties)
            finally:
                await duties.close()

        run_paused(main)

    def test_steps_run_while_the_lease_holds(self):
        """Guards against two leaders that both act: one without a lease must not."""

        async def scenario(duties):
            await asyncio.sleep(0.55)
            assert duties.steps >= 5
            assert duties.is_serving()
            duties.driver.lease = False
            steps = duties.steps
            await asyncio.sleep(0.5)
            assert duties.steps == steps
            assert not duties.is_serving()

        self.run_duties(scenario)

    def test_step_that_fails_does_not_end_the_loop(self):
        """Guards against a leader that holds its lease and does nothing any more."""

        async def scenario(duties):
            duties.fails = True
            await asyncio.sleep(0.35)
            assert duties.steps >= 3

        self.run_duties(scenario)

    def test_lost_proposal_is_no_failure(self):
        """Guards against a loop that ends because a change of leader lost a proposal."""

        async def scenario(duties):
            duties.propose_in_background(b"x")
            await asyncio.sleep(0.2)
            assert not duties.proposals
            assert duties.steps >= 1

        self.run_duties(scenario)
