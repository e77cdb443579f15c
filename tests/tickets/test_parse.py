"""Tests of the ticket parser, the digest and the examples."""

from pathlib import Path

import attrs
import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from cranberrylever.errors import TicketError
from cranberrylever.routing import KeySource
from cranberrylever.tickets import (
    FailureDomainSpec,
    ServiceSpec,
    TargetSpec,
    Ticket,
    TicketRegistry,
    describe_changes,
    format_configuration,
    format_ticket,
    parse_ticket,
    ticket_digest,
)

_EXAMPLES = Path(__file__).parents[2] / "tickets" / "examples"

_SERVICE = 'number = 1\n[[service]]\nname = "ledger"\nkind = "keyed"\n'

_fragments = st.sampled_from(
    [
        "number = 1\n",
        "number = -3\n",
        "number = true\n",
        "number = 1e3\n",
        "number = 99999999999999999999\n",
        "[[service]]\n",
        "[service]\n",
        "[[failure_domain]]\n",
        "[[target]]\n",
        'name = "ledger"\n',
        'name = ""\n',
        "name = 7\n",
        'kind = "keyed"\n',
        'kind = "pooled"\n',
        "shards = 1024\n",
        "shards = 1000\n",
        "key = { segment = 0 }\n",
        'key = { header = "Build", segment = 3 }\n',
        "key = 3\n",
        "retry_ratio = nan\n",
        "retry_ratio = 1\n",
        "deadline_ms = 2024-01-01\n",
        "max_body_bytes = inf\n",
        'idempotent = ["POST /x", 3]\n',
        'idempotent = "POST /x"\n',
        'state = "withdrawn"\n',
        'state = "gone"\n',
        'id = "t1"\n',
        "drain = true\n",
        "drain = 1\n",
        '"a\\nb" = 1\n',
        "x = [[[[1]]]]\n",
        "\x00",
        "=",
        '"""',
    ]
)


class ParseTest(testtools.TestCase):
    def error_text(self, text):
        error = parse_ticket(text).unwrap_err()
        self.assertNotIn("\n", str(error))
        return str(error)

    def test_defaults(self):
        """Guards against omitted fields that are refused or get other values than their defaults."""
        ticket = parse_ticket(_SERVICE).unwrap()
        self.assertEqual(Ticket(1, (ServiceSpec("ledger", "keyed"),)), ticket)

    def test_refusals_name_place_and_remedy(self):
        """Guards against a refusal that does not name the wrong field of a long ticket."""
        cases = {
            "x": "not valid TOML",
            'target = [{ id = "t" }]': "number: is missing",
            "number = 1": "changes no object",
            _SERVICE
            + "shard = 4": "service[1].shard: is not a known field; remove it or use one of name, kind",
            _SERVICE + "shards = 1000": "service[1].shards: 1000 is not allowed; use a power of two",
            _SERVICE + "shards = true": "service[1].shards: must be an integer, found True",
            _SERVICE + "key.segment = 1": "service[1].key.segment: 1 is not allowed",
            _SERVICE + 'key.headers = "K"': "service[1].key.headers: is not a known field",
            _SERVICE + "idempotent = [1]": "service[1].idempotent[1]: must be a string",
            _SERVICE + "retry_ratio = 1.5": "service[1].retry_ratio: 1.5 is not allowed; use 0.0 to 1.0",
            _SERVICE + _SERVICE[11:]: "service[2].name: 'ledger' occurs twice",
            'number = 1\n[service]\nname = "a"': "service: must be a list",
            "number = 1\n[[target]]\ndrain = true": "target[1].id: is missing",
            'number = 1\n[[failure_domain]]\nname = "a"\nstate = "off"': "failure_domain[1].state: 'off'",
            'number = 1\n[[service]]\nname = "a"\nkind = "pooled"\nshards = 8': "only keyed services",
        }
        for text, expected in cases.items():
            self.assertIn(expected, self.error_text(text), text)

    def test_oversized_ticket_is_refused(self):
        """Guards against a ticket that makes the replicated log too large."""
        self.assertIn("larger than", self.error_text("#" * 2_000_000))

    def test_deep_nesting_is_refused(self):
        """Guards against nesting that exhausts the call stack of the TOML parser."""
        self.assertIn("not valid TOML", self.error_text("x = " + "[" * 100_000))

    def test_arbitrary_text_raises_only_ticket_errors(self):
        """Guards against a ticket that raises any other exception and stops a control member."""

        @seed(1)
        @settings(max_examples=500, deadline=None, database=None)
        @given(st.one_of(st.text(max_size=200), st.lists(_fragments, max_size=10).map("".join)))
        def parse_any(text):
            result = parse_ticket(text)
            if result.is_err():
                assert isinstance(result.unwrap_err(), TicketError)
                assert "\n" not in str(result.unwrap_err())
            else:
                TicketRegistry().accept(1, result.unwrap(), text)

        parse_any()

    def test_digest_depends_on_content_only(self):
        """Guards against a digest that depends on the layout of a ticket or misses a change of content."""
        first = parse_ticket('number = 1\n[[target]]\nid = "a"\n[[target]]\nid = "b"\ndrain = true').unwrap()
        same = parse_ticket('# x\nnumber=1\ntarget=[{drain=true,id="b"},{id="a",drain=false}]').unwrap()
        other = parse_ticket('number=1\ntarget=[{drain=true,id="a"},{id="b",drain=false}]').unwrap()
        self.assertEqual(ticket_digest(first), ticket_digest(same))
        self.assertNotEqual(ticket_digest(first), ticket_digest(other))

    def test_formatted_ticket_parses_to_the_same_ticket(self):
        """Guards against formatted tickets that cannot be submitted again."""
        ticket = parse_ticket(
            _SERVICE + 'key = { header = "Build" }\nidempotent = ["POST /a\\"b"]\nretry_ratio = 0.25\n'
            '[[failure_domain]]\nname = "x"\nstate = "withdrawn"\n[[target]]\nid = "t"\ndrain = true'
        ).unwrap()
        self.assertEqual(ticket, parse_ticket(format_ticket(ticket)).unwrap())


class ExamplesTest(testtools.TestCase):
    def test_examples_are_accepted_in_order(self):
        """Guards against examples that no longer fit the schema."""
        for user in ("canopy-gate", "craft-registry-gateway"):
            registry = TicketRegistry()
            for index, suffix in enumerate(("", "-withdraw", "-return"), start=1):
                text = (_EXAMPLES / f"{user}{suffix}.toml").read_text()
                outcome = registry.accept(index, parse_ticket(text).unwrap(), text)
                self.assertTrue(outcome.accepted, outcome.error)
            self.assertEqual(2, len(registry.services))
            self.assertEqual({"active"}, {spec.state for spec in registry.failure_domains.values()})
        self.assertEqual(6, len(list(_EXAMPLES.glob("*.toml"))))


class FormatTest(testtools.TestCase):
    def test_changes_and_state(self):
        """Guards against a description of changes that omits one."""
        registry = TicketRegistry()
        registry.accept(1, Ticket(3, (ServiceSpec("ledger", "keyed"),), (FailureDomainSpec("a"),)), "")
        ticket = Ticket(
            4,
            (ServiceSpec("ledger", "keyed", deadline_ms=5),),
            (FailureDomainSpec("a"),),
            (TargetSpec("t", drain=True),),
        )
        configuration = registry.configuration()
        expected = ["service ledger: deadline_ms 10000 -> 5", "target t: new", 'target t: id = "t"']
        self.assertEqual([*expected, "target t: drain = true"], describe_changes(ticket, configuration))
        state = parse_ticket(format_configuration(configuration)).unwrap()
        self.assertEqual(4, state.number)
        self.assertEqual([], describe_changes(state, configuration))


class SchemaPageTest(testtools.TestCase):
    def test_page_lists_every_field(self):
        """Guards against a field that is missing in the documentation of tickets."""
        page = (Path(__file__).parents[2] / "docs" / "tickets.md").read_text()
        tables = {
            "top": [field for field in attrs.fields(Ticket) if field.type is int],
            "`[[service]]`": attrs.fields(ServiceSpec),
            "`[service.key]`": attrs.fields(KeySource),
            "`[[failure_domain]]`": attrs.fields(FailureDomainSpec),
            "`[[target]]`": attrs.fields(TargetSpec),
        }
        rows = [f"| {table} | `{field.name}` |" for table, fields in tables.items() for field in fields]
        self.assertEqual([], [row for row in rows if row not in page])
