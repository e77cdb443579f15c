"""Tests of the run loop of programs."""

import errno
import signal
import socket
import subprocess
import sys
import time

import testtools

from cranberrylever._cli._run import run_program
from cranberrylever.errors import StartError, StorageError
from tests.cli.support import run_cli

# A program whose close and start take the numbers of seconds given as its arguments.
SCRIPT = """
import asyncio, sys
from cranberrylever._cli._run import run_program

class Program:
    async def start(self):
        print("started", flush=True)
        await asyncio.sleep(float(sys.argv[2]))
    async def close(self):
        print("closing", flush=True)
        await asyncio.sleep(float(sys.argv[1]))
        print("closed", flush=True)

run_program(Program(), "the program")
"""


class FakeProgram:
    """Program that fails during or after its start."""

    def __init__(self, start_error=None, failure=None):
        self.start_error = start_error
        self.failure = failure
        self.closed = False

    async def start(self):
        if self.start_error is not None:
            raise self.start_error

    async def wait_failure(self):
        raise self.failure

    async def close(self):
        self.closed = True


class SignalTest(testtools.TestCase):
    def start(self, close_seconds, start_seconds=0):
        process = subprocess.Popen(
            [sys.executable, "-c", SCRIPT, str(close_seconds), str(start_seconds)],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self.assertEqual("started\n", process.stdout.readline())
        return process

    def test_signal_closes_the_program(self):
        """Guards against a planned stop that interrupts requests because the program is not closed."""
        for number in (signal.SIGTERM, signal.SIGINT):
            process = self.start(0.05)
            process.send_signal(number)
            self.assertEqual("closing\nclosed\n", process.stdout.read())
            self.assertEqual(0, process.wait())

    def test_repeated_sigterm_does_not_cut_the_stop_short(self):
        """Guards against requests that are cut off because a service manager repeats its signal."""
        for number in (signal.SIGTERM, signal.SIGINT):
            process = self.start(0.5)
            process.send_signal(number)
            self.assertEqual("closing\n", process.stdout.readline())
            process.send_signal(signal.SIGTERM)
            self.assertEqual("closed\n", process.stdout.read())
            self.assertEqual(0, process.wait())

    def test_sighup_does_not_end_the_process(self):
        """Guards against requests that are cut off by a reload signal or a closed terminal."""
        process = self.start(0.2)
        process.send_signal(signal.SIGHUP)
        time.sleep(0.1)
        self.assertIsNone(process.poll())
        process.send_signal(signal.SIGTERM)
        self.assertEqual("closing\n", process.stdout.readline())
        process.send_signal(signal.SIGHUP)
        self.assertEqual("closed\n", process.stdout.read())
        self.assertEqual(0, process.wait())

    def test_sigterm_without_pause_does_not_end_the_process(self):
        """Guards against a signal that comes in a moment without a handler, up to the end of the process."""
        process = self.start(0.2)
        while process.poll() is None:
            process.send_signal(signal.SIGTERM)
            time.sleep(0.0002)
        self.assertEqual("closing\nclosed\n", process.stdout.read())
        self.assertEqual(0, process.returncode)

    def test_sigterm_repeated_during_the_start_does_not_end_the_process(self):
        """Guards against a handler that only counts once the program has started."""
        process = self.start(0.05, start_seconds=0.3)
        for _ in range(3):
            process.send_signal(signal.SIGTERM)
            time.sleep(0.05)
        self.assertEqual("closing\nclosed\n", process.stdout.read())
        self.assertEqual(0, process.wait())

    def test_ctrl_c_during_the_stop_ends_the_process(self):
        """Guards against a person who has to wait for a shutdown that waits for a request."""
        for number in (signal.SIGTERM, signal.SIGINT):
            process = self.start(60)
            process.send_signal(number)
            self.assertEqual("closing\n", process.stdout.readline())
            process.send_signal(signal.SIGINT)
            self.assertEqual("", process.stdout.read())
            self.assertEqual(-signal.SIGINT, process.wait())


class FailureTest(testtools.TestCase):
    def test_start_errors_name_the_remedy(self):
        """Guards against a traceback for a port in use or a folder without permission."""
        for number, expected in (
            (errno.EADDRINUSE, "choose another port"),
            (errno.EADDRNOTAVAIL, "an address of this instance"),
            (errno.EACCES, "a folder that this user can write"),
            (errno.EIO, "correct the setting concerned"),
        ):
            program = FakeProgram(start_error=OSError(number, "reason"))
            error = self.assertRaises(StartError, run_program, program, "the entry")
            self.assertIn(expected, str(error))
            self.assertIn("the entry cannot", str(error))

    def test_failed_program_is_closed_and_its_error_reported(self):
        """Guards against a control member that keeps running after its disk failed."""
        program = FakeProgram(failure=StorageError("the disk is full", "free space"))
        error = self.assertRaises(StorageError, run_program, program, "the control member")
        self.assertIn("free space", str(error))
        self.assertTrue(program.closed)

    def test_port_in_use_gives_one_line(self):
        """Guards against a program that prints a traceback when its port is in use."""
        with socket.create_server(("127.0.0.1", 0)) as taken:
            listen = f"127.0.0.1:{taken.getsockname()[1]}"
            flags = ["--target-id", "t", "--service", "ledger", "--failure-domain", "a", "--listen", listen]
            result = run_cli("target", *flags, "--control", "127.0.0.1:1")
        self.assertEqual((1, 1), (result.code, result.err.count("\n")), result.err)
        self.assertIn("choose another port", result.err)
