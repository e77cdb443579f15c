"""Tests of shell completion."""

import os
import subprocess
import sys

import testtools


class CompletionTest(testtools.TestCase):
    def test_commands_are_completed(self):
        """Guards against an installed completion script that receives no completions."""
        environment = {
            **os.environ,
            "_CRANBERRYLEVER_COMPLETE": "complete_bash",
            "COMP_WORDS": "cranberrylever ticket s",
            "COMP_CWORD": "2",
        }
        command = [sys.executable, "-m", "cranberrylever"]
        output = subprocess.run(command, env=environment, check=True, capture_output=True, text=True).stdout
        self.assertEqual(["submit", "show"], output.split())
