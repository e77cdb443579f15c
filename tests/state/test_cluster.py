"""Tests of the replicated state machine and the routing view."""

import attrs
import testtools

from cranberrylever.membership import Announcement
from cranberrylever.routing import EntryAddress
from cranberrylever.state import (
    AcceptTicket,
    AllocatePermits,
    AnnounceTarget,
    AssignShards,
    ClusterState,
    FreeShards,
    PinKey,
    ReleaseShards,
    RemoveTarget,
    SetTargetPhase,
    ShardAssignment,
    ShardRef,
    UnpinKey,
    build_view,
)

TICKET = 'number = 1\n[[service]]\nname = "ledger"\nkind = "keyed"\nshards = 4\n'
ANNOUNCEMENT = Announcement("t", "ledger", "h:1", "a", "i1", 3, 100, cold_capacity=2)


class ClusterStateTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.state = ClusterState()
        self.index = 0
        self.apply_commands(AcceptTicket(TICKET), AnnounceTarget(ANNOUNCEMENT))

    def apply_commands(self, *commands):
        for command in commands:
            self.index += 1
            self.state.apply(self.index, command)
        return self.state.shards["ledger"]

    def fence(self, shard: int) -> int:
        return self.state.shards["ledger"].records[shard].fence

    def refs(self, *shards: int) -> tuple[ShardRef, ...]:
        return tuple(ShardRef(shard, self.fence(shard)) for shard in shards)

    def assign(self, *shards: int) -> None:
        items = tuple(ShardAssignment(shard, self.fence(shard), "t", "i1") for shard in shards)
        self.apply_commands(AssignShards("ledger", items))

    def release_and_free(self, shard: int) -> None:
        self.apply_commands(ReleaseShards("ledger", self.refs(shard)))
        self.apply_commands(FreeShards("ledger", self.refs(shard)))

    def phases(self) -> list[str]:
        return [record.phase for _, record in self.state.shards["ledger"].items()]

    def test_life_cycle_takes_a_new_fence_at_each_step(self):
        """Guards against a fence that is used again, with which an outdated proposal would be applied."""
        fences = [self.fence(0)]
        for kind in (None, ReleaseShards, FreeShards):
            self.assign(0) if kind is None else self.apply_commands(kind("ledger", self.refs(0)))
            fences.append(self.fence(0))
        self.assertEqual(sorted(set(fences)), fences)
        self.assertEqual("free", self.phases()[0])

    def test_change_with_old_fence_or_phase_is_ignored(self):
        """Guards against a proposal of a former leader that changes a shard after a later change to it."""
        stale = self.refs(0)
        self.assign(0)
        before = self.state.snapshot()
        self.apply_commands(
            ReleaseShards("ledger", stale),
            FreeShards("ledger", self.refs(0)),
            AssignShards("ledger", (ShardAssignment(0, self.fence(0), "t", "i1"),)),
            AssignShards("ledger", (ShardAssignment(1, self.fence(1), "t", "i0"),)),
            ReleaseShards("nowhere", stale),
        )
        self.assertEqual(before, self.state.snapshot())

    def test_restart_at_same_address_voids_grants(self):
        """Guards against shards that wait for the grant of a process that has ended."""
        self.assign(0, 1)
        table = self.apply_commands(ReleaseShards("ledger", self.refs(1)))
        table = self.apply_commands(AnnounceTarget(attrs.evolve(ANNOUNCEMENT, incarnation="i2")))
        self.assertEqual([("releasing", ""), ("releasing", "")], self.holders(table))

    def test_restart_at_other_address_keeps_grants_until_they_expire(self):
        """Guards against two owners of a shard while the old process still serves at its old address."""
        self.assign(0, 1)
        table = self.apply_commands(
            AnnounceTarget(attrs.evolve(ANNOUNCEMENT, incarnation="i2", address="h:2"))
        )
        self.assertEqual([("releasing", "i1"), ("releasing", "i1")], self.holders(table))

    def holders(self, table) -> list[tuple[str, str]]:
        return [(record.phase, record.incarnation) for record in table.records[:2]]

    def test_withdrawn_or_leaving_target_gets_no_assignment(self):
        """Guards against work that is assigned to a target in a withdrawn failure domain."""
        withdraw = 'number = 2\n[[failure_domain]]\nname = "a"\nstate = "withdrawn"\n'
        self.apply_commands(AcceptTicket(withdraw))
        self.assign(0)
        self.assertEqual("free", self.phases()[0])
        self.assertFalse(build_view(self.state, ()).targets[0].routable)

    def test_ratios_of_a_ticket_reach_the_view(self):
        """Guards against ratios that a ticket accepts but entries never receive."""
        ratios = "retry_ratio = 0.25\nhedge_ratio = 0.0\n"
        self.apply_commands(AcceptTicket(TICKET.replace("number = 1", "number = 2") + ratios))
        service = build_view(self.state, ()).services[0]
        self.assertEqual((0.25, 0.0), (service.retry_ratio, service.hedge_ratio))

    def test_lost_target_releases_all_and_can_be_removed_only_when_empty(self):
        """Guards against a lost target that is removed while it may still hold shards."""
        self.assign(0, 1)
        remove = RemoveTarget("t", "i1")
        self.apply_commands(SetTargetPhase("t", "i1", "lost"), remove)
        self.assertEqual(["releasing", "releasing", "free", "free"], self.phases())
        self.assertIsNotNone(self.state.targets.get("t"))
        self.apply_commands(FreeShards("ledger", self.refs(0, 1)), remove)
        self.assertIsNone(self.state.targets.get("t"))

    def test_pins_change_only_while_no_work_runs(self):
        """Guards against a key that changes shards while requests for it run under the old shard."""
        self.assign(1)
        table = self.apply_commands(PinKey("ledger", 5))
        self.assertEqual({}, table.pins)
        self.release_and_free(1)
        table = self.apply_commands(PinKey("ledger", 5))
        self.assertEqual({5: 4}, table.pins)
        self.assign(4)
        self.assertEqual({5: 4}, self.apply_commands(UnpinKey("ledger", 5)).pins)
        self.release_and_free(4)
        self.assertEqual({}, self.apply_commands(UnpinKey("ledger", 5)).pins)
        self.assertIsNone(table.get(4))

    def test_permits_above_the_budget_are_ignored(self):
        """Guards against a cold target that is sent more work than its announced cold capacity."""
        self.apply_commands(AllocatePermits("t", "i1", {"e1": 2, "e2": 1}))
        self.assertEqual({}, self.state.permits.for_entry("e1"))
        self.apply_commands(AllocatePermits("t", "i1", {"e1": 1, "e2": 1}))
        self.assertEqual({"t": 1}, self.state.permits.for_entry("e1"))
        self.apply_commands(AnnounceTarget(attrs.evolve(ANNOUNCEMENT, cold_capacity=1)))
        self.assertEqual({}, self.state.permits.for_entry("e1"))

    def test_repeated_ticket_and_announcement_keep_the_view_version(self):
        """Guards against a new view for all entries although nothing changed."""
        version = self.state.view_version
        self.apply_commands(AcceptTicket(TICKET), AnnounceTarget(ANNOUNCEMENT), AcceptTicket("no toml"))
        self.assertEqual(version, self.state.view_version)

    def test_snapshot_restores_the_same_state(self):
        """Guards against a member whose state or view differs after it restored a snapshot."""
        self.apply_commands(PinKey("ledger", 6), AllocatePermits("t", "i1", {"e1": 1}))
        self.assign(0, 4)
        restored = ClusterState()
        restored.restore(self.state.snapshot())
        self.assertEqual(self.state.snapshot(), restored.snapshot())
        entries = (EntryAddress("e1", "h:9"),)
        view = build_view(restored, entries)
        self.assertEqual(build_view(self.state, entries), view)
        service = view.services[0]
        self.assertEqual((0, -1, -1, -1, 0), service.owners)
        self.assertEqual((("t",), {6: 4}), (service.owner_ids, service.pins))
        self.assertEqual({"t": ("e1",)}, view.permit_holders)
