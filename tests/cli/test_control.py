"""Tests of the operator commands against a control member in a separate process."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest.mock
from pathlib import Path

import testtools

from tests.cli.support import run_cli, unused_address

_EXAMPLES = Path(__file__).parents[2] / "tickets" / "examples"


class ControlTest(testtools.TestCase):
    def start_control(self, folder, http):
        peers = f"c1={unused_address()}/{http}"
        flags = ["--cluster-id", "c", "--member-id", "c1", "--peers", peers, "--data-dir", f"{folder}/c1"]
        command = [sys.executable, "-m", "cranberrylever", "control", *flags, "--log", f"{folder}/log"]
        process = subprocess.Popen([*command, "--bootstrap"])
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def test_tickets_and_status(self):
        """Guards against commands and control that differ in paths, response formats or exit codes."""
        http = unused_address()
        environment = {"CRANBERRYLEVER_TOKEN": "secret", "CRANBERRYLEVER_CONTROL_HTTP": http}
        with tempfile.TemporaryDirectory() as folder, unittest.mock.patch.dict(os.environ, environment):
            process = self.start_control(folder, http)
            outcomes = [
                run_cli("ticket", "submit", str(_EXAMPLES / name), "--json", "--timeout", "30")
                for name in ("canopy-gate.toml", "canopy-gate.toml", "canopy-gate-withdraw.toml")
            ]
            refused = run_cli("ticket", "submit", str(_EXAMPLES / "craft-registry-gateway.toml"))
            unauthorized = run_cli("status", "--token", "other")
            status = json.loads(run_cli("status", "--json").out)
            table = run_cli("status")
            shown = run_cli("ticket", "show", "2").out
            process.send_signal(signal.SIGTERM)
            self.assertEqual(0, process.wait(30))
        self.assertEqual([0, 0, 0], [outcome.code for outcome in outcomes])
        answers = [json.loads(outcome.out) for outcome in outcomes]
        self.assertEqual([False, True, False], [answer["repeated"] for answer in answers])
        self.assertEqual(answers[0]["index"], answers[1]["index"])
        self.assertEqual((4, 5, 0), (refused.code, unauthorized.code, table.code))
        self.assertEqual(2, status["accepted_ticket"])
        self.assertEqual((_EXAMPLES / "canopy-gate-withdraw.toml").read_text(), shown)
