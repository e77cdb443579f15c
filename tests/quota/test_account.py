"""Tests of the account of one customer, the check of its reports, and their size."""

import testtools

from cranberrylever.metrics import NullMetrics
from cranberrylever.quota import QuotaAccount, QuotaClient, QuotaLedger, TokenStock
from cranberrylever.route_control._report_check import check_report
from cranberrylever.route_plan import Customer
from cranberrylever.wire import FeedReply, FeedReport, QuotaGrant, QuotaNeed, QuotaReport, decode, encode
from tests.quota.feed_model import customer
from tests.support import run_in_simulated_time

OWN, OTHER = 1, 2


def full_account():
    """Return an account of 10 requests per second and a burst of 10 that is full at time 10."""
    account = QuotaAccount(10.0, 10.0, 0.0, -10.0)
    account.advance(10.0)
    return account


class QuotaAccountTest(testtools.TestCase):
    """What the leader counts as still usable."""

    def test_grant_under_way_stays_counted(self):
        """Guards against tokens that arrive after the leader has counted them as used."""
        account = full_account()
        account.demand(OWN, 6, 0, 10.0)
        assert account.grant_waiting(OWN, 5, 10.0) == 6
        account.confirm(OWN, received=4, held=0, returned=0)
        assert account.outstanding == 6
        account.confirm(OWN, received=5, held=2, returned=0)
        assert account.outstanding == 2

    def test_returned_tokens_are_granted_again_at_once(self):
        """Guards against credit that is lost with each token that an entry held and did not use."""
        account = full_account()
        account.demand(OWN, 10, 0, 10.0)
        account.grant_waiting(OWN, 5, 10.0)
        account.confirm(OWN, received=5, held=0, returned=10)
        account.demand(OTHER, 10, 0, 10.0)
        assert account.grant_waiting(OTHER, 6, 10.0) == 10

    def test_more_than_was_granted_is_not_taken_back(self):
        """Guards against a report of too many returned tokens, which would raise the quota."""
        account = full_account()
        account.confirm(OWN, received=5, held=0, returned=1000)
        assert account.pool + account.outstanding == 10

    def test_lower_burst_counts_at_once(self):
        """Guards against the burst of an earlier quota that is granted after it was lowered."""
        account = full_account()
        account.set_quota(1.0, 2.0, 10.0)
        account.demand(OWN, 10, 0, 10.0)
        assert account.grant_waiting(OWN, 5, 10.0) == 2
        assert account.next_in(OWN, 10.0) == 1.0

    def test_customer_without_requests_is_never_granted(self):
        """Guards against a division by a rate of zero."""
        ledger = QuotaLedger(-10.0, ("e",))
        ledger.set_customers((customer(0.0, 0.0),), 0.0)
        report = QuotaReport(OWN, 0, (QuotaNeed("bakery", waiting=1),))
        assert ledger.answer(report, "e", 1, 100.0) == (QuotaGrant("bakery", 0, 0, 60.0, 60.0),)

    def test_late_report_of_an_earlier_stream_is_ignored(self):
        """Guards against tokens for a stream that the entry has given up, and against an old count."""
        ledger = QuotaLedger(-10.0, ("e",))
        ledger.set_customers((customer(),), 0.0)
        report = QuotaReport(OWN, 0, (QuotaNeed("bakery", waiting=1),))
        assert ledger.answer(report, "e", 2, 10.0)[0].count == 1
        assert ledger.answer(report, "e", 1, 10.0) == ()
        assert ledger.outstanding() == 1


class TokenStockTest(testtools.TestCase):
    """Tokens at an entry."""

    def test_late_request_gives_back_no_token_of_another(self):
        """Guards against two requests that run on one token."""
        stock = TokenStock()
        stock.record(QuotaGrant("bakery", 0, 2, 0.0), 1, 10.0, 10.0)
        assert stock.try_take(10.0)
        assert stock.try_take(10.5)
        assert not stock.give_back(10.0, 10.6)
        assert not stock.try_take(10.6)
        assert stock.give_back(10.5, 10.6)
        assert stock.try_take(10.6)


class QuotaMessageTest(testtools.TestCase):
    """Reports with tokens on the feed."""

    def test_impossible_counts_are_dropped(self):
        """Guards against a count below zero, which would raise a quota."""
        needs = (QuotaNeed("a", waiting=-1), QuotaNeed("b", returned=-5), QuotaNeed("c", held=1))
        checked, dropped = check_report(FeedReport("c", "e", 1, 0, 0, 0, quota=QuotaReport(1, 0, needs)))
        assert checked.quota.needs == needs[2:]
        assert dropped == 2

    def test_report_of_an_impossible_process_is_dropped(self):
        """Guards against a report that frees what an earlier leader may have granted."""
        for process, uptime in ((-1, 0.0), (1, float("nan")), (1, float("inf"))):
            quota = QuotaReport(process, 5, (QuotaNeed("a", returned=40),), uptime)
            checked, dropped = check_report(FeedReport("c", "e", 1, 0, 0, 0, quota=quota))
            assert checked.quota is None
            assert dropped == 1

    def test_no_bytes_without_quotas(self):
        """Guards against a part of each report in deployments whose customers have no quotas."""

        async def build_report():
            client = QuotaClient(lambda: None, NullMetrics())
            client.set_customers((Customer("bakery", ("digest",)),))
            await client.acquire(client.customers[0], 1.0)
            return client.build_report(1, True, 0.0)

        assert run_in_simulated_time(build_report) is None

    def test_messages_of_the_previous_version_are_read(self):
        """Guards against a program update in which entries and control do not understand each other."""
        report = decode(
            encode(
                {
                    "cluster_id": "c",
                    "entry_id": "e",
                    "sequence": 1,
                    "plan_version": 0,
                    "fleet_version": 0,
                    "ranges_version": 0,
                }
            ),
            FeedReport,
        )
        reply = decode(encode({"cluster_id": "c", "sequence": 1, "is_leader": True, "leader": ""}), FeedReply)
        assert report.quota is None
        assert reply.quota == ()
