"""Tests of the leader's part in the quotas of customers."""

import attrs
import testtools

from cranberrylever.route_control._commands import RecordEntry, SubmitPlan
from cranberrylever.route_control._state import RouteControlState
from cranberrylever.wire import FeedReport, QuotaNeed, QuotaReport
from tests.quota.feed_model import customer
from tests.route_control.test_ownership import PLAN, SingleMemberDriver
from tests.route_control.test_takeover import create_leader
from tests.support import run_in_simulated_time


def report(sequence):
    """Return a report of an entry with a request that waits for a token."""
    needs = (QuotaNeed("bakery", waiting=1),)
    return FeedReport("c", "entry", sequence, 0, 0, 0, quota=QuotaReport(7, 0, needs))


class LeaderQuotaTest(testtools.TestCase):
    """Tokens by the plan in force and the recorded entries."""

    def start_term(self):
        """Return a leader whose plan has a customer with a quota, and the state that it reads."""
        state = RouteControlState()
        state.apply(1, SubmitPlan(attrs.evolve(PLAN, customers=(customer(),)), 0))

        async def start():
            leader = create_leader(SingleMemberDriver(state), state)
            leader._start_term(0.0)
            return leader

        return run_in_simulated_time(start), state

    def test_entry_gets_no_token_before_it_is_recorded(self):
        """Guards against tokens at an entry whose statement the next leader would not wait for."""
        leader, state = self.start_term()
        assert leader.grant_quota(report(1), 10.0) == ()
        state.apply(2, RecordEntry("entry"))
        leader.grant_quota(report(2), 20.0)
        assert leader.grant_quota(report(3), 30.0)[0].count == 1

    def test_report_without_quotas_costs_nothing(self):
        """Guards against accounts in deployments whose entries ask for no tokens."""
        leader, state = self.start_term()
        state.apply(2, RecordEntry("entry"))
        assert leader.grant_quota(attrs.evolve(report(1), quota=None), 10.0) == ()
