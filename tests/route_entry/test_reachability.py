"""Tests of how an entry notices that it has lost its links to all targets."""

import testtools

from cranberrylever.logs import Log
from cranberrylever.route_entry._reachability import TargetReachability
from tests.support import run_in_simulated_time


class TargetReachabilityTest(testtools.TestCase):
    def outcomes(self, *outcomes, target_count=20):
        """Return whether the links count as lost after each outcome, a failed address or an empty string."""

        async def scenario():
            reachability = TargetReachability(lambda: target_count, lambda: None, Log("entry", "e", "error"))
            states = []
            for address in outcomes:
                reachability.record(address or "up", not address)
                states.append(reachability.is_lost)
            return states

        return run_in_simulated_time(scenario)

    def test_entry_notices_that_it_reaches_no_target(self):
        """Guards against an entry that tries its lost links for as long as they are cut (canopy-gate)."""
        assert self.outcomes("a", "b", "c", "d") == [False, False, False, True]

    def test_failed_targets_among_others_are_no_lost_links(self):
        """Guards against requests that take a longer way because some targets are down."""
        assert not any(self.outcomes("a", "b", "c", "", "d", "a", "a", "a", "a"))

    def test_single_target_that_is_down_is_no_lost_link(self):
        """Guards against a longer way to the only target of a small system, which is down for all entries."""
        assert not any(self.outcomes("a", "a", "a", "a", target_count=1))
        assert self.outcomes("a", "b", target_count=2)[-1]

    def test_one_connection_does_not_restore_lost_links(self):
        """Guards against an entry that changes its mind with each connection while links lose packets."""
        assert self.outcomes("a", "b", "c", "d", "", "a", "")[-1]
        assert not self.outcomes("a", "b", "c", "d", "", "")[-1]
