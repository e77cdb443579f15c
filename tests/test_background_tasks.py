"""Tests of the background tasks of an object."""

import asyncio

import testtools

from cranberrylever.background_tasks import BackgroundTasks
from tests.support import end_slowly, run_in_simulated_time


class BackgroundTasksTest(testtools.TestCase):
    def test_close_waits_for_the_end_of_all_tasks(self):
        """Guards against an object that counts as closed while its tasks still use what it holds."""

        async def main():
            tasks = BackgroundTasks()
            is_ending = asyncio.Event()
            tasks.start(end_slowly(is_ending)(None))
            tasks.start(asyncio.sleep(60))
            await asyncio.sleep(0.01)
            assert len(tasks) == 2
            await tasks.close()
            assert is_ending.is_set()
            assert len(tasks) == 0
            await tasks.close()

        run_in_simulated_time(main)

    def test_task_that_has_ended_is_dropped(self):
        """Guards against memory that grows with each task that was ever started."""

        async def main():
            tasks = BackgroundTasks()
            for _ in range(100):
                tasks.start(asyncio.sleep(0.01))
            await asyncio.sleep(0.02)
            assert len(tasks) == 0

        run_in_simulated_time(main)
