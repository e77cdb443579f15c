"""Tests of settings, flags, environment variables and the configuration page."""

import os
import unittest.mock
from pathlib import Path

import attrs
import testtools
import typer.main
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from cranberrylever._cli._docs import configuration_page
from cranberrylever.cli import app
from cranberrylever.errors import SettingError
from cranberrylever.settings import (
    ControlSettings,
    EntrySettings,
    OperatorSettings,
    PeerAddress,
    TargetSettings,
    ValueProblemError,
    listen_address,
    load_settings,
    setting_fields,
    split_address,
)
from tests.cli.support import run_cli

CONTROL = {
    "cluster_id": "c",
    "member_id": "c1",
    "peers": ["c1=127.0.0.1:7001/127.0.0.1:8001,c2=127.0.0.1:7002/127.0.0.1:8002"],
    "data_dir": "data",
}
ENTRY = {"cluster_id": "c", "entry_id": "e1", "listen": "0.0.0.0:80", "control": ["127.0.0.1:7001"]}
TARGET = {
    "target_id": "t1",
    "service": "ledger",
    "listen": "127.0.0.1:0",
    "control": ["127.0.0.1:8001"],
    "failure_domain": "a",
}


class LoadSettingsTest(testtools.TestCase):
    def refusal(self, kind, given, environment=()):
        error = self.assertRaises(SettingError, load_settings, kind, given, dict(environment))
        self.assertNotIn("\n", str(error))
        return str(error)

    def test_flags_precede_variables_and_defaults(self):
        """Guards against a variable that overrides a flag, or a default that overrides a variable."""
        environment = {"CRANBERRYLEVER_DRAIN_DELAY": "2.5", "CRANBERRYLEVER_ENTRY_ID": "other"}
        loaded = load_settings(EntrySettings, ENTRY, environment)
        self.assertEqual(EntrySettings("c", "e1", "0.0.0.0:80", ("127.0.0.1:7001",), drain_delay=2.5), loaded)

    def test_peers_repeated_or_separated_by_commas(self):
        """Guards against a form of the peer list that is refused or gives other peers."""
        first = load_settings(ControlSettings, CONTROL, {})
        peers = CONTROL["peers"][0].split(",")
        second = load_settings(ControlSettings, {**CONTROL, "peers": peers}, {})
        third = load_settings(
            ControlSettings, {**CONTROL, "peers": None}, {"CRANBERRYLEVER_PEERS": CONTROL["peers"][0]}
        )
        self.assertEqual(first, second)
        self.assertEqual(first, third)
        self.assertEqual(PeerAddress("c1", "127.0.0.1:7001", "127.0.0.1:8001"), first.own_address)

    def test_wrong_settings_name_flag_value_and_remedy(self):
        """Guards against a program that starts with an invalid setting."""
        cases = [
            (
                ControlSettings,
                CONTROL,
                "cluster_id",
                None,
                "--cluster-id (CRANBERRYLEVER_CLUSTER_ID) is not set",
            ),
            (ControlSettings, CONTROL, "cluster_id", "a b", "'a b' is not an identifier"),
            (ControlSettings, CONTROL, "member_id", "c9", "'c9' is not the id of a peer; add --peers c9="),
            (ControlSettings, CONTROL, "peers", ["c1"], "'c1' is not id=rpc_address/http_address"),
            (ControlSettings, CONTROL, "peers", ["c1=host:1/127.0.0.1:2"], "IP address"),
            (
                ControlSettings,
                CONTROL,
                "peers",
                ["c1=127.0.0.1:1/127.0.0.1:1"],
                "'127.0.0.1:1' is duplicated",
            ),
            (ControlSettings, CONTROL, "peers", [","], "--peers (CRANBERRYLEVER_PEERS) is empty"),
            (ControlSettings, CONTROL, "peers", ["c1=127.0.0.1:1/10.0.0.1:2"], "10.0.0.1:2 is not loopback"),
            (ControlSettings, CONTROL, "data_dir", "", "--data-dir (CRANBERRYLEVER_DATA_DIR) '' is empty"),
            (ControlSettings, CONTROL, "token", "a b", "--token (CRANBERRYLEVER_TOKEN) (hidden) contains"),
            (ControlSettings, CONTROL, "log_level", "loud", "'loud' is not a log level; use one of debug"),
            (EntrySettings, ENTRY, "listen", "127.0.0.1", "'127.0.0.1' has no port; use an IP address"),
            (EntrySettings, ENTRY, "listen", "127.0.0.1:99999", "has no port from 0 to 65535"),
            (EntrySettings, ENTRY, "control", ["127.0.0.1:0"], "has no port from 1 to 65535"),
            (EntrySettings, ENTRY, "drain_delay", "nan", "'nan' is out of range; use a number from 0 to 600"),
            (TargetSettings, TARGET, "slots", "0", "'0' is out of range; use an integer from 1"),
            (TargetSettings, TARGET, "weight", "x", "'x' is out of range"),
            (OperatorSettings, {}, "control", None, "--control (CRANBERRYLEVER_CONTROL_HTTP) is not set"),
        ]
        for kind, valid, key, value, expected in cases:
            message = self.refusal(kind, {**valid, key: value})
            self.assertIn(expected, message)
            self.assertIn("; ", message)
        self.assertIn(
            "'maybe'", self.refusal(ControlSettings, CONTROL, [("CRANBERRYLEVER_BOOTSTRAP", "maybe")])
        )

    def test_token_allows_other_addresses(self):
        """Guards against a member with a token that can listen on loopback only."""
        given = {**CONTROL, "peers": ["c1=10.0.0.1:1/10.0.0.1:2"], "token": "secret"}
        self.assertEqual("10.0.0.1:2", load_settings(ControlSettings, given, {}).own_address.http)

    def test_arbitrary_texts_raise_only_setting_errors(self):
        """Guards against a traceback in place of a one-line error."""
        kinds = {ControlSettings: CONTROL, EntrySettings: ENTRY, TargetSettings: TARGET}
        texts = st.text(max_size=30) | st.text("0123456789.:[]/=,-e", max_size=30)

        @seed(1)
        @settings(max_examples=500, deadline=None, database=None)
        @given(st.sampled_from(list(kinds)), st.integers(0, 50), texts)
        def load_any(kind, position, text):
            fields = [field for field in setting_fields(kind) if not field.is_boolean]
            field = fields[position % len(fields)]
            try:
                load_settings(kind, {**kinds[kind], field.key: [text] if field.is_list else text}, {})
            except SettingError as error:
                assert field.flag in str(error) or kind is ControlSettings
                assert "\n" not in str(error)

        load_any()

    def test_addresses(self):
        """Guards against an IPv6 address split at the wrong colon, and an accepted malformed address."""
        self.assertEqual(("::1", 80), split_address("[::1]:80"))
        for text in ("::1:80", "[127.0.0.1]:80", "127.0.0.1:", "127.0.0.1:-1", "127.0.0.1:\u0663", ":80"):
            self.assertRaises(ValueProblemError, listen_address, text)


class CommandLineTest(testtools.TestCase):
    def test_check_validates_and_exits(self):
        """Guards against --check that starts the program or accepts an invalid setting."""
        flags = [
            "--cluster-id",
            "c",
            "--entry-id",
            "e",
            "--listen",
            "127.0.0.1:0",
            "--control",
            "127.0.0.1:1",
        ]
        self.assertEqual(
            (0, "the settings are valid\n"), attrs.astuple(run_cli("entry", *flags, "--check"))[:2]
        )
        result = run_cli("entry", *flags, "--check", "--drain-delay", "soon")
        self.assertEqual((2, ""), (result.code, result.out))
        self.assertEqual(1, result.err.count("\n"))
        self.assertIn("--drain-delay (CRANBERRYLEVER_DRAIN_DELAY) 'soon'", result.err)

    def test_variables_are_read(self):
        """Guards against an environment variable that is ignored or not validated."""
        environment = {
            "CRANBERRYLEVER_CLUSTER_ID": "c",
            "CRANBERRYLEVER_MEMBER_ID": "c1",
            "CRANBERRYLEVER_PEERS": CONTROL["peers"][0],
            "CRANBERRYLEVER_DATA_DIR": "data",
            "CRANBERRYLEVER_BOOTSTRAP": "true",
            "CRANBERRYLEVER_CHECK": "1",
        }
        with unittest.mock.patch.dict(os.environ, environment):
            self.assertEqual(0, run_cli("control").code)
        with unittest.mock.patch.dict(os.environ, {**environment, "CRANBERRYLEVER_BOOTSTRAP": "perhaps"}):
            self.assertIn("--bootstrap (CRANBERRYLEVER_BOOTSTRAP) 'perhaps'", run_cli("control").err)

    def test_help_shows_the_variable_of_every_flag(self):
        """Guards against a flag without an environment variable."""
        for name, command in typer.main.get_command(app).commands.items():
            for path in [
                (name, *sub) for sub in ([(sub,) for sub in getattr(command, "commands", ())] or [()])
            ]:
                text = " ".join(run_cli(*path, "--help").out.split())
                flags = [word for word in text.split() if word.startswith("--")]
                flags = {
                    flag.split("/")[0] for flag in flags if flag != "--help" and not flag.startswith("--no-")
                }
                self.assertEqual(len(flags), text.count("[env var: CRANBERRYLEVER_"), f"{path}: {flags}")

    def test_configuration_page_is_current(self):
        """Guards against a page that differs from the settings; run make docs to regenerate it."""
        page = (Path(__file__).parents[2] / "docs" / "configuration.md").read_text()
        self.assertEqual(configuration_page(), page)
