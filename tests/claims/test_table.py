"""Tests of the claim table, also against a naive implementation."""

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test

from cranberrylever.claims import ClaimTable, ClaimTableRecord
from cranberrylever.state import ClaimCompletion, ClaimOpening
from cranberrylever.wire import ClaimAnswer, decode, encode

DONE = ClaimAnswer("done", 200, (), b"answer")
NOT_RUN = ClaimAnswer("not-run")

_ids = st.sampled_from(["k1", "k2", "k3"])
_entries = st.sampled_from(["e1", "e2"])
_attempts = st.sampled_from(["a1", "a2", "a3", ""])
_openings = st.builds(ClaimOpening, _ids, st.sampled_from(["f1", "f1", "f1", "f2"]), _entries, _attempts)
_completions = st.builds(
    ClaimCompletion, _ids, _entries, st.sampled_from([DONE, NOT_RUN, ClaimAnswer("unknown")]), _attempts
)


class NaiveTable:
    """Naive claim table that keeps all events of each claim and derives every outcome from them."""

    def __init__(self):
        self.events = {}

    def open(self, index, opening):
        events = self.events.get(opening.claim_id, [])
        openings = [event for event in events if event[0] == "won"]
        if openings and openings[0][1].fingerprint != opening.fingerprint:
            return "mismatch"
        completions = [event for event in events if event[0] == "completed"]
        attempt = (opening.entry_id, opening.attempt)
        is_resend = bool(openings) and self._holder(openings[-1]) == attempt and opening.attempt != ""
        if len(openings) > len(completions):
            return "won" if is_resend else "open"
        if openings and (is_resend or completions[-1][1].outcome != "not-run"):
            return "answered"
        self.events.setdefault(opening.claim_id, []).append(("won", opening, index))
        return "won"

    def complete(self, completion):
        events = self.events.get(completion.claim_id)
        if not events:
            return "expired"
        last_opening = [event for event in events if event[0] == "won"][-1]
        is_open = events[-1] is last_opening
        if self._holder(last_opening) != (completion.entry_id, completion.attempt):
            return "open" if is_open else "answered"
        if is_open:
            events.append(("completed", completion.answer))
        return "completed"

    def expire(self, opened_before):
        for claim_id, events in list(self.events.items()):
            if [event for event in events if event[0] == "won"][-1][2] <= opened_before:
                del self.events[claim_id]

    def _holder(self, opening_event):
        return opening_event[1].entry_id, opening_event[1].attempt


class ClaimMachine(RuleBasedStateMachine):
    """Applies the same commands to the claim table and to the naive one."""

    @initialize()
    def start(self):
        self.table = ClaimTable()
        self.naive = NaiveTable()
        self.index = 0
        self.running = {}

    @rule(openings=st.lists(_openings, min_size=1, max_size=4))
    def open(self, openings):
        self.index += 1
        outcomes = self.table.open(self.index, openings)
        for opening, outcome in zip(openings, outcomes, strict=True):
            assert outcome.state == self.naive.open(self.index, opening)
            assert (outcome.answer is not None) == (outcome.state == "answered")
            if outcome.state == "won":
                # Invariant that prevents a second execution: one attempt holds a claim until it ends not-run.
                attempt = (opening.entry_id, opening.attempt)
                assert self.running.setdefault(opening.claim_id, attempt) == attempt

    @rule(completion=_completions)
    def complete(self, completion):
        self.index += 1
        outcome = self.table.complete(self.index, [completion])[0]
        assert outcome.state == self.naive.complete(completion)
        if outcome.state == "completed" and self.table.get(completion.claim_id).did_not_run:
            self.running.pop(completion.claim_id, None)

    @rule(age=st.integers(0, 20))
    def expire(self, age):
        self.table.expire(self.index - age)
        self.naive.expire(self.index - age)
        self.running = {key: value for key, value in self.running.items() if self.table.get(key)}

    @rule()
    def snapshot(self):
        record = decode(encode(self.table.to_record()), ClaimTableRecord)
        restored = ClaimTable.from_record(record)
        assert restored.to_record() == self.table.to_record()
        # Snapshots contain the encoding prepared in advance, so it must be equal to that of the claims.
        assert decode(encode(self.table.to_encoded_record()), ClaimTableRecord) == record
        assert restored.size_bytes == self.table.size_bytes
        self.table = restored

    @invariant()
    def same_claims(self):
        assert len(self.table) == len(self.naive.events)


class ClaimTableTest(testtools.TestCase):
    def open_claim(self, table, index, claim_id, attempt="a"):
        outcome = table.open(index, [ClaimOpening(claim_id, "f", "e", attempt)])[0]
        return outcome.state

    def complete_claim(self, table, claim_id, body=b"", attempt="a"):
        answer = ClaimAnswer("done", 200, (), body)
        return table.complete(0, [ClaimCompletion(claim_id, "e", answer, attempt)])[0].state

    def test_agrees_with_naive_version(self):
        """Guards against two attempts that both execute a non-idempotent request."""
        machine = seed(1)(ClaimMachine)
        run_state_machine_as_test(
            machine, settings=settings(max_examples=150, stateful_step_count=40, deadline=None, database=None)
        )

    def test_restored_table_behaves_like_the_original(self):
        """Guards against members that evict different claims after one of them restored a snapshot."""
        bounds = {"max_claims": 3, "max_bytes": 1_400}
        names = st.sampled_from(["k1", "k2", "k3", "k4", "k5"])
        answers = st.sampled_from([NOT_RUN, DONE, ClaimAnswer("done", 200, (), bytes(150))])
        steps = st.lists(st.tuples(names, st.none() | answers, st.booleans()), max_size=40)

        @seed(1)
        @settings(max_examples=200, deadline=None, database=None)
        @given(steps)
        def compare(steps):
            original, restored = ClaimTable(**bounds), ClaimTable(**bounds)
            for index, (claim_id, answer, is_restored) in enumerate(steps):
                for table in (original, restored):
                    if answer is None:
                        self.open_claim(table, index, claim_id, f"a{index}")
                    elif (claim := table.get(claim_id)) is not None:
                        table.complete(index, [ClaimCompletion(claim_id, "e", answer, claim.attempt)])
                    assert len(table) <= 3
                    assert table.size_bytes <= 1_400
                if is_restored:
                    restored = ClaimTable.from_record(restored.to_record(), **bounds)
                assert original.to_record() == restored.to_record()
                assert original.size_bytes == restored.size_bytes

        compare()

    def test_late_copy_of_an_ended_opening_does_not_hold_the_claim(self):
        """Guards against a delayed opening that blocks further attempts of a request that did not run."""
        table = ClaimTable()
        self.assertEqual("won", self.open_claim(table, 1, "k", "a1"))
        table.complete(2, [ClaimCompletion("k", "e", NOT_RUN, "a1")])
        self.assertEqual("answered", self.open_claim(table, 3, "k", "a1"))
        self.assertEqual("won", self.open_claim(table, 4, "k", "a2"))

    def test_number_is_bounded_and_no_claim_is_evicted(self):
        """Guards against unbounded memory, and an evicted claim that is acquired and executed again."""
        table = ClaimTable(max_claims=3)
        for index, claim_id in enumerate(("k1", "k2", "k3")):
            self.open_claim(table, index, claim_id)
        self.assertEqual("full", self.open_claim(table, 4, "k4"))
        self.complete_claim(table, "k2")
        self.complete_claim(table, "k1")
        self.assertEqual("full", self.open_claim(table, 5, "k5"))
        self.assertEqual("answered", self.open_claim(table, 6, "k2", "other"))
        self.assertEqual("open", self.open_claim(table, 6, "k3", "other"))
        self.assertEqual(2, table.expire(1))
        self.assertEqual("won", self.open_claim(table, 7, "k5"))
        self.assertEqual(2, len(table))

    def test_claims_that_did_not_run_are_evicted_first(self):
        """Guards against requests that did not run but fill the table until their claims expire."""
        table = ClaimTable(max_claims=3)
        self.open_claim(table, 1, "k1")
        self.complete_claim(table, "k1")
        for index in range(2, 9):
            claim_id = f"k{index}"
            self.assertEqual("won", self.open_claim(table, index, claim_id))
            table.complete(index, [ClaimCompletion(claim_id, "e", NOT_RUN, "a")])
        self.assertEqual("answered", self.open_claim(table, 9, "k1", "other"))
        self.assertEqual(3, len(table))

    def test_bytes_are_bounded_and_claims_outlive_their_answers(self):
        """Guards against a resend that is executed again because its large answer was dropped."""
        table = ClaimTable(max_bytes=10_000)
        for index, claim_id in enumerate(("k1", "k2", "k3")):
            self.open_claim(table, index, claim_id)
            self.complete_claim(table, claim_id, body=bytes(4_000))
        self.assertLessEqual(table.size_bytes, 10_000)
        outcomes = table.open(9, [ClaimOpening(key, "f", "e", "new") for key in ("k1", "k2", "k3")])
        self.assertEqual({"answered"}, {outcome.state for outcome in outcomes})
        self.assertEqual(["unknown", "done", "done"], [outcome.answer.outcome for outcome in outcomes])
        self.assertEqual(1, table.dropped_answers)

    def test_answer_larger_than_the_bound_is_not_kept(self):
        """Guards against a table that exceeds its bound because of one large answer."""
        table = ClaimTable(max_bytes=2_000)
        self.open_claim(table, 1, "k1")
        self.assertEqual("completed", self.complete_claim(table, "k1", body=bytes(4_000)))
        self.assertEqual("unknown", table.get("k1").answer.outcome)
