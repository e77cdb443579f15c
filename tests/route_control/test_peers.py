"""Tests of the choice of entries that take requests of others."""

import random

import testtools

from cranberrylever.route_control._peers import MAX_PEERS, Peer, choose_peers

NOW = 100.0


class ChoosePeersTest(testtools.TestCase):
    def choose(self, *peers):
        return choose_peers(peers, NOW, random.Random(1))

    def test_entries_that_take_no_requests_are_not_named(self):
        """Guards against requests passed on to an entry that reaches no target itself or stops."""
        assert self.choose(Peer("", NOW), Peer("a:1", NOW)) == ("a:1",)

    def test_silent_entries_are_not_named(self):
        """Guards against requests passed on to an entry that has been cut off or stopped."""
        assert self.choose(Peer("a:1", NOW - 2.0), Peer("b:1", NOW - 0.4)) == ("b:1",)

    def test_few_of_many_entries_are_named(self):
        """Guards against replies that grow with the number of entries."""
        assert len(self.choose(*(Peer(f"{number}:1", NOW) for number in range(80)))) == MAX_PEERS
