"""Tests of the operator API, its forwarding to the leader and the announcement parser."""

import asyncio
import json

import attrs
import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from cranberrylever.control import create_operator_app, parse_announcement
from cranberrylever.control_member import LeaderForwarder
from cranberrylever.errors import AnnouncementError, ProposalLostError
from cranberrylever.membership import Announcement
from tests.control.fakes import FakeService, call, serve
from tests.support import run_in_simulated_time

TICKET = b'number = 3\n[[failure_domain]]\nname = "a"\n'
CONFLICTING_TICKET = b'number = 3\n[[failure_domain]]\nname = "b"\n'
ANNOUNCEMENT = Announcement("t1", "ledger", "127.0.0.1:9000", "a", "i1", 3, 100)
TOKEN = [("Authorization", "Bearer secret")]


def announcement_bytes(**changes):
    return json.dumps({**attrs.asdict(ANNOUNCEMENT), **changes}).encode()


class OperatorApiTest(testtools.TestCase):
    def requests(self, app, *requests):
        """Send (method, path, body, headers) requests in order and return the responses."""

        async def main():
            return [await call(app, *request) for request in requests]

        return run_in_simulated_time(main)

    def test_ticket_outcomes(self):
        """Guards against a resent ticket reported as refused, and a conflicting one reported as accepted."""
        app = create_operator_app(FakeService(), "")
        path = "/v1/tickets"
        first, again, other, malformed, binary = self.requests(
            app,
            ("POST", path, TICKET),
            ("POST", path, TICKET),
            ("POST", path, CONFLICTING_TICKET),
            ("POST", path, b"number = 0"),
            ("POST", path, b"\xff"),
        )
        self.assertEqual((200, False), (first[0], first[1]["repeated"]))
        self.assertEqual((200, True), (again[0], again[1]["repeated"]))
        self.assertEqual(first[1]["index"], again[1]["index"])
        self.assertEqual(409, other[0])
        self.assertIn(first[1]["digest"], other[1]["error"])
        self.assertEqual([422, 422], [malformed[0], binary[0]])
        for _, content in (other, malformed, binary):
            self.assertTrue(content["error"] and content["remedy"])

    def test_reading(self):
        """Guards against a read that returns a wrong status or content."""
        app = create_operator_app(FakeService(), "")
        answers = self.requests(
            app,
            ("POST", "/v1/tickets", TICKET),
            ("GET", "/v1/tickets"),
            ("GET", "/v1/tickets/3"),
            ("GET", "/v1/tickets/4"),
            ("GET", "/v1/tickets/x"),
            ("GET", "/v1/configuration"),
            ("GET", "/v1/status"),
            ("GET", "/healthz"),
            ("GET", "/readyz"),
            ("GET", "/nowhere"),
            ("DELETE", "/v1/tickets"),
        )
        self.assertEqual(
            [200, 200, 200, 404, 422, 200, 200, 200, 200, 404, 405], [status for status, _ in answers]
        )
        self.assertEqual([3], [ticket["number"] for ticket in answers[1][1]])
        self.assertEqual(TICKET.decode(), answers[2][1]["text"])
        self.assertEqual("a", answers[5][1]["failure_domains"][0]["name"])
        self.assertEqual(3, answers[6][1]["accepted_ticket"])

    def test_token(self):
        """Guards against an endpoint that changes or returns state without the token."""
        service = FakeService()
        app = create_operator_app(service, "secret")
        invalid = ["", "secret", "Bearer", "Bearer secre", "Bearer secret2", "bearer secret", "Bearer \xff"]
        protected = [
            ("POST", "/v1/tickets", TICKET),
            ("GET", "/v1/tickets", b""),
            ("GET", "/v1/tickets/3", b""),
            ("GET", "/v1/configuration", b""),
            ("GET", "/v1/status", b""),
            ("POST", "/v1/announce", announcement_bytes()),
        ]
        for request in protected:
            headers = [()] + [[("Authorization", value)] for value in invalid]
            answers = self.requests(app, *((*request, header) for header in headers))
            self.assertEqual({401}, {status for status, _ in answers}, request[1])
        self.assertEqual(({}, []), (service.registry.history, service.announced))
        answers = self.requests(app, *((*request, TOKEN) for request in protected))
        self.assertEqual({200}, {status for status, _ in answers})
        open_answers = self.requests(app, ("GET", "/healthz"), ("GET", "/readyz"))
        self.assertEqual([200, 200], [status for status, _ in open_answers])

    def test_oversized_bodies_are_refused(self):
        """Guards against a request body that exhausts the memory of control."""
        app = create_operator_app(FakeService(), "")
        answers = self.requests(
            app,
            ("POST", "/v1/tickets", b"#" * 2_000_000),
            ("POST", "/v1/announce", b"#" * 100_000),
            ("GET", "/v1/status", b"x"),
        )
        self.assertEqual([422, 422, 422], [status for status, _ in answers])

    def test_unknown_outcome_and_missing_leader_answer_503(self):
        """Guards against a ticket reported as refused although it may be committed."""
        service = FakeService(is_leader=False)
        app = create_operator_app(service, "", LeaderForwarder({"c2": "127.0.0.1:1"}.get))
        answers = self.requests(app, ("POST", "/v1/tickets", TICKET), ("GET", "/readyz"))

        async def lose_proposal(text):
            raise ProposalLostError("leadership changed", "send the same ticket again")

        service.submit_ticket = lose_proposal
        answers += self.requests(app, ("POST", "/v1/tickets", TICKET))
        self.assertEqual([503, 503, 503], [status for status, _ in answers])


class ForwardingTest(testtools.TestCase):
    def test_follower_passes_requests_to_the_leader(self):
        """Guards against operators and targets that have to know which member leads."""

        async def main():
            leader = FakeService()
            async with serve(create_operator_app(leader, "secret")) as address:
                forwarder = LeaderForwarder({"c1": address}.get)
                app = create_operator_app(FakeService("c1", is_leader=False), "secret", forwarder)
                accepted = await call(app, "POST", "/v1/tickets", TICKET, TOKEN)
                refused = await call(app, "POST", "/v1/tickets", CONFLICTING_TICKET, TOKEN)
                announced = await call(app, "POST", "/v1/announce", announcement_bytes(), TOKEN)
                unknown = await call(app, "GET", "/v1/tickets/77", b"", TOKEN)
                await forwarder.close()
            return accepted, refused, announced, unknown, leader.announced

        accepted, refused, announced, unknown, received = asyncio.run(main())
        self.assertEqual([200, 409, 200, 404], [accepted[0], refused[0], announced[0], unknown[0]])
        self.assertEqual(3, accepted[1]["number"])
        self.assertEqual([ANNOUNCEMENT], received)

    def test_two_followers_do_not_forward_in_a_loop(self):
        """Guards against a forwarding loop between members that each name the other as the leader."""

        async def main():
            addresses = {}
            services = [FakeService("c2", is_leader=False), FakeService("c1", is_leader=False)]
            forwarders = [LeaderForwarder(addresses.get) for _ in services]
            apps = [create_operator_app(services[n], "", forwarders[n]) for n in (0, 1)]
            async with serve(apps[0]) as first, serve(apps[1]) as second:
                for forwarder in forwarders:
                    forwarder.addresses = {"c1": first, "c2": second}
                answer = await call(apps[0], "POST", "/v1/tickets", TICKET)
                for forwarder in forwarders:
                    await forwarder.close()
            return answer

        status, content = asyncio.run(main())
        self.assertEqual(503, status)
        self.assertIn("not the leader", content["error"])

    def test_unreachable_leader_answers_503(self):
        """Guards against a failed forwarding reported as a refusal of the ticket."""

        async def main():
            async with serve(create_operator_app(FakeService(), "")) as address:
                pass
            forwarder = LeaderForwarder({"c1": address}.get)
            app = create_operator_app(FakeService("c1", is_leader=False), "", forwarder)
            answer = await call(app, "POST", "/v1/tickets", TICKET)
            await forwarder.close()
            return answer

        status, content = asyncio.run(main())
        self.assertEqual(503, status)
        self.assertIn("again", content["remedy"])


class AnnouncementTest(testtools.TestCase):
    def test_valid_announcement_with_a_field_of_a_later_version(self):
        """Guards against a control member that refuses the announcements of newer targets."""
        data = announcement_bytes(colour="red")
        self.assertEqual(ANNOUNCEMENT, parse_announcement(data).unwrap())

    def test_wrong_fields_are_refused(self):
        """Guards against invalid values in the replicated state, which later decisions do not handle."""
        cases = {
            "target_id": ["", "a b", 3, None, "x" * 65],
            "address": ["", "127.0.0.1", "host:1", "127.0.0.1:0", "::1:80"],
            "slots": [0, -1, True, "3", 10**9, 1.5],
            "cold_capacity": [-1],
            "weight": [0, -1.0, "1", 1e300],
            "leaving": [1, "no"],
        }
        for field, values in cases.items():
            for value in values:
                error = parse_announcement(announcement_bytes(**{field: value})).unwrap_err()
                self.assertIn(field, str(error))
                self.assertNotIn("\n", str(error))

    def test_refused_announcement_answers_422(self):
        """Guards against a refused announcement that is reported as accepted or without a remedy."""
        app = create_operator_app(FakeService(), "")
        status, content = run_in_simulated_time(
            lambda: call(app, "POST", "/v1/announce", announcement_bytes(service="unknown"))
        )
        self.assertEqual((422, "create it by a ticket"), (status, content["remedy"]))

    def test_arbitrary_bytes_raise_only_announcement_errors(self):
        """Guards against an announcement that raises any other exception and stops a control member."""
        values = st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
            lambda inner: (
                st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner, max_size=3)
            ),
            max_leaves=5,
        )
        fields = st.dictionaries(
            st.sampled_from([field.name for field in attrs.fields(Announcement)]), values
        )

        @seed(1)
        @settings(max_examples=500, deadline=None, database=None)
        @given(
            st.binary(max_size=100)
            | values.map(lambda value: json.dumps(value).encode())
            | fields.map(lambda changes: announcement_bytes(**changes))
        )
        def parse_any(data):
            result = parse_announcement(data)
            if result.is_err():
                assert isinstance(result.unwrap_err(), AnnouncementError)
                assert "\n" not in str(result.unwrap_err())

        parse_any()

    def test_deep_nesting_is_refused(self):
        """Guards against nesting that exhausts the call stack of the JSON parser."""
        error = parse_announcement(b"[" * 60_000).unwrap_err()
        self.assertIn("not valid JSON", str(error))
