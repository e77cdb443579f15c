"""Tests of the ticket and status commands."""

import json
import tempfile
from pathlib import Path

import attrs
import testtools

import cranberrylever
from cranberrylever.operator_api import (
    ClusterStatus,
    ControlMemberStatus,
    EntryStatus,
    FailureDomainStatus,
    ServiceStatus,
    TargetStatus,
)
from cranberrylever.tickets import FailureDomainSpec, Ticket, TicketRegistry, ticket_digest
from tests.cli.support import FakeControl, run_cli, unused_address

TICKET = Ticket(7, failure_domain=(FailureDomainSpec("a", "withdrawn"),))
TEXT = 'number = 7\n[[failure_domain]]\nname = "a"\nstate = "withdrawn"\n'
DIGEST = ticket_digest(TICKET)
ACCEPTED = {"accepted": True, "repeated": False, "number": 7, "digest": DIGEST, "index": 12}
UNAVAILABLE = (503, {"error": "no leader", "remedy": "wait"})


class TicketCommandTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = str(Path(folder.name) / "ticket.toml")
        Path(self.file).write_text(TEXT)

    def submit(self, *addresses, options=()):
        return run_cli("ticket", "submit", self.file, "--control", ",".join(addresses), *options)

    def test_check(self):
        """Guards against an invalid or unreadable ticket that is reported as valid or gives a traceback."""
        self.assertEqual(f"ticket 7 is valid, digest {DIGEST}\n", run_cli("ticket", "check", self.file).out)
        Path(self.file).write_text("number = 1\ncolour = 3")
        result = run_cli("ticket", "check", self.file)
        self.assertEqual((2, ""), (result.code, result.out))
        self.assertIn("colour: is not a known field", result.err)
        Path(self.file).write_bytes(b"\xff")
        self.assertIn("is not UTF-8", run_cli("ticket", "check", self.file).err)
        self.assertEqual(2, run_cli("ticket", "check", self.file + ".missing").code)

    def test_submit_tries_the_next_member(self):
        """Guards against a command that fails because one member is down or has no leader."""
        with FakeControl(UNAVAILABLE) as follower, FakeControl((200, ACCEPTED)) as leader:
            result = self.submit(
                unused_address(), follower.address, leader.address, options=["--token", "secret"]
            )
        self.assertEqual((0, ""), (result.code, result.err))
        self.assertIn(f"ticket 7 accepted at index 12, digest {DIGEST}", result.out)
        self.assertEqual([("POST", "/v1/tickets", TEXT, "Bearer secret")], leader.requests)

    def test_submit_sends_the_same_ticket_again_after_a_lost_answer(self):
        """Guards against an accepted ticket that is reported as failed because its answer was lost."""
        with FakeControl(None, (200, {**ACCEPTED, "repeated": True})) as control:
            result = self.submit(control.address, options=["--json"])
        self.assertEqual(0, result.code)
        self.assertEqual({**ACCEPTED, "repeated": True}, json.loads(result.out))
        self.assertEqual([TEXT, TEXT], [body for _, _, body, _ in control.requests])

    def test_refusal_and_token_have_their_exit_codes(self):
        """Guards against a script that treats a refused ticket as accepted."""
        conflict = {"error": "number 7 was accepted with other content", "remedy": "take a higher number"}
        with FakeControl((409, conflict), (401, {}), (200, ACCEPTED)) as control:
            refused = self.submit(control.address)
            unauthorized = self.submit(control.address)
        self.assertEqual((4, 5), (refused.code, unauthorized.code))
        self.assertIn("other content; take a higher number", refused.err)
        self.assertEqual(2, len(control.requests))

    def test_unreachable_control_gives_one_line(self):
        """Guards against a command that does not end, or prints a traceback, when no member answers."""
        result = self.submit(unused_address(), options=["--timeout", "0.3"])
        self.assertEqual((3, 1), (result.code, result.err.count("\n")))
        self.assertIn("no control member answered within 0.3 s", result.err)
        self.assertIn("submit the same ticket again", result.err)

    def test_unexpected_response_is_not_reported_as_acceptance(self):
        """Guards against an error page of a proxy that is reported as an accepted ticket."""
        with FakeControl((200, ["hello"])) as control:
            result = self.submit(control.address)
        self.assertEqual((4, ""), (result.code, result.out))

    def test_status_that_does_not_exist_is_no_answer(self):
        """Guards against a ticket that is reported as refused by an answer that is none."""
        for status in (0, 99, 600):
            with FakeControl((status, {}), (200, ACCEPTED)) as control:
                self.assertEqual(0, self.submit(control.address).code, status)

    def test_submit_check_sends_nothing(self):
        """Guards against ``submit --check`` that submits the ticket."""
        with FakeControl((200, ACCEPTED)) as control:
            self.assertEqual(0, self.submit(control.address, options=["--check"]).code)
        self.assertEqual([], control.requests)

    def test_show_list_and_diff(self):
        """Guards against output that differs from the state, and a missing ticket reported as success."""
        registry = TicketRegistry()
        registry.accept(12, TICKET, TEXT)
        configuration = attrs.asdict(registry.configuration())
        shown = {"number": 7, "digest": DIGEST, "index": 12, "text": TEXT}
        summary = {"number": 7, "digest": DIGEST, "index": 12}
        with FakeControl(
            (200, shown), (200, configuration), (200, [summary]), (200, configuration), (404, {"error": "x"})
        ) as control:
            options = ["--control", control.address]
            self.assertEqual(TEXT, run_cli("ticket", "show", "7", *options).out)
            state = run_cli("ticket", "show", *options).out
            listed = run_cli("ticket", "list", *options).out
            Path(self.file).write_text('number = 8\n[[failure_domain]]\nname = "a"')
            changes = run_cli("ticket", "diff", self.file, *options).out
            missing = run_cli("ticket", "show", "9", *options)
        self.assertIn('number = 8\n\n[[failure_domain]]\nname = "a"\nstate = "withdrawn"', state)
        self.assertIn(f"7       12     {DIGEST[:12]}", listed)
        self.assertEqual('failure_domain a: state "withdrawn" -> "active"\n', changes)
        self.assertEqual(4, missing.code)


class StatusCommandTest(testtools.TestCase):
    def test_table_and_json(self):
        """Guards against a table that omits a member, entry, target, failure domain or service."""
        cluster = ClusterStatus(
            "c",
            "c1",
            term=4,
            accepted_ticket=9,
            in_force_ticket=8,
            members=(ControlMemberStatus("c1", "leader"), ControlMemberStatus("c2", "learner", 3, 0.25)),
            entries=(EntryStatus("e1", "127.0.0.1:80", "a", ticket=8, view_version=40),),
            targets=(TargetStatus("t1", "ledger", "127.0.0.1:90", "a", "warm", shards=51, drain=True),),
            failure_domains=(FailureDomainStatus("a", "withdrawn", targets=1),),
            services=(ServiceStatus("ledger", "keyed", 1024, owned=1000, releasing=4, free=20, moving=24),),
        )
        content = json.loads(json.dumps(attrs.asdict(cluster)))
        with FakeControl((200, {**content, "added_later": 1})) as control:
            table = run_cli("status", "--control", control.address)
            printed = run_cli("status", "--control", control.address, "--json")
        self.assertEqual({**content, "added_later": 1}, json.loads(printed.out))
        expected = [
            "cluster c, leader c1, term 4",
            "accepted ticket 9, in force at every entry 8",
            "learner",
            "0.25",
            "127.0.0.1:80",
            "warm",
            "withdrawn",
            "1000",
        ]
        for text in expected:
            self.assertIn(text, table.out)

    def test_version(self):
        """Guards against a printed version that differs from the version of the package."""
        self.assertEqual(f"{cranberrylever.__version__}\n", run_cli("version").out)
