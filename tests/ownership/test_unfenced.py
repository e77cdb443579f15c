"""Tests of the extra rules for targets that do not check fences."""

import itertools

import testtools

from cranberrylever.membership import Announcement
from cranberrylever.ownership import Coordinator, GrantAck
from cranberrylever.state import AcceptTicket, AnnounceTarget, ClusterState, FreeShards
from cranberrylever.wire import EntryHello, EntryReport

TICKET = 'number = 1\n[[service]]\nname = "ledger"\nkind = "keyed"\nshards = 1\n'
DRAIN = 'number = 2\n[[target]]\nid = "{}"\ndrain = true\n'
TICK = 0.025


class Handover:
    """Two targets and one entry; tests decide when the entry settles and when targets answer."""

    def __init__(self, checks_fence: bool) -> None:
        self.state = ClusterState()
        self.rules = Coordinator(self.state)
        self.index = itertools.count(1)
        self.sequence = itertools.count(1)
        self.now = 0.0
        self.settles = True
        self.settled = 0
        self.answers = True
        self.freed_at: float | None = None
        self.apply(AcceptTicket(TICKET))
        for name in ("t1", "t2"):
            announcement = Announcement(
                name, "ledger", f"{name}:1", "a", "i", 3, 100, checks_fence=checks_fence
            )
            self.apply(AnnounceTarget(announcement))
        self.rules.record_hello(EntryHello("e1", "i", "e1:1", "a"))
        self.rules.start_term(1, 0.0)

    def apply(self, command: object) -> None:
        """Apply a command at the next index."""
        self.state.apply(next(self.index), command)

    def advance(self, seconds: float) -> None:
        """Pass time step by step."""
        for _ in range(round(seconds / TICK)):
            self.now += TICK
            self.poll()
            if self.answers:
                self.renew()
            for command in self.rules.step(self.now):
                if isinstance(command, FreeShards) and self.freed_at is None:
                    self.freed_at = self.now
                self.apply(command)

    def poll(self) -> None:
        """Report for the entry."""
        version = self.state.view_version
        if self.settles:
            self.settled = version
        self.rules.record_report(EntryReport(next(self.sequence), "e1", "i", version, self.settled), self.now)

    def renew(self) -> None:
        """Answer every renewal that is due."""
        for name in ("t1", "t2"):
            renewal = self.rules.next_renewal(name, self.now)
            if renewal is not None:
                ack = GrantAck("i", self.now * 1000, renewal.sequence, renewal.version, state="warm")
                self.rules.record_grant_ack(name, renewal, ack, self.now)

    def owner(self) -> str:
        """Return the owner of the only shard."""
        return self.state.shards["ledger"].records[0].target_id

    def time_to_free_after_settling(self) -> float:
        """Drain the owner; it confirms before the entry settles and then stays silent."""
        self.advance(6.0)
        self.freed_at = None
        self.settles = False
        self.apply(AcceptTicket(DRAIN.format(self.owner())))
        self.advance(0.5)
        self.answers = False
        self.advance(0.1)
        self.settles = True
        settled_at = self.now
        self.advance(2.0)
        return self.freed_at - settled_at


class UnfencedTargetTest(testtools.TestCase):
    def test_early_confirmation_of_a_target_without_fence_checks_does_not_count(self):
        """Guards against a second owner while requests sent before the entry settled reach the first."""
        self.assertLess(Handover(checks_fence=True).time_to_free_after_settling(), 0.1)
        self.assertGreater(Handover(checks_fence=False).time_to_free_after_settling(), 0.5)
