"""The load on the leader when many targets come back at once: how often it looks at all ranges."""

import asyncio

import testtools

from tests.route_control.test_ownership import SimulatedControl
from tests.support import run_in_simulated_time

RESTARTED_COUNT = 60
SECONDS = 3.0


class StepLoadTest(testtools.TestCase):
    def steps_per_second(self, target_count):
        """Return the steps a second while 60 targets restart, each of which changes several things."""

        async def scenario():
            control = SimulatedControl(1)
            await control.start(target_count)
            await asyncio.sleep(12.0)
            steps = []
            step = control.leader.step
            control.leader.step = lambda now: steps.append(now) or step(now)

            async def restart():
                for number in range(min(target_count, RESTARTED_COUNT)):
                    await control.start_target(number)
                    await asyncio.sleep(0.02)

            restarts = asyncio.get_running_loop().create_task(restart())
            await asyncio.sleep(SECONDS)
            await restarts
            await control.close()
            return len(steps) / SECONDS

        return run_in_simulated_time(scenario)

    def test_leader_with_many_ranges_does_not_step_at_each_answer(self):
        """Guards against a leader whose time goes into steps while entries lose their streams."""
        assert self.steps_per_second(300) <= 21

    def test_leader_with_few_ranges_steps_at_once(self):
        """Guards against moves of keys on a small site that wait for the next regular step."""
        assert self.steps_per_second(12) > 21
