"""Tests of blocking calls in daemon threads."""

import asyncio
import subprocess
import sys
import threading
import unittest.mock

import testtools

from cranberrylever.daemon_thread import run_in_daemon_thread

# A program that ends while a call in a daemon thread blocks.
SCRIPT = """
import asyncio, threading
from cranberrylever.daemon_thread import run_in_daemon_thread

async def main():
    run_in_daemon_thread(threading.Event().wait, "blocked")

asyncio.run(main())
"""


class DaemonThreadTest(testtools.TestCase):
    def test_result_and_error_are_delivered(self):
        """Guards against a call whose outcome is lost."""

        async def main():
            result = await run_in_daemon_thread(lambda: 7, "result")
            failed = run_in_daemon_thread(lambda: 1 // 0, "error")
            await asyncio.wait({failed})
            return result, failed.exception()

        result, error = asyncio.run(main())
        assert result == 7
        assert isinstance(error, ZeroDivisionError)

    def test_loop_runs_while_a_call_blocks(self):
        """Guards against an event loop that stands still while a file blocks."""

        async def main():
            released = threading.Event()
            call = run_in_daemon_thread(lambda: released.wait(20), "blocked")
            await asyncio.sleep(0.05)
            assert not call.done()
            released.set()
            return await call

        assert asyncio.run(main())

    def test_blocked_call_does_not_hold_up_the_end_of_the_process(self):
        """Guards against a process that waits at its end for a thread that never returns."""
        done = subprocess.run([sys.executable, "-c", SCRIPT], timeout=20, capture_output=True)
        self.assertEqual((0, b""), (done.returncode, done.stderr))

    def test_call_that_ends_after_the_loop_is_ignored(self):
        """Guards against a traceback at the end of a program, by a call that returns too late."""
        released = threading.Event()
        errors = []

        async def main():
            before = set(threading.enumerate())
            run_in_daemon_thread(lambda: released.wait(20), "late")
            return (set(threading.enumerate()) - before).pop()

        with unittest.mock.patch.object(threading, "excepthook", errors.append):
            thread = asyncio.run(main())
            released.set()
            thread.join(20)
        assert not thread.is_alive()
        assert errors == []

    def test_thread_that_cannot_be_started_is_an_error_of_the_call(self):
        """Guards against a caller that ends because the process may have no further thread."""

        async def main():
            with unittest.mock.patch.object(threading.Thread, "start", side_effect=RuntimeError("no thread")):
                call = run_in_daemon_thread(lambda: 7, "none")
            return call.exception()

        assert "no thread" in str(asyncio.run(main()))
