"""Tests of API keys that a plan took away: what later leaders know and entries are told."""

import testtools

from cranberrylever.route_control._commands import SubmitPlan
from cranberrylever.route_control._published_view import PublishedView
from cranberrylever.route_control._suspects import SuspectTracker
from cranberrylever.route_entry._view import EntryView
from cranberrylever.route_plan import Customer, RoutePlan
from cranberrylever.settings import LimitSettings
from cranberrylever.wire import FeedReply
from cranberrylever.wire._view_sections import with_sections
from tests.consensus.group import FOUNDERS
from tests.route_control.test_takeover import RouteControlGroup
from tests.support import run_in_simulated_time

BEFORE = (Customer("x", ("kept", "removed")),)
AFTER = (Customer("x", ("kept",)),)


def plan(number, customers):
    source = b"source with keys %d" % number
    return RoutePlan(number, (), (), source=source, digest=f"d{number}", customers=customers)


class NewLeaderTest(testtools.TestCase):
    def run_group(self, lose_leader):
        """Take a key away, lose the leader right after the acknowledgement, and ask the next one."""

        async def main():
            group = RouteControlGroup()
            await group.form()
            name, leader, _ = await group.next_term()
            await leader.propose(SubmitPlan(plan(1, BEFORE), 0))
            view = EntryView(LimitSettings())
            self.update(view, group.state(name))
            assert view.customers.find("removed") is not None
            await leader.propose(SubmitPlan(plan(2, AFTER), 1))
            await lose_leader(group, name)
            name, _, _ = await group.next_term()
            fresh = EntryView(LimitSettings())
            for entry_view in (view, fresh):
                self.update(entry_view, group.state(name))
                assert entry_view.customers.find("removed") is None
                assert entry_view.customers.find("kept").name == "x"
                assert entry_view.matcher.plan.source == b""
            await group.stop_all()

        run_in_simulated_time(main)

    @staticmethod
    def update(view, state):
        """Give an entry the plan that it lacks, as changes if it holds one."""
        published = PublishedView(None, state, SuspectTracker())
        data = published.compressed_plan(view.plan_version)
        view.apply(with_sections(FeedReply("test", 1, True, ""), data), 0.0)

    def test_leader_lost_right_after_the_acknowledgement(self):
        """Guards against a new leader that confirms views with a key that was taken away."""
        self.run_group(lambda group, name: group.stop(name))

    def test_group_that_restarts(self):
        """Guards against a key that is back in force after all members have stopped."""

        async def restart(group, _):
            names = list(group.drivers)
            await group.stop_all()
            for name in names:
                await group.start(name, members=FOUNDERS)

        self.run_group(restart)
