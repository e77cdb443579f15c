"""Tests of the grant and permit ledgers and of pending proposals."""

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from cranberrylever.ownership import GrantAck, GrantLedger, Timings, divide_permits
from cranberrylever.ownership._permits import limit_increase
from cranberrylever.ownership._proposals import PendingProposals

GRANT_BOUND_S = 1.32


class GrantLedgerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ledger = GrantLedger(Timings())
        self.ledger.start_term(3, 0.0)

    def renew(self, now: float):
        return self.ledger.renew("t", "i", "h:1", 7, lambda: (), 1, now)

    def ack(self, renewal, clock_ms: float, received_at: float, version: int = 7) -> bool:
        return self.ledger.record_ack(
            renewal, GrantAck("i", clock_ms, renewal.sequence, version), received_at
        )

    def test_first_renewal_only_reads_the_clock(self):
        """Guards against a grant before the target's clock is read, and an expiry recorded too early."""
        first = self.renew(5.0)
        self.assertIsNone(first.expires_at_ms)
        self.assertTrue(self.ack(first, 90_000.0, 5.01))
        second = self.renew(5.2)
        self.assertEqual(91_200, second.expires_at_ms)
        self.assertAlmostEqual(5.01 + GRANT_BOUND_S, self.ledger.holders["t", "i"].expires_by)

    def test_grant_follows_the_clock_reading_at_once(self):
        """Guards against a grant that expires after a change of leader because its renewal is sent late."""
        self.ack(self.renew(5.0), 90_000.0, 5.01)
        holder = self.ledger.holders["t", "i"]
        self.assertTrue(self.ledger.is_due(holder, 7, 0.2, 5.02))
        self.ack(self.renew(5.02), 90_020.0, 5.03)
        self.assertFalse(self.ledger.is_due(holder, 7, 0.2, 5.04))

    def test_unanswered_renewal_counts_as_granted(self):
        """Guards against an expiry that ignores a renewal whose answer was lost."""
        self.ack(self.renew(5.0), 90_000.0, 5.01)
        self.ledger.record_failure(self.renew(5.2))
        self.assertFalse(self.ledger.is_expired("t", "i", 5.01 + GRANT_BOUND_S - 0.01))
        self.assertTrue(self.ledger.is_expired("t", "i", 5.01 + GRANT_BOUND_S))

    def test_renewals_without_answer_extend_nothing(self):
        """Guards against a grant of a dead target that is extended as long as renewals are sent."""
        self.ack(self.renew(5.0), 90_000.0, 5.01)
        for number in range(1, 20):
            self.ledger.record_failure(self.renew(5.0 + number * 0.2))
        self.assertTrue(self.ledger.is_expired("t", "i", 5.01 + GRANT_BOUND_S))

    def test_late_answer_of_a_dropped_target_is_ignored(self):
        """Guards against a late answer that counts for a target that has announced itself again."""
        self.ack(self.renew(5.0), 90_000.0, 5.01)
        late = self.renew(5.2)
        self.ledger.drop_expired(set(), 9.0)
        self.ledger.holder("t", "i", 9.5)
        self.assertFalse(self.ack(late, 90_200.0, 9.6))

    def test_old_grants_count_under_a_new_leader(self):
        """Guards against grants of the previous leader that count as expired too early or never."""
        self.assertFalse(self.ledger.is_expired("t", "i", GRANT_BOUND_S - 0.01))
        self.assertTrue(self.ledger.is_expired("t", "i", GRANT_BOUND_S))

    def test_only_one_renewal_is_outstanding(self):
        """Guards against a second renewal while one is unanswered, and a late one after its answer."""
        renewal = self.renew(5.0)
        holder = self.ledger.holders["t", "i"]
        self.assertFalse(self.ledger.is_due(holder, 7, 0.2, 5.5))
        self.ack(renewal, 90_000.0, 5.5)
        self.assertTrue(self.ledger.is_due(holder, 8, 0.2, 5.5))
        self.assertTrue(self.ledger.is_due(holder, 7, 0.2, 5.51))

    def test_late_answers_and_those_of_other_incarnations_are_ignored(self):
        """Guards against an answer that is older, or of another incarnation or term, but is recorded."""
        first = self.renew(5.0)
        self.ledger.record_failure(first)
        second = self.renew(5.3)
        self.assertTrue(self.ack(second, 90_300.0, 5.31))
        self.assertFalse(self.ack(first, 90_000.0, 5.4))
        third = self.renew(5.5)
        other_ack = GrantAck("other", 1.0, third.sequence, 7)
        self.assertFalse(self.ledger.record_ack(third, other_ack, 5.6))
        self.ledger.start_term(4, 6.0)
        self.assertFalse(self.ack(self.renew(6.0), 1.0, 6.0) and self.ack(third, 1.0, 6.1))


class PermitsTest(testtools.TestCase):
    def test_division_uses_the_budget_and_follows_demand(self):
        """Guards against unused or excess permits, and a division that does not follow demand."""

        @seed(1)
        @settings(max_examples=300, deadline=None, database=None)
        @given(
            st.integers(0, 12),
            st.dictionaries(st.sampled_from("abcdefgh"), st.integers(0, 30), max_size=8),
            st.integers(0, 20),
        )
        def divide(budget, demands, rotation):
            granted = divide_permits(budget, demands, rotation)
            self.assertEqual(budget if demands else 0, sum(granted.values()))
            asking = [entry for entry in demands if demands[entry] > 0]
            if asking:
                self.assertLessEqual(set(granted), set(asking))
                self.assertEqual(min(budget, len(asking)), len(granted))
                ordered = sorted(granted, key=demands.__getitem__)
                counts = [granted[entry] for entry in ordered]
                self.assertTrue(all(low <= high + 1 for low, high in zip(counts, counts[1:], strict=False)))

        divide()

    def test_rotation_starves_no_entry(self):
        """Guards against entries that never get a permit if the budget is below their number."""
        demands = dict.fromkeys("abcde", 10.0)
        served = [set(divide_permits(2, demands, rotation)) for rotation in range(5)]
        self.assertEqual(set("abcde"), set().union(*served[:3]))
        for entry in "abcde":
            self.assertEqual(2, sum(entry in names for names in served))

    def test_increase_waits_for_permits_in_use(self):
        """Guards against permits allocated to one entry while another may still use them."""
        current, wanted = {"a": 2}, {"a": 1, "b": 1}
        self.assertEqual({"a": 1}, limit_increase(current, wanted, {"a": 2, "b": 0}, 2))
        self.assertEqual({"a": 1, "b": 1}, limit_increase({"a": 1}, wanted, {"a": 1, "b": 0}, 2))
        unknown = limit_increase({}, wanted, {"a": 2, "b": 2}, 2)
        self.assertEqual({}, unknown)


class PendingProposalsTest(testtools.TestCase):
    def test_lost_proposal_is_repeated_only_after_the_timeout(self):
        """Guards against a lost proposal that is never repeated, and repetition of a pending one."""
        pending = PendingProposals(0.5)
        self.assertTrue(pending.add("x", 1.0))
        self.assertFalse(pending.add("x", 1.4))
        self.assertTrue(pending.add("x", 1.5))
