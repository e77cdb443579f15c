"""Tests of crash suspects."""

import testtools

from cranberrylever.limits import SuspectTable


class SuspectTableTest(testtools.TestCase):
    def test_crashes_of_all_entries_count(self):
        """Guards against a request that may crash two targets through each entry."""
        table = SuspectTable()
        self.assertTrue(table.record_crash("f", "t1/i", 0.0))
        self.assertFalse(table.record_crash("f", "t1/i", 1.0))
        table.merge("f", ("t1/i", "t2/i"), 1.0)
        self.assertEqual(2, table.crashes("f", 1.0))
        self.assertEqual(0, table.crashes("g", 1.0))

    def test_retention_is_not_extended_by_repeats(self):
        """Guards against a request that stays refused because control repeats its records."""
        table = SuspectTable()
        table.merge("f", ("t1/i",), 0.0)
        table.merge("f", ("t1/i",), 500.0)
        self.assertEqual(1, table.crashes("f", 599.0))
        self.assertEqual(0, table.crashes("f", 600.0))
        table.expire(600.0)
        self.assertEqual({}, table.suspects)

    def test_only_own_observations_are_reported(self):
        """Guards against records that entries and control keep sending to each other."""
        table = SuspectTable()
        table.merge("f", ("t1/i",), 0.0)
        self.assertEqual([], table.observed(0.0))
        table.record_crash("f", "t2/i", 0.0)
        self.assertEqual([("f", ("t2/i",))], table.observed(29.0))
        self.assertEqual([], table.observed(30.0))
