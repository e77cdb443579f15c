"""Tests of the signals that stop a program; ``cli/test_run.py`` has those with a process."""

import asyncio
import ctypes
import os
import signal
import threading

import testtools

from cranberrylever.stop_signals import call_at_signal, set_at_stop_signal


class StopSignalTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.addCleanup(signal.signal, number, signal.getsignal(number))

    def test_handlers_end_with_a_program_that_failed(self):
        """Guards against a signal that reaches a closed loop, and a process that ignores SIGTERM for good."""

        async def main():
            with set_at_stop_signal(asyncio.Event()):
                raise ValueError

        self.assertRaises(ValueError, asyncio.run, main())
        assert signal.getsignal(signal.SIGTERM) is signal.SIG_DFL
        assert signal.getsignal(signal.SIGINT) is signal.default_int_handler

    def test_first_signal_decides(self):
        """Guards against a repeated SIGTERM with an effect, and a Ctrl-C without one."""
        for number in (signal.SIGTERM, signal.SIGINT):

            async def main(number=number):
                stop = asyncio.Event()
                with set_at_stop_signal(stop):
                    os.kill(os.getpid(), number)
                    async with asyncio.timeout(20):
                        await stop.wait()

            asyncio.run(main())
            # Also after the loop has been closed.
            assert signal.getsignal(signal.SIGTERM) is signal.SIG_IGN
            assert signal.getsignal(signal.SIGINT) is signal.SIG_DFL

    def test_each_signal_calls_the_function_on_the_loop(self):
        """Guards against a reload that is lost, or that runs in the middle of other code."""

        async def main():
            calls = []
            call_at_signal(signal.SIGHUP, lambda: calls.append(asyncio.get_running_loop()))
            for number in range(1, 4):
                os.kill(os.getpid(), signal.SIGHUP)
                assert len(calls) < number
                async with asyncio.timeout(20):
                    while len(calls) < number:
                        await asyncio.sleep(0.001)
            return calls

        assert len(asyncio.run(main())) == 3

    def test_signal_does_not_interrupt_a_call_of_another_thread(self):
        """Guards against a library whose system call fails because the program is told to stop."""
        receiver, sender = os.pipe()
        self.addCleanup(os.close, receiver)
        self.addCleanup(os.close, sender)
        results = []
        libc = ctypes.CDLL(None)
        buffer = ctypes.create_string_buffer(1)
        thread = threading.Thread(target=lambda: results.append(libc.read(receiver, buffer, 1)))

        async def main():
            is_called = asyncio.Event()
            call_at_signal(signal.SIGHUP, is_called.set)
            await asyncio.sleep(0.1)
            signal.pthread_kill(thread.ident, signal.SIGHUP)
            async with asyncio.timeout(20):
                while not is_called.is_set():
                    await asyncio.sleep(0.01)

        thread.start()
        asyncio.run(main())
        os.write(sender, b"x")
        thread.join()
        assert results == [1]

    def test_signal_that_another_thread_gets_wakes_the_loop(self):
        """Guards against a stop that begins with the next timer, as the loop sleeps in the main thread."""

        async def main():
            stop = asyncio.Event()
            with set_at_stop_signal(stop):
                threading.Timer(0.1, os.kill, (os.getpid(), signal.SIGTERM)).start()
                async with asyncio.timeout(20):
                    await stop.wait()

        is_over = threading.Event()
        thread = threading.Thread(target=is_over.wait)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(is_over.set)
        self.addCleanup(signal.pthread_sigmask, signal.SIG_UNBLOCK, {signal.SIGTERM})
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
        asyncio.run(main())
