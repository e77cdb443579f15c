"""Tests of the single-file executable."""

import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import pytest
import testtools

ROOT = Path(__file__).parent.parent
START_TIMEOUT_S = 30.0


def children_of(pid: int) -> list[int]:
    """Return the ids of the processes whose parent is ``pid``."""
    found = []
    for stat in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = stat.read_text().rsplit(")", 1)[1].split()
        except OSError:
            continue
        if int(fields[1]) == pid:
            found.append(int(stat.parent.name))
    return found


class BinaryTest(testtools.TestCase):
    @pytest.mark.timeout(600)
    def test_executable_serves_as_one_process(self):
        """Guards against a packager or library that starts a child process, which the platform forbids."""
        with tempfile.TemporaryDirectory() as folder:
            binary = Path(folder) / "cranberrylever"
            command = [
                sys.executable,
                "-m",
                "shiv",
                "-q",
                "-o",
                str(binary),
                "-e",
                "cranberrylever.cli:main",
                ".",
            ]
            subprocess.run(command, cwd=ROOT, check=True, capture_output=True)
            environment = {**os.environ, "SHIV_ROOT": folder}
            with subprocess.Popen(
                [str(binary), "dev"],
                env=environment,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
            ) as process:
                try:
                    lines = self.read_until(process, "curl -i")
                    self.assertEqual([], children_of(process.pid), lines)
                finally:
                    process.terminate()
                    output = process.stdout.read()
                self.assertEqual(0, process.wait(START_TIMEOUT_S), output)

    def read_until(self, process: subprocess.Popen, text: str) -> str:
        """Return the output up to the first line that contains ``text``."""
        lines = ""
        deadline = time.monotonic() + START_TIMEOUT_S
        while text not in lines and time.monotonic() < deadline:
            line = process.stdout.readline()
            if not line:
                break
            lines += line
        self.assertIn(text, lines)
        return lines
