"""Quotas of all customers at the leader, which grants tokens for requests to the entries that ask."""

import math
from collections.abc import Collection, Iterable

import attrs

from cranberrylever.quota._account import QuotaAccount
from cranberrylever.quota._takeover import TakeoverStatements
from cranberrylever.route_plan import Customer
from cranberrylever.wire import QuotaGrant, QuotaNeed, QuotaReport

PROCESS_TIMEOUT_S = 3.0
"""Time without a report after which a process is forgotten; over AHEAD_TOKEN_LIFETIME_S."""

NOTICE_INTERVAL_S = 10.0
"""Time between two notices that the same customer has used up its quota."""

CHECK_INTERVAL_S = 1.0
"""Time between two looks for processes without reports and for accounts that are no longer needed."""

MAX_NEXT_IN_S = 60.0
"""Longest time that an entry is told to wait for tokens."""

TAKEOVER_DELAY_S = 0.1
"""Longest time that an entry is told to wait while reports that say more are still expected."""

TAKEOVER_S = 1.0
"""Time of a term within which the reports of all entries are expected."""

UNKNOWN_CUSTOMER_DELAY_S = 0.2
"""Time after which an entry asks again whose plan is newer or older than that of the leader."""


@attrs.define
class _ReportingProcess:
    """Process of an entry with its last report and the customers that the report named."""

    sequence: int = 0
    reported_at: float = 0.0
    customers: set[str] = attrs.field(factory=set)


class QuotaLedger:
    """Grants tokens for requests so that the quotas hold over all entries; times are loop seconds.

    A new leader does not know what its predecessor has granted. It counts as much as that may have been,
    until it has expired or all entries have stated what they hold, and its accounts begin empty.

    Args:
        now: Time at which this member began to lead.
        entries: Ids of all entries that an earlier leader may have granted tokens to; it follows changes.

    Attributes:
        notices: Customers whose requests had to wait for tokens, each at most once in
            ``NOTICE_INTERVAL_S``, until they are taken.
        granted: Tokens granted in this term.
        unmet: Tokens that reports asked for and that were not granted at once, in this term.
    """

    def __init__(self, now: float, entries: Collection[str]) -> None:
        self.term_began_at = now
        self.statements = TakeoverStatements(entries)
        self.customers: tuple[Customer, ...] = ()
        self.accounts: dict[str, QuotaAccount] = {}
        self.limited: dict[str, Customer] = {}
        self.processes: dict[int, _ReportingProcess] = {}
        self.checked_at = now
        self.noticed_at: dict[str, float] = {}
        self.notices: list[Customer] = []
        self.granted = 0
        self.unmet = 0

    def set_customers(self, customers: tuple[Customer, ...], now: float) -> None:
        """Apply the quotas of a plan.

        The account of a customer whose quota was taken away is kept until it is full, since the customer may
        get a quota again.
        """
        if customers is self.customers:
            return
        self.customers = customers
        limited = [customer for customer in customers if customer.rate is not None]
        self.limited = {customer.name: customer for customer in limited}
        for customer in limited:
            account = self.accounts.get(customer.name)
            if account is None:
                account = QuotaAccount(customer.rate, customer.burst, now, self.term_began_at)
                self.accounts[customer.name] = account
            elif (account.rate, account.burst) != (customer.rate, customer.burst):
                account.set_quota(customer.rate, customer.burst, now)

    def answer(
        self, report: QuotaReport | None, entry_id: str, sequence: int, now: float
    ) -> tuple[QuotaGrant, ...]:
        """Record the tokens of an entry and grant what it asks for in the report ``sequence``."""
        if report is None:
            return ()
        process = self.processes.setdefault(report.process, _ReportingProcess())
        if sequence <= process.sequence:
            # A stream that the entry has given up delivers late; its answers would not arrive.
            return ()
        process.sequence, process.reported_at = sequence, now
        if self.statements.record(entry_id, report):
            self._take_over(now)
        needs = {need.customer: need for need in report.needs}
        for name in process.customers - needs.keys():
            self._record(report, QuotaNeed(name), now)
        grants = [self._answer(report, need, sequence, now) for need in needs.values()]
        process.customers = set(needs) | {
            name for name in process.customers if self._is_in_use(name, report.process)
        }
        self._check(now)
        return tuple(grant for grant in grants if grant is not None)

    def take_notices(self) -> list[Customer]:
        """Return the customers of the notices since the last call."""
        notices, self.notices = self.notices, []
        return notices

    def outstanding(self) -> float:
        """Return the number of tokens that entries may hold."""
        return sum(account.outstanding for account in self.accounts.values())

    def _take_over(self, now: float) -> None:
        """Replace what the predecessor may have granted by what the entries have stated."""
        recent = self.statements.recent_requests()
        held = self.statements.held_tokens()
        for name, account in self.accounts.items():
            account.advance(now)
            account.take_over(recent.get(name, 0), held.get(name, {}), self.term_began_at)

    def _record(self, report: QuotaReport, need: QuotaNeed, now: float) -> QuotaAccount | None:
        account = self.accounts.get(need.customer)
        if account is not None:
            account.advance(now)
            account.confirm(report.process, report.received, need.held, need.returned)
            account.demand(report.process, need.waiting, need.ahead, now)
        return account

    def _answer(self, report: QuotaReport, need: QuotaNeed, sequence: int, now: float) -> QuotaGrant | None:
        account = self._record(report, need, now)
        if account is None or need.customer not in self.limited:
            return QuotaGrant(need.customer, 0, 0, UNKNOWN_CUSTOMER_DELAY_S) if need.waiting else None
        count = account.grant_waiting(report.process, sequence, now)
        ahead = account.grant_ahead(report.process, sequence, now)
        self.granted += count + ahead
        self.unmet += need.waiting - count
        if count < need.waiting:
            self._notice(need.customer, now)
        if not (need.waiting or ahead):
            return None
        is_unmet = count < need.waiting
        next_in = account.next_in(report.process, now) if is_unmet else 0.0
        queue = account.queue_time() if is_unmet else 0.0
        longest = TAKEOVER_DELAY_S if now < self.term_began_at + TAKEOVER_S else MAX_NEXT_IN_S
        return QuotaGrant(need.customer, count, ahead, min(next_in, longest), min(queue, longest))

    def _notice(self, name: str, now: float) -> None:
        if now - self.noticed_at.get(name, -math.inf) >= NOTICE_INTERVAL_S:
            self.noticed_at[name] = now
            self.notices.append(self.limited[name])

    def _is_in_use(self, name: str, process: int) -> bool:
        account = self.accounts.get(name)
        return account is not None and process in account.batches

    def _check(self, now: float) -> None:
        """Forget processes without reports, and accounts that are full and belong to no quota."""
        if now - self.checked_at < CHECK_INTERVAL_S:
            return
        self.checked_at = now
        silent = [
            number
            for number, process in self.processes.items()
            if now - process.reported_at > PROCESS_TIMEOUT_S
        ]
        for number in silent:
            self._forget_process(number, self.processes.pop(number).customers, now)
        self.noticed_at = {name: time for name, time in self.noticed_at.items() if name in self.accounts}
        for name in [name for name in self.accounts if name not in self.limited]:
            self.accounts[name].advance(now)
            if self.accounts[name].is_settled():
                del self.accounts[name]

    def _forget_process(self, number: int, customers: Iterable[str], now: float) -> None:
        for account in filter(None, map(self.accounts.get, customers)):
            account.advance(now)
            account.demand(number, 0, 0, now)
            account.batches.pop(number, None)
