"""Tests of the signal of changes."""

import asyncio

import testtools

from cranberrylever.change_signal import ChangeSignal
from tests.support import run_in_simulated_time


class ChangeSignalTest(testtools.TestCase):
    def test_every_waiting_task_is_woken_once(self):
        """Guards against a request that sleeps through a change, or that an old change wakes."""

        async def scenario():
            loop = asyncio.get_running_loop()
            signal = ChangeSignal()
            signal.notify()
            woken_at = []

            async def wait():
                await signal.wait(5.0)
                woken_at.append(loop.time())

            tasks = [asyncio.create_task(wait()) for _ in range(3)]
            loop.call_later(1.0, signal.notify)
            await asyncio.gather(*tasks)
            await signal.wait(2.0)
            return woken_at, loop.time()

        assert run_in_simulated_time(scenario) == ([1.0, 1.0, 1.0], 3.0)
