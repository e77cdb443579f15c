"""Quotas of customers at an entry, which takes tokens for requests from the leader."""

import asyncio
import random
from collections import deque
from collections.abc import Callable

from cranberrylever.customers import CustomerQuota, QuotaExceededError
from cranberrylever.metrics import Metrics
from cranberrylever.quota._stock import TokenStock
from cranberrylever.route_plan import Customer
from cranberrylever.wire import AHEAD_TOKEN_LIFETIME_S, QuotaGrant, QuotaReport

MAX_WAIT_S = 1.0
"""Longest time that a request waits for a token: another leader may have to be found."""

MAX_QUEUE_S = 0.2
"""Longest time until its token, as stated by the leader, for which a request waits.

A customer that asks for more than its quota would else have each of its requests served late.
"""

MAX_WAIT_SHARE = 0.75
"""Limit on this wait as a share of the time that the request has left."""

MIN_RETRY_AFTER_S = 0.05
"""Shortest delay after which the caller of a refused request may retry."""

MAX_PROCESS_NUMBER = 2**62
"""Bound of the random numbers of processes, so large that no two processes are expected to share one."""


class QuotaClient(CustomerQuota):
    """Tokens of one entry for the requests of its customers.

    Args:
        request_report: Called when a report should be sent to the leader at once.
        metrics: Metrics of the process.
        rng: Rounds the number of requests that wait in a long queue.

    Attributes:
        process: Random number by which the leader tells this process from earlier ones of the same entry.
    """

    def __init__(
        self, request_report: Callable[[], None], metrics: Metrics, rng: random.Random | None = None
    ) -> None:
        self.request_report = request_report
        self.metrics = metrics
        self.process = random.SystemRandom().randrange(MAX_PROCESS_NUMBER)
        self.began_at = _now()
        self.customers: tuple[Customer, ...] = ()
        self.limited: set[str] = set()
        self.stocks: dict[str, TokenStock] = {}
        self.waiters: dict[str, deque[asyncio.Future[float]]] = {}
        self.rng = rng or random.Random()
        self.sent_at: dict[int, float] = {}
        self.received = 0

    def set_customers(self, customers: tuple[Customer, ...]) -> None:
        """Apply the quotas of a plan; what the leader said about earlier ones no longer holds."""
        if customers is self.customers:
            return
        self.customers = customers
        self.limited = {customer.name for customer in customers if customer.rate is not None}
        for name, stock in self.stocks.items():
            stock.next_grant_at = stock.ask_again_at = 0.0
            if name not in self.limited:
                self._release(name, stock)

    async def acquire(self, customer: Customer, deadline: float) -> float:
        """Take a token, wait for one if there is none.

        Returns:
            Loop time at which it was taken.

        Raises:
            QuotaExceededError: No token is expected in time, or none has come.
        """
        now = _now()
        if customer.rate is None:
            return now
        stock = self.stocks.setdefault(customer.name, TokenStock())
        stock.record_request(now)
        if not stock.waiting and stock.try_take(now):
            return now
        wait_until = now + min(MAX_WAIT_S, MAX_WAIT_SHARE * (deadline - now))
        if stock.is_statement_recent(now) and stock.next_grant_at > min(wait_until, now + MAX_QUEUE_S):
            raise self._refusal(stock, now)
        return await self._wait(customer.name, stock, wait_until)

    def give_back(self, customer: Customer, taken_at: float) -> None:
        """Return the token of a request that was refused for other reasons, if its lifetime allows it."""
        stock = self.stocks.get(customer.name)
        if stock is not None and stock.give_back(taken_at, _now()):
            self._serve(customer.name, stock, _now())

    def build_report(self, sequence: int, is_first: bool, now: float) -> QuotaReport | None:
        """Return the part of the report ``sequence`` about tokens, ``None`` without customers with quotas.

        The answers to earlier reports are lost when it is the first on its stream.
        """
        if not (self.limited or self.stocks):
            return None
        if is_first:
            for stock in self.stocks.values():
                stock.pending.clear()
                stock.next_grant_at = stock.ask_again_at = 0.0
        needs = (stock.build_need(name, sequence, now, is_first) for name, stock in self.stocks.items())
        report = QuotaReport(
            self.process,
            self.received,
            tuple(need for need in needs if need is not None),
            now - self.began_at if is_first else -1.0,
        )
        self.stocks = {name: stock for name, stock in self.stocks.items() if not stock.is_idle()}
        self.sent_at = {
            number: sent_at
            for number, sent_at in self.sent_at.items()
            if now - sent_at < AHEAD_TOKEN_LIFETIME_S
        }
        self.sent_at[sequence] = now
        self.metrics.count("quota_tokens_asked", sum(need.waiting for need in report.needs))
        return report

    def record(self, grants: tuple[QuotaGrant, ...], sequence: int, now: float) -> None:
        """Record the leader's answer to the report ``sequence``; one that is late brings no tokens."""
        self.received = sequence
        sent_at = self.sent_at.get(sequence)
        if sent_at is None:
            return
        for grant in grants:
            stock = self.stocks.setdefault(grant.customer, TokenStock())
            stock.record(grant, sequence, sent_at, now)
            self._serve(grant.customer, stock, now)
            if grant.queue > MAX_QUEUE_S:
                # Rounded at random, since most entries have a single request in a long queue.
                kept = int(stock.waiting * MAX_QUEUE_S / grant.queue + self.rng.random())
                self._refuse_newest(grant.customer, stock, kept, now)
            if stock.waiting:
                delay = max(0.0, stock.ask_again_at - now)
                asyncio.get_running_loop().call_later(delay, self._ask, grant.customer)
        self.metrics.count("quota_tokens_received", sum(grant.count + grant.ahead for grant in grants))

    async def _wait(self, name: str, stock: TokenStock, wait_until: float) -> float:
        """Wait for a token in the order of arrival."""
        waiter = asyncio.get_running_loop().create_future()
        waiters = self.waiters.setdefault(name, deque())
        waiters.append(waiter)
        stock.waiting += 1
        self._ask(name)
        try:
            async with asyncio.timeout_at(wait_until):
                return await waiter
        except TimeoutError:
            if _has_token(waiter):
                return waiter.result()
            raise self._refusal(stock, _now()) from None
        except asyncio.CancelledError:
            if _has_token(waiter) and stock.give_back(waiter.result(), _now()):
                self._serve(name, stock, _now())
            raise
        finally:
            if waiter in waiters:
                waiters.remove(waiter)
                stock.waiting -= 1
            if not waiters and self.waiters.get(name) is waiters:
                del self.waiters[name]

    def _ask(self, name: str) -> None:
        """Ask the leader for the tokens of the requests that wait, unless a report has done so."""
        stock = self.stocks.get(name)
        if stock is not None and stock.may_ask(_now()):
            self.request_report()

    def _serve(self, name: str, stock: TokenStock, now: float) -> None:
        """Give the requests that wait the tokens that there are."""
        waiters = self.waiters.get(name, ())
        while waiters and stock.try_take(now):
            waiter = waiters.popleft()
            stock.waiting -= 1
            if waiter.done():
                stock.give_back(now, now)
            else:
                waiter.set_result(now)

    def _release(self, name: str, stock: TokenStock) -> None:
        """Let the requests go on that wait for a quota which the customer no longer has."""
        for waiter in self.waiters.pop(name, ()):
            stock.waiting -= 1
            if not waiter.done():
                waiter.set_result(_now())

    def _refuse_newest(self, name: str, stock: TokenStock, kept: int, now: float) -> None:
        """Refuse the requests that wait but the ``kept`` oldest, as their tokens are too far away."""
        waiters = self.waiters.get(name, deque())
        while len(waiters) > kept:
            waiter = waiters.pop()
            stock.waiting -= 1
            if not waiter.done():
                waiter.set_exception(self._refusal(stock, now))

    def _refusal(self, stock: TokenStock, now: float) -> QuotaExceededError:
        self.metrics.count("quota_refusals")
        return QuotaExceededError(max(MIN_RETRY_AFTER_S, stock.next_grant_at - now))


def _has_token(waiter: asyncio.Future[float]) -> bool:
    return waiter.done() and not waiter.cancelled() and waiter.exception() is None


def _now() -> float:
    return asyncio.get_running_loop().time()
