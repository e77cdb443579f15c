"""Tests of the acceptance rules of tickets, also against a naive implementation."""

import json

import attrs
import testtools
from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test

from cranberrylever.tickets import (
    FailureDomainSpec,
    ServiceSpec,
    TargetSpec,
    Ticket,
    TicketRegistry,
    TicketRegistryRecord,
    ticket_digest,
)
from cranberrylever.wire import decode, encode
from tests.tickets.naive import NaiveRegistry

_services = st.builds(
    ServiceSpec,
    st.sampled_from(["ledger", "desk"]),
    st.sampled_from(["keyed", "keyed", "keyed", "pooled"]),
    st.just(1024),
    deadline_ms=st.sampled_from([10_000, 5_000]),
)
_domains = st.builds(
    FailureDomainSpec, st.sampled_from(["a", "b", "c"]), st.sampled_from(["active", "withdrawn"])
)
_targets = st.builds(TargetSpec, st.sampled_from(["t1", "t2"]), st.booleans())


def _tuples(specs, id_field):
    return st.lists(specs, max_size=2, unique_by=lambda spec: getattr(spec, id_field)).map(tuple)


_tickets = st.builds(
    Ticket,
    st.integers(1, 12),
    _tuples(_services, "name"),
    _tuples(_domains, "name"),
    _tuples(_targets, "id"),
).filter(lambda ticket: ticket.service or ticket.failure_domain or ticket.target)


class RegistryMachine(RuleBasedStateMachine):
    """Submits the same tickets to the registry and to the naive one."""

    @initialize()
    def start(self):
        self.registry = TicketRegistry()
        self.naive = NaiveRegistry()
        self.index = 0
        self.submitted = []

    @rule(ticket=_tickets)
    def submit(self, ticket):
        self.submitted.append(ticket)
        self._submit(ticket)

    @rule(position=st.integers(0, 100))
    def resend(self, position):
        if self.submitted:
            self._submit(self.submitted[position % len(self.submitted)])

    @rule()
    def snapshot(self):
        record = decode(encode(self.registry.to_record()), TicketRegistryRecord)
        self.registry = TicketRegistry.from_record(record)

    def _submit(self, ticket):
        self.index += 1
        before = self.registry.to_record()
        checked = self.registry.check(ticket)
        outcome = self.registry.accept(self.index, ticket, "text")
        expected, index = self.naive.submit(self.index, ticket)
        assert outcome.index == index
        assert outcome.accepted == (expected in ("accepted", "repeated"))
        assert outcome.repeated == (expected == "repeated")
        assert outcome.conflict == (expected == "conflict")
        assert bool(outcome.error and outcome.remedy) == (not outcome.accepted)
        assert (checked is None) == (expected == "accepted")
        if expected != "accepted":
            assert checked == outcome
            assert self.registry.to_record() == before

    @invariant()
    def states_agree(self):
        state = {("service", name): spec for name, spec in self.registry.services.items()}
        state |= {("failure_domain", name): spec for name, spec in self.registry.failure_domains.items()}
        state |= {("target", name): spec for name, spec in self.registry.directives.items()}
        actual = {key: json.dumps(attrs.asdict(spec), sort_keys=True) for key, spec in state.items()}
        assert actual == self.naive.state()


class RegistryTest(testtools.TestCase):
    def test_agrees_with_naive_version(self):
        """Guards against a ticket that is accepted out of order, in part or twice, or lost in a snapshot."""
        machine = seed(1)(RegistryMachine)
        run_state_machine_as_test(
            machine, settings=settings(max_examples=150, stateful_step_count=30, deadline=None, database=None)
        )

    def test_equal_number_is_detected_after_history_is_cut(self):
        """Guards against a resent ticket that is refused or accepted again because it left the history."""
        registry = TicketRegistry(history_limit=10)
        first = Ticket(1, failure_domain=(FailureDomainSpec("a"), FailureDomainSpec("b")))
        registry.accept(7, first, "first")
        for number in range(2, 50):
            domain = FailureDomainSpec("c" if number % 2 else "b")
            registry.accept(number + 10, Ticket(number, failure_domain=(domain,)), "text")
        self.assertEqual(10, len(registry.history))
        self.assertNotIn(1, registry.history)
        again = registry.check(first)
        self.assertEqual((True, True, 7), (again.accepted, again.repeated, again.index))
        other = registry.check(Ticket(1, failure_domain=(FailureDomainSpec("d"),)))
        self.assertFalse(other.accepted)
        self.assertIn(ticket_digest(first), other.error)

    def test_history_keeps_the_last_thousand_texts(self):
        """Guards against a snapshot that grows with every ticket."""
        registry = TicketRegistry()
        for number in range(1, 1_200):
            registry.accept(number, Ticket(number, target=(TargetSpec("t"),)), f"text {number}")
        self.assertEqual(list(range(200, 1_200)), list(registry.history))

    def test_refusals_name_the_remedy(self):
        """Guards against a refusal that does not tell the operator how to correct the ticket."""
        registry = TicketRegistry()
        registry.accept(1, Ticket(5, (ServiceSpec("ledger", "keyed"),)), "")
        stale = registry.check(Ticket(4, (ServiceSpec("ledger", "keyed"),)))
        self.assertIn("not higher than 5", stale.error)
        self.assertIn("above 5", stale.remedy)
        shards = registry.check(Ticket(6, (ServiceSpec("ledger", "keyed", 512),)))
        self.assertIn("shards can't change from 1024 to 512", shards.error)
        self.assertIn("another name", shards.remedy)
        kind = registry.check(Ticket(6, (ServiceSpec("ledger", "pooled"),)))
        self.assertIn("kind can't change", kind.error)
