"""Tests of grants in the answers to announcements: losses, late answers, restarts and changes of leader."""

import asyncio
import itertools
import random

import attrs
import testtools

from cranberrylever.errors import NotLeaderError
from cranberrylever.keyspace import HELD, RELEASING, KeyRange
from cranberrylever.logs import Log
from cranberrylever.metrics import NullMetrics
from cranberrylever.route_control import HeldKeys, KeyReport, ReleasedKeys
from cranberrylever.route_control._announced_grants import (
    ANNOUNCED_LEASE_S,
    DELIVERY_TIME_S,
    MAX_GRANTS_PER_ANSWER,
    MAX_UNCONFIRMED_ANSWERS,
    AnnouncedGranter,
)
from cranberrylever.route_control._commands import SubmitPlan, command_codec
from cranberrylever.route_control._lease_manager import LeaseManager
from cranberrylever.route_control._service import LeaderRouteControlService
from cranberrylever.target_registry import RegisteredTarget
from cranberrylever.wire import FeedReport, PartWork, ServiceWork
from tests.consensus.cluster import wait_for
from tests.route_control.announced_targets import AnnouncingTarget
from tests.route_control.fakes import SLOWEST_CLOCK_FACTOR, FakeGrantClient
from tests.route_control.test_ownership import COMMIT_DELAY_S, PLAN, SERVICE, SimulatedControl
from tests.support import run_in_simulated_time

ANNOUNCED_PLAN = attrs.evolve(
    PLAN, services=tuple(attrs.evolve(service, granted_in_answers=True) for service in PLAN.services)
)
TARGET = RegisteredTarget("a", 1, SERVICE, "a:80", "z", 3)
ITEM = KeyRange(0, 99, HELD, "a", 1, 7)
NOTHING = KeyReport()
HELD_ITEM = KeyReport((HeldKeys(0, 99, 7),))
SETTLED_S = 10.0
"""Time after the start of a term from which the grants of the leader before have expired."""

FAULTS = ("restart", "crash", "cut", "heal", "drain", "leader", "leader", "lossy")
CHECK_INTERVAL_S = 0.02


def run_with_granter(scenario):
    """Run ``scenario`` with a granter whose term began long ago."""

    async def main():
        manager = LeaseManager(
            FakeGrantClient(random.Random(1)),
            lambda: True,
            lambda: None,
            NullMetrics(),
            Log("c", "t", "error"),
        )
        manager.start_term(0.0, ANNOUNCED_LEASE_S)
        await asyncio.sleep(SETTLED_S)
        await scenario(manager, AnnouncedGranter(manager, Log("c", "t", "error")))
        await manager.close()

    run_in_simulated_time(main)


def now():
    return asyncio.get_running_loop().time()


class AnnouncedGranterTest(testtools.TestCase):
    def test_granted_keys_count_as_held_until_the_lease_ends_at_the_slowest_clock(self):
        """Guards against keys that are assigned again while a target holds them by a late answer."""

        async def scenario(manager, granter):
            answer = granter.build_answer([ITEM], TARGET, NOTHING, now())
            assert [(grant.first, grant.last, grant.fence) for grant in answer.grants] == [(0, 99, 7)]
            assert answer.lease == ANNOUNCED_LEASE_S
            end = now() + ANNOUNCED_LEASE_S * SLOWEST_CLOCK_FACTOR
            assert not manager.is_released(ITEM, end)
            assert manager.is_released(ITEM, end + 0.2)

        run_with_granter(scenario)

    def test_keys_that_an_answer_leaves_out_are_held_until_they_are_reported(self):
        """Guards against keys of a target that releases them and still works on them."""

        async def scenario(manager, granter):
            granter.build_answer([ITEM], TARGET, NOTHING, now())
            releasing = attrs.evolve(ITEM, phase=RELEASING)
            assert granter.end_releasing([releasing], TARGET)
            assert granter.build_answer([releasing], TARGET, HELD_ITEM, now()).grants == ()
            granter.record_report([releasing], TARGET, HELD_ITEM, now())
            granter.record_report([releasing], TARGET, NOTHING, now())
            assert not manager.is_released(releasing, now())
            report = KeyReport((), (ReleasedKeys(0, 99, "token"),))
            granter.record_report([releasing], TARGET, report, now())
            assert manager.is_released(releasing, now())
            assert manager.tokens.find(0, 99) == "token"

        run_with_granter(scenario)

    def test_repeated_release_report_after_a_new_grant(self):
        """Guards against a lost answer whose repeated release report voids the grant made since."""

        async def scenario(manager, granter):
            granter.build_answer([ITEM], TARGET, NOTHING, now())
            report = KeyReport((HeldKeys(0, 99, 7),), (ReleasedKeys(0, 99, "token"),))
            granter.record_report([ITEM], TARGET, report, now())
            assert not manager.is_released(ITEM, now())

        run_with_granter(scenario)

    def test_entries_may_use_a_grant_once_its_answer_has_arrived(self):
        """Guards against a new owner that entries learn of an announcement interval later."""

        async def scenario(manager, granter):
            granter.build_answer([ITEM], TARGET, NOTHING, now())
            assert not manager.is_granted(ITEM)
            await asyncio.sleep(2 * DELIVERY_TIME_S)
            assert manager.is_granted(ITEM)
            granter.record_report([ITEM], TARGET, NOTHING, now())
            assert not manager.is_granted(ITEM)
            granter.record_report([ITEM], TARGET, HELD_ITEM, now())
            assert manager.is_granted(ITEM)

        run_with_granter(scenario)

    def test_range_that_a_target_never_holds_gets_a_new_fence(self):
        """Guards against a target that has seen a higher fence and never serves its keys."""

        async def scenario(manager, granter):
            for _ in range(MAX_UNCONFIRMED_ANSWERS):
                assert manager.refused_ranges == set()
                granter.build_answer([ITEM], TARGET, NOTHING, now())
                granter.record_report([ITEM], TARGET, NOTHING, now())
            assert manager.refused_ranges == {(("a", 1), 0, 99, 7)}

        run_with_granter(scenario)

    def test_range_held_in_parts_counts_as_held(self):
        """Guards against grants that are taken for lost because the target states adjacent parts of them."""
        report = KeyReport((HeldKeys(50, 99, 7), HeldKeys(0, 49, 7)))
        assert report.holds(ITEM)
        assert not KeyReport((HeldKeys(0, 49, 7), HeldKeys(51, 99, 7))).holds(ITEM)
        assert not KeyReport((HeldKeys(0, 99, 6),)).holds(ITEM)

    def test_answer_stays_within_the_limit_of_targets(self):
        """Guards against an answer that a target does not accept because it is too long."""

        async def scenario(manager, granter):
            ranges = [KeyRange(number, number, HELD, "a", 1, number + 1) for number in range(200)]
            report = KeyReport((HeldKeys(199, 199, 200),))
            answer = granter.build_answer(ranges, TARGET, report, now())
            assert len(answer.grants) == MAX_GRANTS_PER_ANSWER
            assert 199 in {grant.first for grant in answer.grants}

        run_with_granter(scenario)

    def test_impossible_reports_are_named(self):
        """Guards against a report of another writer that changes what the ledger knows."""
        assert "no range" in KeyReport((HeldKeys(5, 4, 1),)).find_error()
        assert "no range" in KeyReport((), (ReleasedKeys(0, 65_536),)).find_error()
        assert "negative" in KeyReport((HeldKeys(0, 1, -1),)).find_error()
        assert HELD_ITEM.find_error() == ""


class AnnouncedControl(SimulatedControl):
    """A leader with targets that get their keys in answers; answers are lost and late."""

    def __init__(self, seed, lost_ratio=0.0, clock_factor=1.0):
        self.announcing = {}
        self.unreachable = set()
        self.lost_ratio = lost_ratio
        self.violations = []
        self.grant_count = 0
        super().__init__(seed, clock_factor=clock_factor)

    def start_leader(self):
        super().start_leader()
        log = Log("control", "test", "error")
        self.service = LeaderRouteControlService(
            self.driver, self.leader, self.state, None, NullMetrics(), log
        )

    async def start(self, targets):
        await self.driver.propose(command_codec.encode(SubmitPlan(ANNOUNCED_PLAN, 0)))
        for number in range(targets):
            self.start_announcing(number)
        self.leader.start()
        self.announcer = asyncio.get_running_loop().create_task(self._report_work())
        self.checker = asyncio.get_running_loop().create_task(self._check_holders())

    async def close(self):
        self.checker.cancel()
        for target in self.announcing.values():
            target.stop()
        await super().close()

    def start_announcing(self, number):
        address = f"10.0.0.{number}:80"
        self.stop_announcing(address)
        self.next_started_ms += 1
        target = AnnouncingTarget(
            f"t{number}",
            self.next_started_ms,
            address,
            SERVICE,
            lambda announcement, report: self.deliver(address, announcement, report),
            self.rng,
            self.clock_factor,
        )
        self.announcing[address] = target
        target.start()

    def stop_announcing(self, address):
        target = self.announcing.pop(address, None)
        if target is not None:
            target.stop()

    async def deliver(self, address, announcement, report):
        """Deliver an announcement and its answer; both may be lost or late."""
        await self._transfer(address)
        answer = await self.service.announce(announcement, report)
        if answer is not None:
            self.grant_count += len(answer.grants)
        await self._transfer(address)
        return answer

    async def _transfer(self, address):
        if address in self.unreachable or self.rng.random() < self.lost_ratio / 2:
            await asyncio.sleep(10.0)
            raise NotLeaderError(None)
        slow = self.rng.random() < self.lost_ratio
        await asyncio.sleep(self.rng.uniform(0.0, 0.6) if slow else 0.001)

    async def _report_work(self):
        while True:
            await asyncio.sleep(0.5)
            parts = tuple(PartWork(self.rng.randrange(800, 1_600), 0.1) for _ in range(20))
            self.leader.record_report(FeedReport("c", "e", 1, 0, 0, 0, (ServiceWork(SERVICE, parts),)))

    async def _check_holders(self):
        while True:
            self.check_holders()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check_holders(self):
        """Record each pair of targets that hold, or work on, the same key."""
        held = sorted(
            (hold.first, hold.last, address)
            for address, target in self.announcing.items()
            for hold in target.holds_at(now())
        )
        for (_, last, holder), (first, _, other_holder) in itertools.pairwise(held):
            if holder != other_holder and last >= first:
                self.violations.append(f"{holder} and {other_holder} hold key {first} at {now():.3f}")

    def published_share(self):
        table = self.state.tables[SERVICE]
        service = self.leader.service(SERVICE)
        owned = sum(item.size for item in table.ranges if self.leader.published_owner(item, service))
        return owned / 65_536


class AnnouncedOwnershipTest(testtools.TestCase):
    def test_all_keys_are_served_soon_after_the_start(self):
        """Guards against targets that get no keys because the product only grants by calls."""

        async def scenario():
            control = AnnouncedControl(1)
            await control.start(6)
            await asyncio.sleep(4.0)
            assert control.published_share() == 1.0
            assert control.grant_client.grants == 0
            await control.close()

        run_in_simulated_time(scenario)

    def test_lost_target_is_replaced_after_its_lease(self):
        """Guards against keys of a lost target that have no owner for longer than its lease."""

        async def scenario():
            control = AnnouncedControl(2)
            await control.start(6)
            await asyncio.sleep(6.0)
            control.unreachable.add("10.0.0.3:80")
            await asyncio.sleep(ANNOUNCED_LEASE_S + 2.0)
            # A planned move of a few keys may be in progress, so the check repeats for 1 s.
            await wait_for(lambda: control.published_share() == 1.0, seconds=1.0)
            assert all(item.target_id != "t3" for item in control.state.tables[SERVICE].ranges)
            assert control.violations == []
            await control.close()

        run_in_simulated_time(scenario)

    def test_draining_target_hands_its_keys_over(self):
        """Guards against keys of a leaving target that wait for the end of its lease."""

        async def scenario():
            control = AnnouncedControl(3)
            await control.start(6)
            await asyncio.sleep(6.0)
            control.announcing["10.0.0.3:80"].draining = True
            await asyncio.sleep(3.0)
            assert all(item.target_id != "t3" for item in control.state.tables[SERVICE].ranges)
            await wait_for(lambda: control.published_share() == 1.0, seconds=1.0)
            assert control.violations == []
            await control.close()

        run_in_simulated_time(scenario)

    def test_moving_keys_are_unserved_for_less_than_an_announcement_interval(self):
        """Guards against keys without an owner until the next announcement of their new one."""

        async def scenario():
            control = AnnouncedControl(5)
            await control.start(6)
            await asyncio.sleep(SETTLED_S)
            unserved = []
            for number in (3, 4, 5):
                control.announcing[f"10.0.0.{number}:80"].draining = True
                for _ in range(300):
                    await asyncio.sleep(0.01)
                    unserved.append(1.0 - control.published_share())
            # The keys of three of six targets moved; a mean below this allows each 0.5 s.
            seconds = sum(unserved) * 0.01
            assert seconds < 0.5 * 0.6, seconds
            assert control.violations == []
            await control.close()

        run_in_simulated_time(scenario)

    def test_change_of_leader_does_not_interrupt_holders(self):
        """Guards against leases that end because a new leader answers without them."""

        async def scenario():
            control = AnnouncedControl(4)
            await control.start(6)
            await asyncio.sleep(6.0)
            before = {item.target_id for item in control.state.tables[SERVICE].ranges}
            await control.change_leader()
            await asyncio.sleep(1.5)
            assert {item.target_id for item in control.state.tables[SERVICE].ranges} == before
            assert control.published_share() == 1.0
            await control.close()

        run_in_simulated_time(scenario)

    def test_random_faults_never_give_a_key_two_holders(self):
        """Guards against two holders: every 20 ms all targets are compared, with keys they work on."""
        for seed in range(6):
            self.run_faults(seed, 40.0)

    def run_faults(self, seed, seconds):
        async def scenario():
            control = AnnouncedControl(seed, 0.05, SLOWEST_CLOCK_FACTOR)
            control.driver.draw_commit_delay = lambda: control.rng.uniform(COMMIT_DELAY_S, 0.2)
            await control.start(6)
            end = now() + seconds
            while now() < end:
                await asyncio.sleep(control.rng.uniform(0.2, 2.0))
                await self.inject_fault(control)
            control.unreachable.clear()
            control.lost_ratio = 0.0
            control.start_announcing(0)
            control.start_announcing(1)
            await asyncio.sleep(14.0)
            assert control.violations == [], (seed, control.violations[:3])
            assert control.grant_count > seconds, seed
            await wait_for(lambda: control.published_share() == 1.0, seconds=3.0)
            await control.close()

        run_in_simulated_time(scenario)

    async def inject_fault(self, control):
        rng = control.rng
        number = rng.randrange(6)
        address = f"10.0.0.{number}:80"
        match rng.choice(FAULTS):
            case "restart":
                control.start_announcing(number)
            case "crash":
                control.stop_announcing(address)
            case "cut":
                control.unreachable.add(address)
            case "heal":
                control.unreachable.clear()
                control.lost_ratio = 0.05
            case "drain":
                if address in control.announcing:
                    control.announcing[address].draining = True
            case "leader":
                await control.change_leader()
            case "lossy":
                control.lost_ratio = 0.4
        if not control.announcing:
            control.start_announcing(0)
