"""Tests of exceptions that nobody handles."""

import asyncio
import gc

import testtools

from cranberrylever.metrics import NullMetrics
from cranberrylever.task_errors import log_task_errors


class RecordingLog:
    """Log that keeps its lines."""

    def __init__(self):
        self.lines = []

    def failure(self, message_type, error, **fields):
        self.lines.append((message_type, repr(error), fields))

    def warning(self, message_type, **fields):
        self.write("warning", message_type, **fields)

    def write(self, level, message_type, **fields):
        self.lines.append((message_type, "", fields))


class CountingMetrics(NullMetrics):
    """Metrics that keep the counted names."""

    def __init__(self):
        self.counted = []

    def count(self, name, value=1):
        self.counted.append(name)


class TaskErrorTest(testtools.TestCase):
    def test_unhandled_exception_is_logged_and_counted_and_the_loop_goes_on(self):
        """Guards against an exception that ends a task without a trace, or ends the process."""

        async def main():
            log, metrics = RecordingLog(), CountingMetrics()
            log_task_errors(log, metrics)

            async def fail():
                raise ValueError("boom")

            task = asyncio.get_running_loop().create_task(fail())
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            del task
            gc.collect()
            asyncio.get_running_loop().call_soon(lambda: 1 / 0)
            await asyncio.sleep(0.01)
            return log.lines, metrics.counted

        lines, counted = asyncio.run(main())
        assert [line[0] for line in lines] == ["task_failed", "task_failed"], lines
        assert "boom" in lines[0][1]
        assert "ZeroDivisionError" in lines[1][1]
        assert counted == ["task_failures"] * 2
