"""Tests of the range table, compared with a table of fixed cells of keys, and of the lease ledger."""

import random

import testtools

from cranberrylever.errors import InvariantError
from cranberrylever.keyspace import FREE, HELD, KEY_SPACE_SIZE, RELEASING, LeaseLedger, RangeEdit, RangeTable
from cranberrylever.keyspace._leases import DELIVERY_MARGIN_S

KEYS_PER_CELL = KEY_SPACE_SIZE // 64


class NaiveTable:
    """Reference table with one record per cell of keys, which is never split or joined."""

    def __init__(self):
        self.cells = [(FREE, ("", 0), 0)] * 64

    def apply(self, edit, fence):
        cells = range(edit.first // KEYS_PER_CELL, (edit.last + 1) // KEYS_PER_CELL)
        pieces = [self.cells[cell] for cell in cells]
        if edit.phase == HELD:
            is_free = all(phase == FREE for phase, _, _ in pieces)
            if not is_free and not all(
                phase == HELD and incarnation == edit.incarnation for phase, incarnation, _ in pieces
            ):
                return fence
            for cell in cells:
                self.cells[cell] = (HELD, edit.incarnation, fence)
            return fence + 1
        wanted = {RELEASING: lambda phase: phase == HELD, FREE: lambda phase: phase != FREE}[edit.phase]
        if all(wanted(phase) for phase, _, _ in pieces):
            for cell in cells:
                _, incarnation, held = self.cells[cell]
                self.cells[cell] = (edit.phase, incarnation, held)
        return fence


class RangeTableTest(testtools.TestCase):
    def test_random_edits_match_a_table_of_fixed_cells(self):
        """Guards against splits and joins that change the owner or fence of a key."""
        for seed in range(40):
            rng = random.Random(seed)
            table, naive = RangeTable(), NaiveTable()
            fence = naive_fence = 1
            for _ in range(120):
                cells = sorted(rng.sample(range(65), 2))
                edit = RangeEdit(
                    cells[0] * KEYS_PER_CELL,
                    cells[1] * KEYS_PER_CELL - 1,
                    rng.choice((HELD, HELD, RELEASING, FREE)),
                    rng.choice("abc"),
                    1,
                )
                fence = table.apply(table.version, (edit,), fence)
                naive_fence = naive.apply(edit, naive_fence)
                assert fence == naive_fence
                for cell, (phase, incarnation, held) in enumerate(naive.cells):
                    item = table.find(cell * KEYS_PER_CELL + KEYS_PER_CELL // 2)
                    assert (item.phase, item.fence) == (phase, held)
                    assert phase == FREE or item.incarnation == incarnation

    def test_edits_of_a_replaced_leader_have_no_effect(self):
        """Guards against edits of two leaders to one table."""
        table = RangeTable()
        table.apply(0, (RangeEdit(0, 99, HELD, "a", 1),), 1)
        assert table.apply(0, (RangeEdit(100, 199, HELD, "b", 1),), 2) == 2
        assert table.find(150).phase == FREE

    def test_held_keys_are_not_assigned_to_another_target(self):
        """Guards against two owners of one key."""
        table = RangeTable()
        table.apply(0, (RangeEdit(0, 99, HELD, "a", 1),), 1)
        table.apply(1, (RangeEdit(50, 120, HELD, "b", 1),), 2)
        assert table.find(60).target_id == "a"

    def test_fences_only_grow(self):
        """Guards against a fence that is not above those that a target has seen."""
        table = RangeTable()
        table.apply(0, (RangeEdit(0, 99, HELD, "a", 1),), 7)
        self.assertRaises(InvariantError, table.apply, 1, (RangeEdit(0, 99, HELD, "a", 1),), 7)

    def test_record_round_trip(self):
        """Guards against a snapshot that loses a range."""
        table = RangeTable()
        table.apply(0, (RangeEdit(10, 99, HELD, "a", 1),), 1)
        assert RangeTable(table.to_record()).ranges == table.ranges


class LeaseLedgerTest(testtools.TestCase):
    INCARNATION = ("a", 1)

    def test_keys_of_a_call_in_progress_are_held_indefinitely(self):
        """Guards against keys that are assigned while a grant of them to another target is in progress."""
        ledger = LeaseLedger(now=0.0, call_s=0.5, predecessor_lease=2.0)
        call = ledger.begin(self.INCARNATION, 0, 99, 2.0)
        assert ledger.held_until(self.INCARNATION, 50, 60) == float("inf")
        assert ledger.is_call_running(self.INCARNATION, 50, 60)
        ledger.finish(call, 10.0, answered=False)
        assert 12.0 < ledger.held_until(self.INCARNATION, 50, 60) < 13.0
        assert ledger.answered_calls(self.INCARNATION, 50, 60) == []

    def test_released_call_is_not_held(self):
        """Guards against a planned move that waits for the end of a lease."""
        ledger = LeaseLedger(now=0.0, call_s=0.5, predecessor_lease=2.0)
        ledger.finish(ledger.begin(self.INCARNATION, 0, 99, 2.0), 10.0, answered=True)
        assert ledger.held_until(self.INCARNATION, 0, 99) > 12.0
        assert ledger.held_until(self.INCARNATION, 100, 199) < 3.0
        self.release(ledger, 0, 99)
        assert ledger.held_until(self.INCARNATION, 0, 99) < 3.0

    def test_release_of_a_part_leaves_the_rest_held(self):
        """Guards against keys that count as released because keys beside them were."""
        ledger = LeaseLedger(now=0.0, call_s=0.5, predecessor_lease=2.0)
        ledger.finish(ledger.begin(self.INCARNATION, 0, 99, 2.0), 10.0, answered=True)
        self.release(ledger, 40, 59)
        assert ledger.held_until(self.INCARNATION, 40, 59) < 3.0
        for first, last in ((0, 39), (60, 99), (39, 40), (59, 60)):
            assert ledger.held_until(self.INCARNATION, first, last) > 12.0, (first, last)

    def test_release_does_not_revoke_a_call_without_an_answer(self):
        """Guards against a grant that arrives after the release of its keys."""
        ledger = LeaseLedger(now=0.0, call_s=0.5, predecessor_lease=2.0)
        ledger.finish(ledger.begin(self.INCARNATION, 0, 99, 2.0), 10.0, answered=False)
        self.release(ledger, 0, 99)
        assert ledger.held_until(self.INCARNATION, 0, 99) > 12.0

    def test_release_does_not_revoke_a_later_call(self):
        """Guards against keys that were granted again while their release was in progress."""
        ledger = LeaseLedger(now=0.0, call_s=0.5, predecessor_lease=2.0)
        revoked = ledger.answered_calls(self.INCARNATION, 0, 99)
        ledger.finish(ledger.begin(self.INCARNATION, 0, 99, 2.0), 10.0, answered=True)
        for call in revoked:
            call.drop(0, 99)
        assert ledger.held_until(self.INCARNATION, 0, 99) > 12.0

    def release(self, ledger, first, last):
        for call in ledger.answered_calls(self.INCARNATION, first, last):
            call.drop(first, last)

    def test_new_leader_waits_one_lease(self):
        """Guards against a new leader that assigns keys which its predecessor has just granted."""
        ledger = LeaseLedger(now=100.0, call_s=0.5, predecessor_lease=2.0)
        assert ledger.held_until(("b", 1), 0, 99) > 102.0

    def test_first_leader_does_not_wait(self):
        """Guards against keys that cannot move after the first start, when nobody can hold any."""
        ledger = LeaseLedger(now=100.0, call_s=0.5, predecessor_lease=None)
        assert ledger.held_until(("b", 1), 0, 99) < 100.0
        ledger.begin(("b", 1), 0, 99, 2.0)
        assert ledger.held_until(("b", 1), 0, 99) == float("inf")

    def test_new_leader_waits_for_a_call_that_its_predecessor_began_last(self):
        """Guards against keys that the leader before granted by a call which it began while it led.

        The call takes its longest time, its bytes are delivered late, and the clock of the target is 2% slow.
        """
        call_s, lease_s, elected_at = 0.5, 2.0, 100.0
        ledger = LeaseLedger(elected_at, call_s, lease_s)
        arrival = elected_at + call_s + DELIVERY_MARGIN_S
        assert ledger.held_until(("b", 1), 0, 99) >= arrival + 1.02 * lease_s

    def test_refused_and_unsent_calls_grant_nothing(self):
        """Guards against waiting for the end of leases that were never granted."""
        ledger = LeaseLedger(now=0.0, call_s=0.5, predecessor_lease=2.0)
        ledger.refuse(ledger.begin(self.INCARNATION, 0, 99, 2.0))
        ledger.cancel(ledger.begin(self.INCARNATION, 0, 99, 2.0))
        assert ledger.held_until(self.INCARNATION, 0, 99) < 3.0
