"""Tests of freeing shards of targets that do not check fences."""

import itertools

import testtools

from cranberrylever.membership import Announcement
from cranberrylever.ownership import Coordinator, GrantAck
from cranberrylever.state import AcceptTicket, AnnounceTarget, ClusterState, FreeShards
from cranberrylever.wire import EntryHello, EntryReport

TICKET = 'number = 1\n[[service]]\nname = "ledger"\nkind = "keyed"\nshards = 1\n'
DRAIN = 'number = 2\n[[target]]\nid = "{}"\ndrain = true\n'
TICK_S = 0.025


class Handover:
    """Two targets and one entry; a test controls when the entry settles and the targets answer."""

    def __init__(self, checks_fence: bool) -> None:
        self.state = ClusterState()
        self.coordinator = Coordinator(self.state)
        self.index = itertools.count(1)
        self.sequence = itertools.count(1)
        self.now = 0.0
        self.entry_settles = True
        self.settled = 0
        self.targets_answer = True
        self.freed_at: float | None = None
        self.apply(AcceptTicket(TICKET))
        for name in ("t1", "t2"):
            announcement = Announcement(
                name, "ledger", f"{name}:1", "a", "i", 3, 100, checks_fence=checks_fence
            )
            self.apply(AnnounceTarget(announcement))
        self.coordinator.record_hello(EntryHello("e1", "i", "e1:1", "a"))
        self.coordinator.start_term(1, 0.0)

    def apply(self, command: object) -> None:
        """Apply a command at the next log index."""
        self.state.apply(next(self.index), command)

    def advance(self, seconds: float) -> None:
        """Advance the time in ticks."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self.poll()
            if self.targets_answer:
                self.renew()
            for command in self.coordinator.step(self.now):
                if isinstance(command, FreeShards) and self.freed_at is None:
                    self.freed_at = self.now
                self.apply(command)

    def poll(self) -> None:
        """Send the entry's report."""
        version = self.state.view_version
        if self.entry_settles:
            self.settled = version
        self.coordinator.record_report(
            EntryReport(next(self.sequence), "e1", "i", version, self.settled), self.now
        )

    def renew(self) -> None:
        """Answer every renewal that is due."""
        for name in ("t1", "t2"):
            renewal = self.coordinator.next_renewal(name, self.now)
            if renewal is not None:
                ack = GrantAck("i", self.now * 1000, renewal.sequence, renewal.version, state="warm")
                self.coordinator.record_grant_ack(name, renewal, ack, self.now)

    def owner(self) -> str:
        """Return the owner of the only shard."""
        return self.state.shards["ledger"].records[0].target_id

    def time_to_free_after_settling(self) -> float:
        """Return the seconds from settling to freeing, for an owner that answers only before settling."""
        self.advance(6.0)
        self.freed_at = None
        self.entry_settles = False
        self.apply(AcceptTicket(DRAIN.format(self.owner())))
        self.advance(0.5)
        self.targets_answer = False
        self.advance(0.1)
        self.entry_settles = True
        settled_at = self.now
        self.advance(2.0)
        return self.freed_at - settled_at


class UnfencedTargetTest(testtools.TestCase):
    def test_early_confirmation_of_a_target_without_fence_checks_does_not_count(self):
        """Guards against a second owner while the first still receives requests sent before settling."""
        self.assertLess(Handover(checks_fence=True).time_to_free_after_settling(), 0.1)
        self.assertGreater(Handover(checks_fence=False).time_to_free_after_settling(), 0.5)
