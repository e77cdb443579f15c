"""Tests of the leader loop and the grant sender on a fake consensus driver."""

import asyncio

import testtools

from cranberrylever.control._grants import GrantSender
from cranberrylever.control._leader import LeaderLoop
from cranberrylever.logs import Log
from cranberrylever.membership import Announcement
from cranberrylever.ownership import Coordinator
from cranberrylever.state import AcceptTicket, AnnounceTarget, ClusterState
from tests.support import run_in_simulated_time

TICKET = 'number = 1\n[[service]]\nname = "desk"\nkind = "pooled"\n'
ANNOUNCEMENT = Announcement("t1", "desk", "127.0.0.1:1", "a", "i1", slots=1, connections=1)


class FakeDriver:
    """A consensus driver whose term and lease are set by the test."""

    def __init__(self) -> None:
        self.term = 1
        self.leader_since = 0.0
        self.lease = True
        self.applied_index = 2
        self.leader_id = "c1"

    def has_lease(self, now: float) -> bool:
        """Return whether the lease is held."""
        return self.lease

    async def propose(self, payload: bytes) -> object:
        """Commit nothing."""
        return None


def create_coordinator() -> Coordinator:
    """Return a coordinator over a state with one target."""
    state = ClusterState()
    state.apply(1, AcceptTicket(TICKET))
    state.apply(2, AnnounceTarget(ANNOUNCEMENT))
    return Coordinator(state)


class LeaderLoopTest(testtools.TestCase):
    def test_lease_that_lapses_within_a_term_keeps_grant_sequences(self):
        """Guards against repeated grant sequences, which targets that check fences refuse."""

        async def main() -> list[int]:
            driver = FakeDriver()
            coordinator = create_coordinator()
            loop = LeaderLoop(driver, coordinator, Log("control", "c1"), lambda: None)
            loop.start()
            await asyncio.sleep(0.1)
            coordinator.next_renewal("t1", asyncio.get_running_loop().time())
            sequences = [coordinator.grants.sequence]
            driver.lease = False
            await asyncio.sleep(0.1)
            driver.lease = True
            await asyncio.sleep(0.1)
            sequences.append(coordinator.grants.sequence)
            await loop.close()
            return sequences

        before, after = run_in_simulated_time(main)
        self.assertEqual(1, before)
        self.assertEqual(before, after)


class GrantSenderTest(testtools.TestCase):
    def test_cancelled_renewal_does_not_stay_outstanding(self):
        """Guards against a cancelled renewal that blocks the next one, so that the grant expires."""

        async def main() -> object:
            coordinator = create_coordinator()
            loop = asyncio.get_running_loop()
            coordinator.start_term(1, loop.time())
            sender = GrantSender("c", coordinator, lambda: True)
            unanswered = loop.create_future()
            sender._post = lambda renewal: unanswered
            sender.send_due()
            await asyncio.sleep(0.05)
            await sender.close()
            await asyncio.sleep(0.3)
            return coordinator.next_renewal("t1", loop.time())

        self.assertIsNotNone(run_in_simulated_time(main))
