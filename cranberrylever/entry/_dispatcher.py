"""Runs a request at targets: attempts, retries, hedging and crash suspects."""

import asyncio
from collections.abc import Callable

import aiohttp

from cranberrylever.entry._admission import Admission
from cranberrylever.entry._client import ConnectionLostError, TargetClient, TargetRefusedError
from cranberrylever.entry._crashes import CrashWatch
from cranberrylever.entry._exchange import Attempt, Exchange
from cranberrylever.entry._hedging import Answer, HedgedSend
from cranberrylever.entry._targets import TargetStates
from cranberrylever.entry._tuning import EntryTuning
from cranberrylever.entry._views import ViewStore
from cranberrylever.errors import NotRunError
from cranberrylever.limits import RunningQuantile, TokenBucket
from cranberrylever.metrics import Metrics
from cranberrylever.routing import ServiceView

HEDGE_QUANTILE = 0.95
MIN_HEDGE_DELAY = 0.001

CANCEL_TIME = 0.1
"""Seconds after which a target has ended the work of a closed connection."""


class ServiceLimits:
    """Budgets and latency of one service at this entry."""

    def __init__(self, service: ServiceView) -> None:
        self.retries = TokenBucket(service.retry_ratio)
        self.hedges = TokenBucket(service.hedge_ratio)
        self.latency = RunningQuantile(HEDGE_QUANTILE)

    def record_request(self, service: ServiceView) -> None:
        """Add the shares of one request at the ratios in force."""
        self.retries.ratio = service.retry_ratio
        self.hedges.ratio = service.hedge_ratio
        self.retries.record_request()
        self.hedges.record_request()


class Dispatcher:
    """Runs requests at targets under the view in force.

    Args:
        views: The view in force.
        admission: Finds targets with room.
        targets: States of the targets.
        crashes: Crash suspects.
        client: HTTP client.
        tuning: Constants.
        metrics: Metrics of the process.
        report_soon: Makes the next report to control leave at once.
    """

    def __init__(
        self,
        views: ViewStore,
        admission: Admission,
        targets: TargetStates,
        crashes: CrashWatch,
        client: TargetClient,
        tuning: EntryTuning,
        metrics: Metrics,
        report_soon: Callable[[], None],
    ) -> None:
        self.views = views
        self.admission = admission
        self.targets = targets
        self.crashes = crashes
        self.client = client
        self.tuning = tuning
        self.metrics = metrics
        self.report_soon = report_soon
        self.limits: dict[str, ServiceLimits] = {}

    async def run(self, exchange: Exchange) -> Answer:
        """Return the attempt that was answered, and the answer with its body unread.

        The caller must pass the attempt to ``finish``.

        Raises:
            NotRunError: The last attempt did not run; an earlier one may have (``exchange.may_have_run``).
            UnknownOutcomeError: A target may have run the request.
        """
        name = exchange.service.name
        limits = self.limits.get(name)
        if limits is None:
            limits = self.limits[name] = ServiceLimits(exchange.service)
        limits.record_request(exchange.service)
        tried: set[str] = set()
        reason = ""
        backoff = self.tuning.retry_backoff
        try:
            while True:
                await self.crashes.admit(exchange)
                attempt = await self.admission.acquire(exchange, tried, reason)
                try:
                    return await self._send(exchange, attempt, limits, tried)
                except (NotRunError, ConnectionLostError) as error:
                    await self._prepare_retry(exchange, attempt, error, limits, tried, backoff)
                    reason = "retry"
                    backoff = min(2 * backoff, self.tuning.max_retry_backoff)
        finally:
            self.crashes.leave(exchange)

    def finish(self, attempt: Attempt) -> None:
        """Note that the answer to an attempt is complete or its connection closed."""
        if self.admission.release(attempt):
            self.report_soon()

    async def examine_truncated(self, attempt: Attempt) -> None:
        """Find out why the connection ended within the answer."""
        probe = self.crashes.note_loss(attempt)
        self.finish(attempt)
        await self.crashes.hold(probe)

    async def _prepare_retry(
        self,
        exchange: Exchange,
        attempt: Attempt,
        error: NotRunError | ConnectionLostError,
        limits: ServiceLimits,
        tried: set[str],
        backoff: float,
    ) -> None:
        """Wait before the next attempt, or raise ``error`` when there must be none."""
        if isinstance(error, ConnectionLostError):
            await self.crashes.hold(error.probe)
        if exchange.may_have_run and not exchange.idempotent:
            raise error
        now = asyncio.get_running_loop().time()
        remaining = exchange.deadline - now
        if remaining <= 0 or not self.views.is_valid(now) or not limits.retries.take():
            raise error
        self.metrics.count("retries")
        is_new_target_likely = not exchange.is_keyed and attempt.target_id not in tried
        tried.add(attempt.target_id)
        if not is_new_target_likely:
            await self.views.wait_for_change(min(backoff, remaining))

    async def _send(
        self, exchange: Exchange, attempt: Attempt, limits: ServiceLimits, tried: set[str]
    ) -> Answer:
        if exchange.is_keyed or not exchange.idempotent or attempt.state is None:
            return attempt, await self._send_one(attempt)
        delay = limits.latency.value()
        if delay is None or exchange.is_forwarded:
            return attempt, await self._send_one(attempt)

        def second() -> Attempt | None:
            if not limits.hedges.is_available() or not self.crashes.is_clear(exchange):
                return None
            hedge = self.admission.try_acquire(exchange, tried | {attempt.target_id}, "hedge")
            if hedge is not None:
                limits.hedges.take()
                self.metrics.count("hedges")
            return hedge

        hedged = HedgedSend(self._send_one, second, self._discard)
        return await hedged.run(attempt, max(delay, MIN_HEDGE_DELAY))

    async def _send_one(self, attempt: Attempt) -> aiohttp.ClientResponse:
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            response = await self.client.send(attempt, started)
        except TargetRefusedError as error:
            self._record_refusal(attempt, error, loop.time())
            self.finish(attempt)
            raise
        except ConnectionLostError as error:
            error.probe = self.crashes.note_loss(attempt)
            self.finish(attempt)
            raise
        except asyncio.CancelledError:
            self._abandon(attempt, loop.time())
            raise
        except BaseException:
            self.finish(attempt)
            raise
        if attempt.state is not None:
            now = loop.time()
            if self.targets.record_answer(attempt.state, attempt, now):
                self._report_cold(attempt, "latency jump")
            if attempt.answered_by not in ("", attempt.incarnation):
                self._mark_cold(attempt, "new incarnation", now)
            if not attempt.exchange.is_keyed:
                self.limits[attempt.exchange.service.name].latency.record(now - started)
        return response

    def _abandon(self, attempt: Attempt, now: float) -> None:
        """End an attempt whose connection has been closed without an answer."""
        if attempt.state is None or not attempt.sent:
            self.finish(attempt)
            return
        self.targets.record_abandoned(attempt.state, attempt, now)
        if now >= attempt.exchange.deadline:
            attempt.state.limit.record_refusal(now)
        if self.targets.needs_permit(attempt.state.view, now):
            # The target runs the work until it notices the closed connection, so its permit is still in use.
            asyncio.get_running_loop().call_later(CANCEL_TIME, self.finish, attempt)
        else:
            self.finish(attempt)

    def _discard(self, attempt: Attempt, response: aiohttp.ClientResponse | None) -> None:
        if response is not None:
            response.close()
        self.finish(attempt)

    def _record_refusal(self, attempt: Attempt, error: TargetRefusedError, now: float) -> None:
        state = attempt.state
        if state is None:
            return
        if error.status == 503:
            state.limit.record_refusal(now)
        if error.is_cold:
            self._mark_cold(attempt, "shed while cold", now)
        elif error.incarnation not in ("", attempt.incarnation):
            self._mark_cold(attempt, "new incarnation", now)

    def _mark_cold(self, attempt: Attempt, reason: str, now: float) -> None:
        is_known = attempt.state.view.phase != "warm" or attempt.state.view.incarnation != attempt.incarnation
        if not is_known and self.targets.marks.mark(attempt.target_id, attempt.incarnation, now):
            self._report_cold(attempt, reason)

    def _report_cold(self, attempt: Attempt, reason: str) -> None:
        self.admission.log.warning("target_appears_cold", target=attempt.target_id, reason=reason)
        self.report_soon()
