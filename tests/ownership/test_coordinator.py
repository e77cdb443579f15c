"""Tests of the coordinator with fake targets and entries."""

from collections import Counter

import testtools

from cranberrylever.ownership import Coordinator
from cranberrylever.state import AllocatePermits, AssignShards, Command, FreeShards, ReleaseShards
from tests.ownership.fake_cluster import FakeCluster


def running_cluster(targets: int = 4, entries: int = 2, shards: int = 64) -> FakeCluster:
    cluster = FakeCluster(shards)
    for number in range(targets):
        cluster.add_target(f"t{number}", failure_domain="abcd"[number % 4])
    for number in range(entries):
        cluster.add_entry(f"e{number}")
    cluster.run_until(cluster.all_owned, 5)
    cluster.advance(1.0)
    return cluster


def commands_since(cluster: FakeCluster, time: float, kind: type) -> list[Command]:
    return [command for at, command in cluster.log if at > time and isinstance(command, kind)]


def set_domain(cluster: FakeCluster, name: str, state: str) -> None:
    cluster.submit(f'[[failure_domain]]\nname = "{name}"\nstate = "{state}"\n')


def serves(cluster: FakeCluster, keys: range, without: str) -> bool:
    """Return whether every entry routes every key to a target other than ``without``."""
    routes = [entry.route(key) for entry in cluster.entries.values() for key in keys]
    return all(route is not None and route[2] != without for route in routes)


class StartTest(testtools.TestCase):
    def test_shards_are_assigned_granted_and_shown(self):
        """Guards against a new cluster whose shards are not assigned, granted or routed."""
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
        """Guards against a target that stays cold after it reports warm, or warm after it reports cold."""
        cluster = running_cluster()
        self.assertEqual("warm", cluster.phase("t0"))
        cluster.targets["t0"].state = "cold"
        cluster.advance(0.5)
        self.assertEqual("cold", cluster.phase("t0"))


class TargetLossTest(testtools.TestCase):
    def test_killed_target_is_replaced_within_two_seconds(self):
        """Guards against keys of a killed target that have no owner for more than 2 s."""
        cluster = running_cluster()
        cluster.targets["t1"].ended = True

        taken = cluster.run_until(lambda: serves(cluster, range(64), "t1"), 5)
        self.assertLess(taken, 2.0)
        self.assertEqual("lost", cluster.phase("t1"))

    def test_shards_are_freed_and_assigned_in_one_step(self):
        """Guards against an extra commit between the expiry of a grant and the new assignment."""
        cluster = running_cluster()
        cluster.targets["t1"].ended = True
        start = cluster.now
        cluster.run_until(lambda: serves(cluster, range(64), "t1"), 5)
        times = {
            kind: [at for at, c in cluster.log if at > start and isinstance(c, kind)]
            for kind in (FreeShards, AssignShards)
        }
        self.assertEqual(times[FreeShards], times[AssignShards])

    def test_grant_that_may_be_valid_blocks_the_new_owner(self):
        """Guards against a second owner while a frozen target may resume within its grant."""
        cluster = running_cluster()
        cluster.targets["t1"].frozen = True
        cluster.advance(1.0)
        self.assertEqual([], commands_since(cluster, cluster.now - 1.0, FreeShards))
        cluster.targets["t1"].frozen = False
        cluster.advance(1.5)
        self.assertEqual(16, Counter(cluster.owners().values())["t1"])

    def test_new_leader_waits_before_it_frees(self):
        """Guards against a new leader that ignores valid grants and views of the old one."""
        cluster = running_cluster()
        cluster.targets["t1"].ended = True
        cluster.advance(0.1)
        cluster.elect(restore=True)
        start = cluster.now
        cluster.advance(1.25)
        self.assertEqual([], commands_since(cluster, start, FreeShards))
        self.assertLess(cluster.run_until(lambda: serves(cluster, range(64), "t1"), 5), 0.5)

    def test_target_and_leader_lost_together(self):
        """Guards against a recovery much longer than the election and one grant lifetime together."""
        cluster = running_cluster()
        cluster.targets["t1"].ended = True
        start, cluster.drop = cluster.now, lambda kind: kind in ("report", "renewal")
        cluster.advance(0.6)
        cluster.drop = lambda kind: False
        cluster.elect(keeps_proposals=False)
        cluster.run_until(lambda: serves(cluster, range(64), "t1"), 5)
        self.assertLess(cluster.now - start, 0.6 + 1.32 + 0.3)

    def test_targets_lost_earlier_do_not_delay_a_release(self):
        """Guards against a late release because targets lost earlier count as suspects."""
        cluster = running_cluster(targets=5)
        for name in ("t1", "t2"):
            cluster.targets[name].ended = True
            cluster.advance(2.5)
        cluster.targets["t3"].ended = True
        self.assertLess(cluster.run_until(lambda: serves(cluster, range(64), "t3"), 5), 1.7)

    def test_restart_at_the_same_address_frees_at_once(self):
        """Guards against shards of a restarted target that stay blocked until the old grant expires."""
        cluster = running_cluster()
        cluster.targets["t1"].ended = True
        cluster.add_target("t1")
        self.assertLess(cluster.run_until(lambda: not cluster.all_owned(), 5), 0.1)
        self.assertLess(cluster.run_until(cluster.all_owned, 5), 0.7)

    def test_stalled_leader_suspects_no_target(self):
        """Guards against a leader that suspects all targets after a stall of its own process."""
        cluster = running_cluster()
        start = cluster.now
        cluster.now += 2.0
        cluster.advance(1.5)
        self.assertEqual([], commands_since(cluster, start, ReleaseShards))

    def test_lost_proposals_are_repeated(self):
        """Guards against shards that stay with a lost target because a proposal was lost."""
        cluster = running_cluster()
        cluster.targets["t1"].ended = True
        cluster.lose_proposal = lambda: True
        cluster.advance(2.0)
        cluster.lose_proposal = lambda: False
        self.assertLess(cluster.run_until(lambda: serves(cluster, range(64), "t1"), 5), 2.0)

    def test_nothing_is_proposed_twice_while_pending(self):
        """Guards against proposing a change again while its commit is delayed."""
        cluster = running_cluster()
        cluster.commit_delay = 0.4
        cluster.targets["t1"].ended = True
        cluster.advance(4.0)
        proposals = [repr(command) for _, command in cluster.log]
        self.assertEqual(len(set(proposals)), len(proposals))


class MoveTest(testtools.TestCase):
    def test_withdrawn_domain_is_empty_within_three_seconds(self):
        """Guards against work left in a withdrawn domain and against releasing all shards at once."""
        cluster = running_cluster(targets=8, shards=256)
        start = cluster.now
        set_domain(cluster, "a", "withdrawn")
        gone = ("t0", "t4")
        taken = cluster.run_until(lambda: all(serves(cluster, range(256), name) for name in gone), 5)
        self.assertLess(taken, 3.0)
        batches = [len(command.shards) for command in commands_since(cluster, start, ReleaseShards)]
        self.assertLessEqual(max(batches), 64 / 4)
        self.assertEqual({"leaving"}, {cluster.phase(name) for name in gone})

    def test_shards_return_with_few_moves(self):
        """Guards against more moves than the shards that the returning targets receive."""
        cluster = running_cluster(targets=8, shards=256)
        set_domain(cluster, "a", "withdrawn")
        cluster.advance(4.0)
        start = cluster.now
        set_domain(cluster, "a", "active")
        cluster.advance(8.0)
        counts = Counter(cluster.owners().values())
        moved = sum(len(command.items) for command in commands_since(cluster, start, AssignShards))
        self.assertEqual(counts["t0"] + counts["t4"], moved)
        self.assertGreaterEqual(counts["t0"], 30)

    def test_busy_shard_stays_with_its_owner_until_the_work_ends(self):
        """Guards against a second owner while the first still runs work of an entry that has ended."""
        cluster = running_cluster()
        owner = next(name for shard, name in cluster.owners().items() if shard == 5)
        self.assertTrue(cluster.request(cluster.entries["e0"], 5, 3.0))
        cluster.advance(0.1)
        cluster.entries["e0"].ended = True
        cluster.submit(f'[[target]]\nid = "{owner}"\ndrain = true\n')
        cluster.advance(2.5)
        record = cluster.state.shards["ledger"].records[5]
        self.assertEqual(("releasing", owner), (record.phase, record.target_id))
        cluster.advance(1.0)
        self.assertNotEqual(owner, cluster.owners()[5])

    def test_request_in_flight_at_an_entry_delays_the_move(self):
        """Guards against a request that reaches the old owner after the shard has moved."""
        cluster = running_cluster()
        owner = cluster.owners()[5]
        cluster.request(cluster.entries["e0"], 5, 1.5)
        cluster.submit(f'[[target]]\nid = "{owner}"\ndrain = true\n')
        cluster.advance(1.3)
        self.assertNotIn(5, cluster.owners())
        cluster.advance(1.5)
        self.assertIn(5, cluster.owners())

    def test_cold_target_gets_a_share_by_its_cold_capacity(self):
        """Guards against a cold target that owns the shards of a warm one."""
        cluster = FakeCluster(64)
        for number in range(3):
            cluster.add_target(f"t{number}", slots=4, cold_capacity=1)
        cluster.targets["t2"].state = "cold"
        cluster.add_entry("e0")
        cluster.run_until(cluster.all_owned, 5)
        cluster.advance(4.0)
        self.assertLessEqual(Counter(cluster.owners().values())["t2"], 9)
        cluster.targets["t2"].state = "warm"
        cluster.advance(6.0)
        self.assertGreaterEqual(Counter(cluster.owners().values())["t2"], 18)

    def test_hot_key_is_pinned_and_unpinned(self):
        """Guards against a hot key that stays in its hash shard, and a pin that outlasts the load."""
        cluster = running_cluster(shards=8)
        entry = cluster.entries["e0"]

        def load(hot: int) -> None:
            entry.hot = {13: hot} if hot else {}
            for shard in range(8):
                entry.shard_counts[shard] = 100
            pin = cluster.state.shards["ledger"].pins.get(13)
            entry.shard_counts[5 if pin is None else pin] = 100 * (pin is None) + hot
            cluster.advance(0.2)

        for _ in range(60):
            load(300)
        table = cluster.state.shards["ledger"]
        self.assertEqual({13: 8}, table.pins)
        self.assertTrue(cluster.all_owned())
        for _ in range(600):
            load(0)
        self.assertEqual({}, table.pins)
        self.assertTrue(cluster.all_owned())


class PermitTest(testtools.TestCase):
    def test_budget_below_the_number_of_entries_rotates(self):
        """Guards against entries that never get a permit for a cold target."""
        cluster = FakeCluster(8)
        cluster.add_target("t0", state="cold", cold_capacity=1)
        for number in range(3):
            cluster.add_entry(f"e{number}").demand = {"t0": 5}
        served: set[str] = set()
        for _ in range(100):
            cluster.advance(0.1)
            holders = [name for name, entry in cluster.entries.items() if entry.permits.get("t0")]
            self.assertLessEqual(len(holders), 1)
            served.update(holders)
        self.assertEqual({"e0", "e1", "e2"}, served)

    def test_permits_follow_demand(self):
        """Guards against a busy entry with as few permits as an idle one, and an idle entry without any."""
        cluster = FakeCluster(8)
        cluster.add_target("t0", state="cold", cold_capacity=4)
        busy, idle = cluster.add_entry("e0"), cluster.add_entry("e1")
        busy.demand, idle.demand = {"t0": 30}, {"t0": 1}
        cluster.advance(5.0)
        self.assertEqual({"t0": 3}, busy.permits)
        self.assertEqual({"t0": 1}, idle.permits)

    def test_permits_of_a_lost_entry_return_after_its_lease(self):
        """Guards against permits that stay with a lost entry, or move while its view may be valid."""
        cluster = FakeCluster(8)
        cluster.add_target("t0", state="cold", cold_capacity=1)
        first = cluster.add_entry("e0")
        first.demand = {"t0": 1}
        cluster.advance(3.0)
        second = cluster.add_entry("e1")
        second.demand = {"t0": 1}
        first.partitioned = True
        start = cluster.now
        cluster.run_until(lambda: second.permits.get("t0", 0) > 0, 5)
        self.assertGreater(cluster.now, first.valid_until)
        self.assertLess(cluster.now - start, 3.0)
        self.assertNotEqual([], commands_since(cluster, start, AllocatePermits))


class ViewAnswerTest(testtools.TestCase):
    def test_unchanged_view_is_sent_once(self):
        """Guards against sending an unchanged view again, and an answer without a view that has changed."""
        cluster = running_cluster()
        leader: Coordinator = cluster.leader
        report = cluster.entries["e0"].report(cluster.now)
        leader.record_report(report, cluster.now)
        self.assertIsNone(leader.view_answer(report, cluster.now).view)
        cluster.submit('[[failure_domain]]\nname = "z"\nstate = "active"\n')
        answer = leader.view_answer(report, cluster.now)
        self.assertEqual((answer.version, report.sequence), (answer.view.version, answer.sequence))

    def test_status_covers_targets_services_and_entries(self):
        """Guards against a status that omits targets, shards or entries."""
        cluster = running_cluster()
        status = cluster.leader.status(cluster.now)
        self.assertEqual(4, len(status.targets))
        self.assertEqual(
            (64, 0, 0), (status.services[0].owned, status.services[0].releasing, status.services[0].free)
        )
        self.assertEqual(["e0", "e1"], [entry.entry_id for entry in status.entries])
