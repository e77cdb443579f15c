"""Tests of the coordinator with fake targets and entries."""

from collections import Counter

import testtools

from tests.ownership.fakes import FakeCluster


def running_cluster(targets: int = 4, entries: int = 2, shards: int = 64) -> FakeCluster:
    cluster = FakeCluster(shards)
    for number in range(targets):
        cluster.add_target(f"t{number}", failure_domain="abcd"[number % 4])
    for number in range(entries):
        cluster.add_entry(f"e{number}")
    cluster.run_until(cluster.all_owned, 5)
    cluster.advance(1.0)
    return cluster


class StartTest(testtools.TestCase):
    def test_shards_are_assigned_granted_and_shown(self):
        """Guards against a fresh cluster that never serves a keyed service."""
        cluster = running_cluster()
        self.assertTrue(cluster.all_owned())
        self.assertEqual({16}, set(Counter(cluster.owners().values()).values()))
        held = {shard for target in cluster.targets.values() for shard in target.held(cluster.now)}
        self.assertEqual(set(range(64)), held)
        entry = cluster.entries["e0"]
        self.assertEqual(cluster.state.view_version, entry.view.version)
        for key in range(64):
            shard, fence, owner = entry.route(key)
            self.assertEqual(fence, cluster.targets[owner].held(cluster.now)[shard])

    def test_target_phases_follow_acknowledgements(self):
        cluster = running_cluster()
        self.assertEqual("warm", cluster.phase("t0"))
        cluster.targets["t0"].state = "cold"
        cluster.advance(0.5)
        self.assertEqual("cold", cluster.phase("t0"))


class TargetLossTest(testtools.TestCase):
    def test_killed_target_is_replaced_within_two_seconds(self):
        """Guards against keys of a dead target that stay unserved beyond the bound of 2 s."""
        cluster = running_cluster()
        cluster.targets["t1"].ended = True

        def served() -> bool:
            routes = [entry.route(key) for entry in cluster.entries.values() for key in range(64)]
            return all(route is not None and route[2] != "t1" for route in routes)

        self.assertLess(cluster.run_until(served, 5), 2.0)
        self.assertEqual("lost", cluster.phase("t1"))
