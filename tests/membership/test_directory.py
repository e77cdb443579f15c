"""Tests of the target directory and of entry leases."""

import attrs
import testtools

from cranberrylever.membership import PHASE_COLD, PHASE_LOST, Announcement, EntryLeases, TargetDirectory

FIRST = Announcement("t", "ledger", "h:1", "a", "i1", 3, 100)
SECOND = attrs.evolve(FIRST, incarnation="i2")


class TargetDirectoryTest(testtools.TestCase):
    def test_new_incarnation_starts_cold(self):
        """Guards against full load on a restarted target, which is cold but was warm before."""
        directory = TargetDirectory()
        directory.announce(1, FIRST)
        directory.set_phase(2, "t", "warm")
        directory.announce(3, SECOND)
        self.assertEqual((PHASE_COLD, 3), (directory.get("t").phase, directory.get("t").phase_version))

    def test_late_announcement_of_a_replaced_process_is_superseded(self):
        """Guards against a delayed announcement that voids the grants of the current process."""
        directory = TargetDirectory()
        directory.announce(1, FIRST)
        directory.announce(2, SECOND)
        self.assertTrue(directory.is_superseded(FIRST))
        self.assertFalse(directory.is_superseded(SECOND))
        directory.set_phase(3, "t", PHASE_LOST)
        self.assertFalse(directory.is_superseded(FIRST))


class EntryLeasesTest(testtools.TestCase):
    def make_leases(self) -> EntryLeases:
        leases = EntryLeases(1.32)
        leases.start_term(10.0)
        return leases

    def test_new_leader_waits_for_unknown_entries(self):
        """Guards against freeing a shard to which an entry with a lease of the old leader still routes."""
        leases = self.make_leases()
        self.assertFalse(leases.all_settled(1, 11.3))
        self.assertTrue(leases.all_settled(1, 11.33))

    def test_lease_ends_only_after_the_drift_margin(self):
        """Guards against a lease that ends before the view of an entry with a slower clock, or never."""
        leases = self.make_leases()
        leases.renew("e", "i", "h:1", 20.0, 5, 4)
        self.assertFalse(leases.all_settled(5, 21.3))
        self.assertTrue(leases.all_settled(5, 21.33))
        self.assertEqual((), leases.live(21.33))

    def test_late_report_does_not_decrease_versions(self):
        """Guards against a late report that shortens the lease or lowers the versions of its entry."""
        leases = self.make_leases()
        leases.renew("e", "i", "h:1", 20.0, 5, 5)
        leases.renew("e", "i", "h:1", 19.0, 4, 4)
        (lease,) = leases.live(20.1)
        self.assertEqual((20.0, 5, 5), (lease.received_at, lease.applied_version, lease.settled_version))
