"""Tests of the leader loop and the grant sender with a fake driver."""

import asyncio

import testtools

from cranberrylever.control._grants import GrantSender
from cranberrylever.control._leader import LeaderLoop
from cranberrylever.logs import Log
from cranberrylever.membership import Announcement
from cranberrylever.ownership import Coordinator
from cranberrylever.state import AcceptTicket, AnnounceTarget, ClusterState
from tests.support import run_paused

TICKET = 'number = 1\n[[service]]\nname = "desk"\nkind = "pooled"\n'
ANNOUNCEMENT = Announcement("t1", "desk", "127.0.0.1:1", "a", "i1", slots=1, connections=1)


class FakeDriver:
    """A driver whose leadership and lease tests set."""

    def __init__(self) -> None:
        self.term = 1
        self.leader_since = 0.0
        self.lease = True
        self.applied_index = 2
        self.leader_id = "c1"

    def has_lease(self, now: float) -> bool:
        """Tell whether the lease is held."""
        return self.lease

    async def propose(self, payload: bytes) -> object:
        """Commit nothing."""
        return None


def coordinator() -> Coordinator:
    """Return a coordinator whose state has one target."""
    state = ClusterState()
    state.apply(1, AcceptTicket(TICKET))
    state.apply(2, AnnounceTarget(ANNOUNCEMENT))
    return Coordinator(state)


class LeaderLoopTest(testtools.TestCase):
    def test_lease_that_lapses_within_a_term_keeps_grant_sequences(self):
        """Guards against repeated grant sequences, which a target that checks fences refuses."""

        async def main() -> list[int]:
            driver = FakeDriver()
            rules = coordinator()
            loop = LeaderLoop(driver, rules, Log("control", "c1"), lambda: None)
            loop.start()
            await asyncio.sleep(0.1)
            rules.next_renewal("t1", asyncio.get_running_loop().time())
            sequences = [rules.grants.sequence]
            driver.lease = False
            await asyncio.sleep(0.1)
            driver.lease = True
            await asyncio.sleep(0.1)
            sequences.append(rules.grants.sequence)
            await loop.close()
            return sequences

        before, after = run_paused(main)
        self.assertEqual(1, before)
        self.assertEqual(before, after)


class GrantSenderTest(testtools.TestCase):
    def test_cancelled_renewal_does_not_stay_outstanding(self):
        """Guards against a target that loses its grant because a cancelled renewal blocks the next one."""

        async def main() -> object:
            rules = coordinator()
            loop = asyncio.get_running_loop()
            rules.start_term(1, loop.time())
            sender = GrantSender("c", rules, lambda: True)
            never = loop.create_future()
            sender._post = lambda renewal: never
            sender.send_due()
            await asyncio.sleep(0.05)
            await sender.close()
            await asyncio.sleep(0.3)
            return rules.next_renewal("t1", loop.time())

        self.assertIsNotNone(run_paused(main))
