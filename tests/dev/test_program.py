"""Tests of the demonstration as a process."""

import os
import signal
import subprocess
import sys
import tempfile

import testtools


class StopTest(testtools.TestCase):
    def test_repeated_sigterm_does_not_cut_the_stop_short(self):
        """Guards against a demonstration that leaves its data behind, as its stop is cut short."""
        with tempfile.TemporaryDirectory() as folder:
            process = subprocess.Popen(
                [sys.executable, "-m", "cranberrylever", "dev"],
                env={**os.environ, "TMPDIR": folder},
                stdout=subprocess.PIPE,
                text=True,
            )
            self.addCleanup(process.stdout.close)
            self.addCleanup(process.wait)
            self.addCleanup(process.kill)
            self.read_until(process, "Ctrl-C")
            process.send_signal(signal.SIGTERM)
            self.read_until(process, "stopping")
            process.send_signal(signal.SIGTERM)
            self.assertEqual(0, process.wait(30))
            self.assertEqual([], os.listdir(folder))

    def read_until(self, process, prefix):
        for line in process.stdout:
            if line.startswith(prefix):
                return
        self.fail(f"no line {prefix!r} before the end")
