"""Tests of what the lease manager takes for held, with calls that cross the commits of edits."""

import asyncio
import random

import attrs
import testtools

from cranberrylever.keyspace import HELD, RELEASING, KeyRange
from cranberrylever.keyspace._ranges import FREE
from cranberrylever.logs import Log
from cranberrylever.metrics import NullMetrics
from cranberrylever.route_control._lease_manager import LEASE_S, LeaseManager
from cranberrylever.target_registry import RegisteredTarget
from tests.route_control.fakes import FakeGrantClient, FakeTarget
from tests.support import run_in_simulated_time

TARGET = RegisteredTarget("a", 1, "ledger", "a:80", "z", 3)
ITEM = KeyRange(0, 99, HELD, "a", 1, 7)
TERM_SETTLED_S = 2 * LEASE_S
"""Time after which the grants of the leader before have expired."""


def run_with_manager(scenario):
    """Run ``scenario`` with a lease manager whose term began long ago, at a target that answers."""

    async def main():
        client = FakeGrantClient(random.Random(1))
        client.targets["a:80"] = FakeTarget("a", 1)
        manager = LeaseManager(client, lambda: True, lambda: None, NullMetrics(), Log("c", "t", "error"))
        manager.start_term(0.0)
        await asyncio.sleep(TERM_SETTLED_S)
        await scenario(manager)
        await manager.close()

    run_in_simulated_time(main)


async def step(manager, item, seconds=0.1):
    """Let the manager start the calls that are due for ``item``, and wait."""
    now = asyncio.get_running_loop().time()
    manager.step([item], {TARGET.incarnation: TARGET}, "/healthz", now)
    await asyncio.sleep(seconds)
    return now + seconds


class FreedRangeTest(testtools.TestCase):
    def test_grant_between_proposal_and_commit_of_a_free_range(self):
        """Guards against a range that is assigned again while a target holds it by a grant sent meanwhile.

        No call for the range has begun when it is proposed to be freed, and it is granted before the commit.
        """

        async def scenario(manager):
            now = asyncio.get_running_loop().time()
            assert manager.is_released(ITEM, now)
            now = await step(manager, ITEM)
            assert manager.is_granted(ITEM)
            free = attrs.evolve(ITEM, phase=FREE)
            assert manager.may_still_hold(free, now)
            assert manager.may_still_hold(free, now + 0.9 * LEASE_S)
            assert not manager.may_still_hold(free, now + 1.1 * LEASE_S)

        run_with_manager(scenario)

    def test_released_range_is_free_at_once(self):
        """Guards against planned moves that wait for the end of a lease."""

        async def scenario(manager):
            await step(manager, ITEM)
            releasing = attrs.evolve(ITEM, phase=RELEASING)
            await step(manager, releasing)
            now = await step(manager, releasing)
            assert manager.is_released(releasing, now)
            assert not manager.may_still_hold(attrs.evolve(ITEM, phase=FREE), now)

        run_with_manager(scenario)

    def test_range_freed_by_an_earlier_leader_may_be_held(self):
        """Guards against a new leader that assigns keys which the last one granted before it freed them."""

        async def scenario(manager):
            now = asyncio.get_running_loop().time()
            manager.start_term(now)
            free = attrs.evolve(ITEM, phase=FREE)
            assert manager.may_still_hold(free, now + LEASE_S)
            assert not manager.may_still_hold(free, now + TERM_SETTLED_S)
            never_held = KeyRange(200, 299)
            assert not manager.may_still_hold(never_held, now)

        run_with_manager(scenario)
