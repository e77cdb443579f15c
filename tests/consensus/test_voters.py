"""Tests of a group that grows to the voters that the stated losses take."""

import asyncio
import itertools
import random

import testtools

from cranberrylever.consensus import Timings, voters_needed
from cranberrylever.consensus._messages import EntryKind
from tests.consensus.cluster import wait_for
from tests.consensus.group import FOUNDERS, Group
from tests.support import run_in_simulated_time

OTHERS = ("d:1", "e:1")
MEMBERS = (*FOUNDERS, *OTHERS)


class LossTest(testtools.TestCase):
    """Five members of which two may be lost, with three founders."""

    def test_two_lost_disks_after_an_acknowledgement_keep_the_group_and_the_change(self):
        """Guards against a group without a leader, or without the change, whichever two disks are lost."""
        for lost in itertools.combinations(MEMBERS, 2):

            async def scenario(lost=lost):
                group = Group(voters=5)
                await group.grow(*OTHERS)
                await group.leader().propose(b"acknowledged")
                await group.lose_disks(lost, down=1.2)
                await wait_for(group.leader)
                await group.leader().propose(b"later")
                assert group.leader().state_machine.payloads == {b"acknowledged", b"later"}
                await wait_for(lambda: group.is_voting(*MEMBERS))
                await group.stop_all()

            run_in_simulated_time(scenario)

    def test_two_more_lost_disks_after_the_repair(self):
        """Guards against members that are back but still count with the directories that they lost."""

        async def scenario():
            group = Group(voters=5)
            await group.grow(*OTHERS)
            await group.leader().propose(b"one")
            for lost in (("a:1", "b:1"), ("a:1", "c:1"), ("d:1", "e:1")):
                await group.lose_disks(lost)
                await wait_for(lambda: group.is_voting(*MEMBERS))
            assert b"one" in group.leader().state_machine.payloads
            await group.stop_all()

        run_in_simulated_time(scenario)

    def test_change_is_not_acknowledged_before_the_group_has_its_voters(self):
        """Guards against an acknowledgement by three founders that two lost disks take away."""

        async def scenario():
            group = Group(voters=5)
            for name in (*FOUNDERS, *OTHERS):
                await group.start(name, bootstrap=name in FOUNDERS)
            await wait_for(group.leader)
            assert len(group.leader().group()) == 5
            await group.stop_all()

        run_in_simulated_time(scenario)

    def test_group_without_enough_members_serves(self):
        """Guards against a group that waits forever for members that do not exist."""

        async def scenario():
            group = Group(voters=5)
            for name in (*FOUNDERS, "d:1"):
                await group.start(name, bootstrap=name in FOUNDERS)
            await wait_for(group.leader, Timings().formation_timeout + 2.0)
            await group.leader().propose(b"one")
            assert sorted(group.leader().group()) == sorted(FOUNDERS)
            await group.stop_all()

        run_in_simulated_time(scenario)

    def test_two_lost_voters_are_replaced_by_learners(self):
        """Guards against a group that replaces no lost voter because another one is lost as well."""

        async def scenario():
            group = Group(voters=5)
            await group.grow(*OTHERS)
            for name in ("f:1", "g:1"):
                await group.start(name)
            lost = [name for name in MEMBERS if group.drivers[name] is not group.leader()][:2]
            for name in lost:
                await group.stop(name)
            expected = (set(MEMBERS) | {"f:1", "g:1"}) - set(lost)
            await wait_for(lambda: group.is_voting(*expected))
            await group.stop_all()

        run_in_simulated_time(scenario)


class AdditionTest(testtools.TestCase):
    """A loss at the moment at which a voter is added."""

    def test_founder_lost_while_a_voter_is_added_does_not_stop_the_group(self):
        """Guards against an added voter that needs the agreement of every voter before it."""
        for seed in range(20):

            async def scenario(seed=seed):
                rng = random.Random(seed)
                group = Group(voters=5)
                for name in FOUNDERS:
                    await group.start(name, bootstrap=True)
                for name in OTHERS:
                    await group.start(name)

                def is_adding():
                    return any(
                        driver.node.leadership and len(driver.node.memberships.latest.folders) > len(FOUNDERS)
                        for driver in group.drivers.values()
                        if driver.node.memberships.latest is not None
                    )

                await wait_for(is_adding)
                await asyncio.sleep(rng.uniform(0, 0.01))
                await group.stop(rng.choice(FOUNDERS))
                await wait_for(group.leader)
                await group.leader().propose(b"one")
                await group.stop_all()

            run_in_simulated_time(scenario)

    def test_no_voter_is_added_to_an_even_number(self):
        """Guards against a fourth voter that makes the loss of two of four members fatal."""

        async def scenario():
            group = Group(voters=5)
            await group.grow()
            await group.start("d:1")
            await asyncio.sleep(1.0)
            assert sorted(group.leader().group()) == sorted(FOUNDERS)
            memberships = [
                entry
                for entry in group.leader().node.log.entries
                if entry.kind == EntryKind.MEMBERSHIP and b"d:1" in entry.payload
            ]
            assert memberships == []
            await group.stop_all()

        run_in_simulated_time(scenario)

    def test_voters_are_spread_over_failure_domains(self):
        """Guards against three of five voters in one failure domain."""

        async def scenario():
            group = Group(voters=5)
            for name, domain in zip(FOUNDERS, ("north", "south", "west"), strict=True):
                await group.start(name, bootstrap=True, failure_domain=domain)
            names = ("d:1", "e:1", "f:1", "g:1")
            for name, domain in zip(names, ("north", "north", "south", "west"), strict=True):
                await group.start(name, failure_domain=domain)
            await wait_for(lambda: group.leader() is not None and len(group.leader().group()) == 5)
            added = set(group.leader().group()) - set(FOUNDERS)
            assert len(added & {"d:1", "e:1"}) < 2, added
            await group.stop_all()

        run_in_simulated_time(scenario)


class VotersNeededTest(testtools.TestCase):
    def test_majority_survives_the_stated_losses(self):
        """Guards against too few voters for the loss of instances or of whole failure domains."""
        cases = {
            (0, 0, 0): 1,
            (1, 1, 3): 3,
            (2, 1, 5): 5,
            (2, 1, 3): 5,
            (1, 2, 5): 5,
            (3, 1, 7): 7,
            (1, 3, 7): 7,
            (1, 1, 2): 3,
        }
        for losses, voters in cases.items():
            self.assertEqual(voters, voters_needed(*losses), losses)
