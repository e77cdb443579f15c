"""Tests of what a new leader takes for held by grants of the leaders before it."""

import asyncio
import random

import attrs
import testtools

from cranberrylever.control_member import StateMachineAdapter
from cranberrylever.keyspace import FREE, HELD, KEY_SPACE_SIZE, RELEASING, KeyRange, RangeEdit
from cranberrylever.logs import Log
from cranberrylever.metrics import NullMetrics
from cranberrylever.route_control._commands import EditRanges, SubmitPlan, command_codec
from cranberrylever.route_control._leader import RouteControlLeader
from cranberrylever.route_control._lease_manager import LEASE_S, LeaseManager
from cranberrylever.route_control._state import RouteControlState
from cranberrylever.route_plan import RoutePlan
from tests.consensus.cluster import wait_for
from tests.consensus.group import FOUNDERS, Group
from tests.route_control.fakes import FakeGrantClient
from tests.route_control.test_ownership import PLAN, SERVICE, SingleMemberDriver
from tests.support import run_in_simulated_time

LAST_KEY = KEY_SPACE_SIZE - 1
HELD_KEYS = KeyRange(0, LAST_KEY, HELD, "a", 1, 1)
FREED_KEYS = attrs.evolve(HELD_KEYS, phase=FREE)
MAX_WAIT_S = 2 * LEASE_S
"""Time after which the grants of the leader before have expired."""

EDITS_BEHIND = 300
"""Edits that a new leader has not applied when it is elected; it applies them in several cycles."""


def create_leader(driver, state):
    log = Log("control", "test", "error")
    client = FakeGrantClient(random.Random(1))
    manager = LeaseManager(client, lambda: True, lambda: None, NullMetrics(), log)
    return RouteControlLeader(driver, state, manager, 1.0, log)


def assert_waits(leader, now):
    """Check that a leader takes all keys for held for a while from ``now`` on, the start of its term."""
    manager = leader.lease_manager
    assert not manager.is_released(HELD_KEYS, now + LEASE_S)
    assert manager.may_still_hold(FREED_KEYS, now + LEASE_S)
    assert manager.is_released(HELD_KEYS, now + MAX_WAIT_S)


def assert_no_wait(leader, now):
    manager = leader.lease_manager
    assert manager.is_released(HELD_KEYS, now)
    assert not manager.may_still_hold(FREED_KEYS, now)
    assert manager.hold_bound(HELD_KEYS, now) == 0.0


class FirstTermTest(testtools.TestCase):
    """A leader over a state that is complete when its term begins."""

    def start_term(self, state):
        """Run the first step of a leader over ``state`` and return the leader and the time of its start."""

        async def main():
            await asyncio.sleep(100.0)
            now = asyncio.get_running_loop().time()
            leader = create_leader(SingleMemberDriver(state), state)
            leader.step(now)
            await leader.close()
            return leader, now

        return run_in_simulated_time(main)

    def assign(self, state, *later_edits):
        """Put a plan in force, assign all keys to a target, and apply further edits of all keys."""
        state.apply(1, SubmitPlan(PLAN, 0))
        for edit in (RangeEdit(0, LAST_KEY, HELD, "a", 1), *later_edits):
            state.apply(2, EditRanges(SERVICE, state.tables[SERVICE].version, (edit,)))

    def test_first_leader_of_a_group_does_not_wait(self):
        """Guards against keys that cannot move for 4.5 s after the first start, when nobody can hold any."""
        state = RouteControlState()
        assert_no_wait(*self.start_term(state))
        state.apply(1, SubmitPlan(PLAN, 0))
        assert_no_wait(*self.start_term(state))

    def test_assignment_without_effect_is_no_grant(self):
        """Guards against a wait after an edit that was based on another version and assigned nothing."""
        state = RouteControlState()
        state.apply(1, SubmitPlan(PLAN, 0))
        state.apply(2, EditRanges(SERVICE, 7, (RangeEdit(0, LAST_KEY, HELD, "a", 1),)))
        assert_no_wait(*self.start_term(state))

    def test_leader_after_an_assignment_waits(self):
        """Guards against two owners of a key that the leader before has granted."""
        state = RouteControlState()
        self.assign(state)
        assert_waits(*self.start_term(state))

    def test_leader_waits_for_keys_that_were_freed(self):
        """Guards against a leader that looks only at the present holders: all keys may be free by now."""
        state = RouteControlState()
        self.assign(state, RangeEdit(0, LAST_KEY, RELEASING), RangeEdit(0, LAST_KEY, FREE))
        assert all(item.phase == FREE for item in state.tables[SERVICE].ranges)
        assert_waits(*self.start_term(state))

    def test_leader_with_a_state_from_a_snapshot_waits(self):
        """Guards against a member that restarts or lost its disk, and forgets that keys were granted."""
        state = RouteControlState()
        self.assign(state, RangeEdit(0, LAST_KEY, RELEASING), RangeEdit(0, LAST_KEY, FREE))
        restored = RouteControlState()
        restored.restore(state.snapshot())
        assert_waits(*self.start_term(restored))

    def test_leader_waits_after_plans_removed_and_added_the_service(self):
        """Guards against a leader that forgets the grants of a service which plans removed and added."""
        state = RouteControlState()
        self.assign(state)
        state.apply(3, SubmitPlan(RoutePlan(2, (), (), digest="e"), 1))
        assert_waits(*self.start_term(state))
        state.apply(4, SubmitPlan(attrs.evolve(PLAN, number=3, digest="f"), 2))
        assert state.plans.number == 3
        assert_waits(*self.start_term(state))
        restored = RouteControlState()
        restored.restore(state.snapshot())
        restored.tables.clear()
        assert_waits(*self.start_term(restored))


class RouteControlGroup(Group):
    """Group of three members with the replicated state of route control."""

    def __init__(self):
        super().__init__()
        self.create_machine = lambda: StateMachineAdapter(RouteControlState(), command_codec.decode)

    def state(self, name):
        return self.machines[name].state

    async def next_term(self):
        """Wait for a leader with a lease, run its first step, and return its id, its loop and the time."""
        loop = asyncio.get_running_loop()
        await wait_for(lambda: self.leader() is not None and self.leader().has_lease(loop.time()))
        name = self.leader().config.member_id
        leader = create_leader(self.drivers[name], self.state(name))
        leader.step(loop.time())
        return name, leader, loop.time()

    async def assign(self, leader):
        """Put a plan in force and make many edits, each of which assigns all keys to a target."""
        await leader.propose(SubmitPlan(PLAN, 0))
        edit = RangeEdit(0, LAST_KEY, HELD, "a", 1)
        await asyncio.gather(
            *(leader.propose(EditRanges(SERVICE, version, (edit,))) for version in range(EDITS_BEHIND))
        )


class NewLeaderTest(testtools.TestCase):
    """Leaders of a group of three members with a replicated log."""

    def run_group(self, scenario):
        """Run a scenario with a group whose first leader has assigned all keys."""

        async def main():
            group = RouteControlGroup()
            await group.form()
            name, leader, now = await group.next_term()
            assert_no_wait(leader, now)
            await group.assign(leader)
            await scenario(group, name)
            await group.stop_all()

        run_in_simulated_time(main)

    def test_leader_that_has_not_applied_the_assignments_when_it_is_elected(self):
        """Guards against a new leader that decides from its state before it has applied its whole log."""

        async def scenario(group, first):
            fences_at_stop = {name: group.state(name).next_fence for name in group.drivers}
            early = []
            for name in group.drivers.keys() - {first}:
                group.machines[name].callbacks.append(
                    lambda index, command, result, driver=group.drivers[name]: (
                        early.append(index) if driver.leader_since is not None else None
                    )
                )
            await group.stop(first)
            name, leader, now = await group.next_term()
            assert fences_at_stop[name] < fences_at_stop[first] == 1 + EDITS_BEHIND, fences_at_stop
            assert group.state(name).next_fence == 1 + EDITS_BEHIND
            assert early == []
            assert_waits(leader, now)

        self.run_group(scenario)

    def test_leader_whose_disk_was_lost(self):
        """Guards against a member that starts without data and forgets that keys were granted."""

        async def scenario(group, first):
            for name in group.drivers.keys() - {first}:
                await group.lose_disks([name])
                await wait_for(lambda: group.is_voting(*group.drivers))
            await group.stop(first)
            name, leader, now = await group.next_term()
            assert name != first
            assert_waits(leader, now)

        self.run_group(scenario)

    def test_group_that_restarts(self):
        """Guards against a group that forgets at its restart that keys were granted."""

        async def scenario(group, first):
            names = list(group.drivers)
            await group.stop_all()
            for name in names:
                await group.start(name, members=FOUNDERS)
            _, leader, now = await group.next_term()
            assert_waits(leader, now)

        self.run_group(scenario)
