"""Tests of the decoding of settings files, configurations, heartbeats and headers."""

import importlib
import json
import sys

import testtools

from cranberrylever.errors import SettingError
from cranberrylever.route_entry import LoadSample
from cranberrylever.route_plan import Customer, key_digest, plan_problem
from tests.platform import ROOT
from tests.platform.fakes import configuration

config_document = importlib.import_module("config_document")
settings_file = importlib.import_module("settings_file")
call_headers = importlib.import_module("call_headers")

ENTRY_FILE = """node=edge-puget-1
ip=10.1.0.10
zone=puget
zones.puget=cascadia
zones.olympic=cascadia
listen.front=10.1.0.10:8161
listen.ready=10.1.0.10:8167
port_range=7720,7735
seeds=10.1.0.13:8166,10.2.0.43:8166
bounds=grace_s=6,retry_ratio=0.2,retry_window_s=10,retry_slack=56,warmup_excess=1.5,warmup_slack=5
a.field.of.tomorrow=x
"""
CONTROL_FILE = """node=core-1
ip=10.1.0.13
listen.control=10.1.0.13:8166
port_range=7720,7735
seeds=10.1.0.13:8166,10.2.0.43:8166
bootstrap=true
data_dir=/data/x
heartbeat_s=0.87
"""
HEARTBEAT = {
    "service": "s",
    "addr": "10.0.0.1:80",
    "zone": "puget",
    "version": "v1",
    "max_concurrency": 3,
    "state": "ready",
    "warmup_s_time": 0.5,
    "seq": 4,
    "born": 1767250972000,
}
FAILURE_DOMAINS = frozenset({"puget"})


class CustomersTest(testtools.TestCase):
    @staticmethod
    def document(**tenant):
        document = configuration(1, "ledger", "desk")
        document["tenants"] = [{"name": "x", "api_keys": ["secret-1"], **tenant}]
        document["routes"][1]["public"] = True
        return document

    def read(self, document):
        return config_document.read_plan(json.dumps(document).encode())

    def test_customers_are_read_with_digests_of_their_keys(self):
        """Guards against a limit of 0 that refuses all, and against keys in the fields of a plan."""
        digests = (key_digest(b"secret-1"),)
        for fields, rest in (
            ({}, (None, None, 0.0)),
            ({"rate_per_s": 0}, (None, None, 0.0)),
            ({"rate_per_s": 0, "burst": 4}, (None, None, 0.0)),
            ({"priority": 0, "rate_per_s": 2.5, "burst": 4}, (0, 2.5, 4.0)),
        ):
            plan = self.read(self.document(**fields))
            assert plan.customers == (Customer("x", digests, *rest),)
            assert [route.public for route in plan.routes] == [False, True]
            assert plan_problem(plan) is None
            assert "secret" not in repr(plan)

    def test_unreadable_keys_are_rejected_without_naming_them(self):
        """Guards against a key in an error, which the operator's tools log."""
        for tenants in ("secret-1", ["secret-1"], [{"name": "x", "api_keys": "secret-1"}]):
            error = self.assertRaises(
                config_document.UnreadableError, self.read, {**self.document(), "tenants": tenants}
            )
            assert "secret" not in str(error)


class RevocationTimeTest(testtools.TestCase):
    def test_bound_is_set_where_it_is_strict_only(self):
        """Guards against removed keys in strict deployments, and against refusals in all others."""
        for bounds, seconds in (
            ("", 0.0),
            (",revoke_s=5", 0.0),
            (",strict_revoke=false,revoke_s=5", 0.0),
            (",strict_revoke=true,revoke_s=5", 5.0),
        ):
            text = ENTRY_FILE.replace("grace_s=6", "grace_s=6" + bounds)
            fields = dict(line.split("=", 1) for line in text.splitlines())
            assert settings_file.entry_settings(fields).revocation_time == seconds, bounds


class RouteKindTest(testtools.TestCase):
    def test_plan_with_uploads_is_not_rejected(self):
        document = configuration(1, "ledger", "desk")
        document["routes"][1]["type"] = "upload"
        plan = config_document.read_plan(json.dumps(document).encode())
        self.assertFalse(plan.routes[1].idempotent)

    def test_only_uploads_are_marked_as_large(self):
        """Guards against uploads that targets get without a limit, and other requests that are limited."""
        document = configuration(1, "ledger", "desk")
        document["routes"][1]["type"] = "upload"
        plan = config_document.read_plan(json.dumps(document).encode())
        self.assertEqual([False, True], [route.large_bodies for route in plan.routes])


class SettingsFileTest(testtools.TestCase):
    def read(self, text):
        path = f"{self.useTempDir()}/settings.conf"
        with open(path, "w") as file:
            file.write(text)
        return settings_file.read_fields(path)

    def useTempDir(self):  # noqa: N802 - named like the methods of testtools
        import tempfile

        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name

    def test_entry(self):
        """Guards against bounds or addresses that are assigned to the wrong settings."""
        settings = settings_file.entry_settings(self.read(ENTRY_FILE))
        assert settings.listen == "10.1.0.10:8161"
        assert settings.contacts == ("10.1.0.13:7720", "10.2.0.43:7720")
        assert (settings.rules.cold_factor, settings.rules.retry_extra) == (1.5, 56.0)
        assert settings.failure_domain == "puget"
        assert settings.peer_listen == "10.1.0.10:7721"

    def test_limits_on_memory_fit_into_the_machine(self):
        """Guards against an entry that is killed because its limits are above the memory of its machine."""
        for megabytes in (136, 160, 200, 300, 440, 1_000):
            text = f"{ENTRY_FILE}limits.memory_mb={megabytes}\n"
            settings = settings_file.entry_settings(self.read(text))
            copies = settings_file.BODY_COPIES
            needed = settings_file.ENTRY_BASE_MEMORY + settings.answer_memory + copies * settings.body_memory
            assert needed <= megabytes * 1_000_000, (megabytes, settings)
            assert settings.body_memory >= 8_000_000, (megabytes, settings)

    def test_unknown_memory_leaves_the_limits_at_their_defaults(self):
        """Guards against an entry that does not start because its file states no memory."""
        for text in ("", "limits.memory_mb=\n", "limits.memory_mb=inf\n", "limits.memory_mb=nan\n"):
            settings = settings_file.entry_settings(self.read(ENTRY_FILE + text))
            self.assertEqual(96 * 1_048_576, settings.answer_memory)

    def test_requests_have_the_grace_period_to_finish(self):
        """Guards against requests cut off long before the process is killed, or accepted until then."""
        for grace in (1, 2, 3, 4.5, 6, 8, 10, 15, 20, 60):
            settings = settings_file.entry_settings(self.read(f"{ENTRY_FILE}bounds=grace_s={grace}\n"))
            stop = settings.drain_delay + settings.finish_timeout
            assert 5 / 6 * grace < stop < grace, (grace, stop)
            assert settings.drain_delay < 3.0, (grace, settings.drain_delay)

    def test_control(self):
        """Guards against a founding member whose own RPC address is not among the founders."""
        settings = settings_file.control_settings(self.read(CONTROL_FILE))
        assert settings.rpc in settings.founders
        assert settings.bootstrap

    def test_stated_losses_are_read(self):
        """Guards against a control group that is too small for the losses that the file states."""
        zones = "".join(f"zones.{zone}={region}\n" for zone, region in zip("abcde", "xxyyz", strict=True))
        cases = {
            "tolerate.nodes=2\ntolerate.zones=1\ntolerate.regions=0\n": (2, 1),
            "tolerate.nodes=1\ntolerate.zones=1\ntolerate.regions=1\n": (1, 2),
            "tolerate.nodes=1\ntolerate.zones=3\ntolerate.regions=1\n": (1, 3),
            "tolerate.nodes=x\n": (0, 0),
            "": (0, 0),
        }
        for text, losses in cases.items():
            settings = settings_file.control_settings(self.read(CONTROL_FILE + zones + text))
            self.assertEqual(losses, (settings.tolerated_instances, settings.tolerated_domains), text)

    def test_missing_field_is_named(self):
        """Guards against a start without an address, and an error that does not name the field."""
        error = self.assertRaises(SettingError, settings_file.control_settings, {"ip": "10.0.0.1"})
        assert "port_range" in str(error) or "listen.control" in str(error)

    def test_invalid_field_is_named(self):
        """Guards against an entry without control members, and a traceback that does not name the field."""
        for bad, field in (
            ("seeds=,", "seeds"),
            ("seeds=10.1.0.13", "seeds"),
            ("seeds=core-1:8166", "seeds"),
            ("port_range=x", "port_range"),
        ):
            fields = self.read(f"{ENTRY_FILE}{bad}\n")
            error = self.assertRaises(SettingError, settings_file.entry_settings, fields)
            assert field in error.message, (bad, error.message)

    def test_file_that_is_no_text_is_refused(self):
        """Guards against a traceback that does not name the file."""
        path = f"{self.useTempDir()}/settings"
        with open(path, "wb") as file:
            file.write(b"node=\xff\n")
        error = self.assertRaises(SettingError, settings_file.read_fields, path)
        assert path in error.message, error.message

    def test_standard_module_is_not_shadowed(self):
        """Guards against platform/ shadowing the standard module ``platform``."""
        assert not (ROOT / "platform" / "__init__.py").exists()
        assert "python" in sys.modules.get("platform", importlib.import_module("platform")).__file__


class ConfigurationTest(testtools.TestCase):
    def test_configuration(self):
        """Guards against fields of routes and services that are swapped."""
        body = json.dumps(configuration(7, "ledger", "desk")).encode()
        plan = config_document.read_plan(body)
        assert (plan.number, plan.source) == (7, body)
        assert [route.idempotent for route in plan.routes] == [True, False]
        assert plan.routes[0].objective == 0.5
        assert [service.keyed for service in plan.services] == [True, False]
        assert plan.services[0].cold_rate == 9.9

    def test_split(self):
        """Guards against a traffic split that loses its weights."""
        document = configuration(7, "ledger", "desk")
        del document["routes"][0]["service"]
        document["routes"][0]["split"] = [
            {"service": "ledger", "weight": 90},
            {"service": "desk", "weight": 10},
        ]
        plan = config_document.read_plan(json.dumps(document).encode())
        assert [(share.service, share.weight) for share in plan.routes[0].shares] == [
            ("ledger", 90.0),
            ("desk", 10.0),
        ]

    def test_unreadable_configuration_is_refused(self):
        """Guards against a partly decoded configuration; truncated and mistyped documents are rejected."""
        valid = json.dumps(configuration(7, "ledger", "desk")).encode()
        unreadable = [valid[: len(valid) // 2], b"[]", b"", b"\xff"]
        for change in ({"version": 7}, {"version": "7x"}, {"routes": {}}, {"limits": 3}):
            unreadable.append(json.dumps({**configuration(7, "ledger", "desk"), **change}).encode())
        for body in unreadable:
            self.assertRaises(config_document.UnreadableError, config_document.read_plan, body)

    def test_version(self):
        """Guards against versions that are compared as text, where r9 is above r12."""
        assert config_document.read_version("r12", "x") > config_document.read_version("r9", "x")
        assert config_document.read_version("0", "x") == 0


class HeartbeatTest(testtools.TestCase):
    def test_heartbeat(self):
        """Guards against reading the remaining cold time as the duration of a finished warm-up."""
        announcement, _ = config_document.read_heartbeat(
            "i-1", json.dumps(HEARTBEAT).encode(), FAILURE_DOMAINS
        )
        assert (announcement.target_id, announcement.started_ms, announcement.cold_for) == (
            "i-1",
            1767250972000,
            0.5,
        )
        assert not announcement.draining

    def test_invalid_heartbeats_are_rejected(self):
        """Guards against a target that is recorded from malformed or forged bytes."""
        changes = [
            {"service": None},
            {"addr": "nowhere"},
            {"zone": "mars"},
            {"state": "asleep"},
            {"max_concurrency": "3"},
            {"max_concurrency": 0},
            {"seq": True},
            {"born": 1.5},
            {"born": None},
            {"warmup_s_time": "0"},
            {"version": 1},
        ]
        bodies = [json.dumps({**HEARTBEAT, **change}).encode() for change in changes]
        for body in [*bodies, b"", b"{", b"[1]", b"\xff\xfe"]:
            self.assertRaises(
                config_document.UnreadableError,
                config_document.read_heartbeat,
                "i-1",
                body,
                FAILURE_DOMAINS,
            )


class HeaderTest(testtools.TestCase):
    FORMAT = call_headers.PlatformFormat()

    def test_call(self):
        """Guards against a deadline that is not converted from milliseconds to seconds."""
        call = self.FORMAT.read_call(
            [
                (b"cranberrylever-request-id", b"9c41"),
                (b"cranberrylever-deadline-ms", b"1200"),
                (b"cranberrylever-shard-key", b"65535"),
            ]
        )
        assert (call.request_id, call.deadline, call.key) == (b"9c41", 1.2, 65_535)

    def test_unreadable_values_count_as_missing(self):
        """Guards against a request that fails because its caller sent an invalid header."""
        call = self.FORMAT.read_call(
            [(b"cranberrylever-deadline-ms", b"-1"), (b"cranberrylever-shard-key", b"70000")]
        )
        assert (call.request_id, call.deadline, call.key) == (b"", None, None)

    def test_target_headers_carry_the_remaining_deadline(self):
        """Guards against a target that continues work after its caller's deadline."""
        headers = dict(
            self.FORMAT.target_headers([(b"cranberrylever-deadline-ms", b"1200"), (b"x", b"y")], "i-1", 0.7)
        )
        assert headers[b"cranberrylever-deadline-ms"] == b"700"
        assert headers[b"cranberrylever-target-instance"] == b"i-1"
        assert headers[b"x"] == b"y"

    def test_customer_of_a_caller_is_dropped_also_with_underscores(self):
        """Guards against a name that a caller made up, at targets and entries that fold underscores."""
        names = (b"cranberrylever-tenant", b"cranberrylever_tenant", b"Cranberrylever_Tenant")
        headers = [*((name, b"y") for name in names), (b"x_y", b"z")]
        to_target = self.FORMAT.target_headers(headers, "i-1", 0.7, "x")
        to_peer = self.FORMAT.peer_headers(headers, 0.7)
        assert [value for name, value in to_target if name.lower().endswith(b"tenant")] == [b"x"]
        assert not [value for name, value in to_peer if name.lower().endswith(b"tenant")]
        assert (b"x_y", b"z") in to_target and (b"x_y", b"z") in to_peer

    def test_answer(self):
        """Guards against a refused request that counts as run, and a run request that counts as refused."""
        read = self.FORMAT.read_answer
        assert read(503, [(b"cranberrylever-not-executed", b"1")]).did_not_run
        assert read(421, []).did_not_run
        assert not read(503, []).did_not_run
        answer = read(
            200,
            [
                (b"cranberrylever-upstream-signature", b"s"),
                (b"cranberrylever-upstream-load", b"3,1,8,250"),
            ],
        )
        assert answer.is_genuine
        assert answer.load == LoadSample(3, 1, 8, 2.5)
        assert read(200, [(b"cranberrylever-upstream-load", b"garbage")]).load is None

    def test_rate_limit_of_an_answer(self):
        """Guards against a limit that is not read, and against text that is read as a limit."""
        for value, rate in ((b"3", 3.0), (b"1.3", 1.3), (b"0", 0.0)):
            assert self.FORMAT.read_answer(200, [(b"server-limit", value)]).rate_limit == rate
        for value in (b"", b".", b"nan", b"-1", b"1e9", b"1.2.3", b"9" * 40):
            assert self.FORMAT.read_answer(200, [(b"server-limit", value)]).rate_limit is None, value
        assert self.FORMAT.read_answer(200, []).rate_limit is None

    def test_leaving_and_pause_of_an_answer(self):
        """Guards against requests to a target whose answers say that it leaves or wants none for a while."""
        answer = call_headers.PlatformFormat().read_answer
        stated = answer(200, [(b"server-leaving", b"1"), (b"retry-after", b"3")])
        assert stated.is_leaving
        assert stated.rest_time is None
        assert not answer(200, [(b"server-leaving", b"0")]).is_leaving
        seconds = {
            b"2": 2.0,
            b" 1.5 ": 1.5,
            b"31536000": 31_536_000.0,
            b"-1": None,
            b"nan": None,
            b"soon": None,
            b"": None,
            b"1" * 40: None,
            b"Wed, 21 Oct 2026 07:28:00 GMT": None,
        }
        for value, expected in seconds.items():
            assert answer(503, [(b"retry-after", value)]).rest_time == expected, value
        assert answer(429, [(b"retry-after", b"2")]).rest_time is None


class KeyReportTest(testtools.TestCase):
    def read(self, **fields):
        body = json.dumps({**HEARTBEAT, **fields}).encode()
        return config_document.read_heartbeat("i-1", body, FAILURE_DOMAINS)[1]

    def test_keys_of_a_heartbeat(self):
        """Guards against a target whose held and released keys are not known."""
        report = self.read(holds=[[0, 4095, 7]], freed=[[4096, 8191, "5c0e7a21d94b36f8"], [9, 9, ""]])
        assert [(item.first, item.last, item.fence) for item in report.held] == [(0, 4095, 7)]
        assert [(item.first, item.handover) for item in report.released] == [
            (4096, "5c0e7a21d94b36f8"),
            (9, ""),
        ]
        assert self.read() is None
        assert self.read(holds=[]).held == ()

    def test_unreadable_keys_are_refused(self):
        """Guards against a heartbeat of another writer that changes what is known about keys."""
        rows = [
            [0, 1],
            [0, 1, "7"],
            [0, 1, 7, 8],
            [0, 1, True],
            [0, 1, 7.0],
            [-1, 1, 7],
            [2, 1, 7],
            [0, 65_536, 7],
            [0, 1, -7],
            {"from": 0},
            None,
        ]
        for row in rows:
            error = self.assertRaises(config_document.UnreadableError, self.read, holds=[row])
            assert "holds" in str(error), row
        for freed in ([[0, 1, 7]], [[0, 1, "x" * 65]], [[0, 1, "a\r\nb"]], "all", 7, {}):
            self.assertRaises(config_document.UnreadableError, self.read, freed=freed)
        self.assertRaises(config_document.UnreadableError, self.read, holds=[[0, 1, 7]] * 100_000)
