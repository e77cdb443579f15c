"""Tests of the grants and fences of a target."""

import testtools

from cranberrylever.target._grants import GrantOrder, HeldGrant


def order(sequence, expires=1000.0, version=5, shards=((1, 10),), term=2, incarnation="i1"):
    return GrantOrder("c", "t1", incarnation, term, sequence, version, expires, shards)


class GrantHolderTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.holder = HeldGrant("t1", "i1", checks_fence=True)

    def test_grant_admits_only_its_shards_and_fences_until_it_expires(self):
        """Guards against work under an old fence or expired grant, concurrent with the new owner's work."""
        self.assertIsNone(self.holder.apply(order(1)))
        self.assertTrue(self.holder.admits(1, 10, "i1", 999.0))
        self.assertFalse(self.holder.admits(1, 9, "i1", 999.0))
        self.assertFalse(self.holder.admits(2, 10, "i1", 999.0))
        self.assertFalse(self.holder.admits(1, 10, "i0", 999.0))
        self.assertFalse(self.holder.admits(None, None, "i1", 999.0))
        self.assertFalse(self.holder.admits(1, 10, "i1", 1000.0))

    def test_delayed_order_is_refused(self):
        """Guards against a delayed grant call that restores shards which a later call has released."""
        self.assertIsNone(self.holder.apply(order(7, shards=())))
        self.assertIsNotNone(self.holder.apply(order(6)))
        self.assertIsNotNone(self.holder.apply(order(9, term=1)))
        self.assertIsNotNone(self.holder.apply(order(8, incarnation="i0")))
        self.assertEqual({}, self.holder.shards)

    def test_order_without_expiry_grants_nothing(self):
        """Guards against a grant without an end: the first call of a leader only reads the clock."""
        self.assertIsNone(self.holder.apply(order(1, expires=None)))
        self.assertFalse(self.holder.admits(1, 10, "i1", 0.0))
        self.assertIsNotNone(self.holder.apply(order(1)))

    def test_order_without_shards_extends_only_the_version_it_names(self):
        """Guards against an extension of shards that were released in the meantime."""
        self.holder.apply(order(1))
        self.holder.apply(order(2, expires=2000.0, version=6, shards=None))
        self.assertFalse(self.holder.valid(1500.0))
        self.holder.apply(order(3, expires=2000.0, version=5, shards=None))
        self.assertTrue(self.holder.admits(1, 10, "i1", 1500.0))

    def test_target_without_fence_checks_accepts_everything(self):
        """Guards against a stand-in target that checks fences although a test needs it to ignore them."""
        holder = HeldGrant("t1", "i1", checks_fence=False)
        holder.apply(order(7, shards=()))
        self.assertIsNone(holder.apply(order(6)))
        self.assertTrue(holder.admits(3, 1, "i0", 9999.0))
