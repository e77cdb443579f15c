"""Tests of the signal of changes."""

import asyncio

import testtools

from cranberrylever.change_signal import ChangeSignal, wait_for_any
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

    def test_change_of_any_signal_ends_a_wait_for_several(self):
        """Guards against a wait that misses a change of the second signal, or never ends."""

        async def scenario():
            loop = asyncio.get_running_loop()
            signals = (ChangeSignal(), ChangeSignal())
            ends = []
            for signal in signals:
                loop.call_later(1.0, signal.notify)
                await wait_for_any(signals, 5.0)
                ends.append(loop.time())
            waiting = asyncio.ensure_future(wait_for_any(signals, 5.0))
            loop.call_soon(signals[1].notify)
            await waiting
            await wait_for_any(signals, 2.0)
            ended_at = loop.time()
            await asyncio.sleep(0)
            return [*ends, ended_at, len(asyncio.all_tasks())]

        assert run_in_simulated_time(scenario) == [1.0, 2.0, 4.0, 1]
