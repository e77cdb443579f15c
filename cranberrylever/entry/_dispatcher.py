"""Dispatch of requests to targets: attempts, retries, hedging and crash suspects."""

import asyncio
from collections.abc import Callable

import aiohttp

from cranberrylever.entry._admission import Admission
from cranberrylever.entry._client import ConnectionLostError, TargetClient, TargetRefusedError
from cranberrylever.entry._crashes import CrashDetector
from cranberrylever.entry._exchange import Attempt, Exchange
from cranberrylever.entry._hedging import AttemptResponse, HedgedSend
from cranberrylever.entry._targets import TargetStates
from cranberrylever.entry._tuning import EntryTuning
from cranberrylever.entry._views import ViewStore
from cranberrylever.errors import NotRunError
from cranberrylever.limits import RunningQuantile, TokenBucket
from cranberrylever.metrics import Metrics
from cranberrylever.routing import ServiceView

HEDGE_QUANTILE = 0.95
"""Latency quantile of a service after which an idempotent request is hedged."""

MIN_HEDGE_DELAY_S = 0.001
"""Lower bound of the delay before a hedge."""

CANCELLATION_S = 0.1
"""Time in which a target is assumed to stop the work of a request whose connection was closed."""


class ServiceLimits:
    """Retry and hedge budgets and the response latency of one service at this entry."""

    def __init__(self, service: ServiceView) -> None:
        self.retries = TokenBucket(service.retry_ratio)
        self.hedges = TokenBucket(service.hedge_ratio)
        self.latency = RunningQuantile(HEDGE_QUANTILE)

    def record_request(self, service: ServiceView) -> None:
        """Credit both budgets for one request, at the ratios of ``service``."""
        self.retries.ratio = service.retry_ratio
        self.hedges.ratio = service.hedge_ratio
        self.retries.record_request()
        self.hedges.record_request()


class Dispatcher:
    """Sends requests to targets under the current view.

    Args:
        views: The current view.
        admission: Selects targets.
        targets: States of the targets.
        crashes: Crash suspects.
        client: HTTP client for targets.
        tuning: Constants.
        metrics: Metrics of the process.
        schedule_report: Sends the next report to control without waiting for the poll interval.
    """

    def __init__(
        self,
        views: ViewStore,
        admission: Admission,
        targets: TargetStates,
        crashes: CrashDetector,
        client: TargetClient,
        tuning: EntryTuning,
        metrics: Metrics,
        schedule_report: Callable[[], None],
    ) -> None:
        self.views = views
        self.admission = admission
        self.targets = targets
        self.crashes = crashes
        self.client = client
        self.tuning = tuning
        self.metrics = metrics
        self.schedule_report = schedule_report
        self.limits: dict[str, ServiceLimits] = {}

    async def run(self, exchange: Exchange) -> AttemptResponse:
        """Send a request, with retries and hedging, and return the attempt and its response.

        The body of the response is unread. The attempt must be passed to ``finish``.

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
                    return await self._send_with_hedging(exchange, attempt, limits, tried)
                except (NotRunError, ConnectionLostError) as error:
                    await self._prepare_retry(exchange, attempt, error, limits, tried, backoff)
                    reason = "retry"
                    backoff = min(2 * backoff, self.tuning.max_retry_backoff)
        finally:
            self.crashes.release(exchange)

    def finish(self, attempt: Attempt) -> None:
        """End an attempt whose response is complete or whose connection is closed."""
        if self.admission.release(attempt):
            self.schedule_report()

    async def handle_truncated_response(self, attempt: Attempt) -> None:
        """Probe the target for a crash after its connection closed in the middle of a response."""
        probe = self.crashes.record_connection_loss(attempt)
        self.finish(attempt)
        await self.crashes.wait_for_probe(probe)

    async def _prepare_retry(
        self,
        exchange: Exchange,
        attempt: Attempt,
        error: NotRunError | ConnectionLostError,
        limits: ServiceLimits,
        tried: set[str],
        backoff: float,
    ) -> None:
        """Wait before the next attempt, or raise ``error`` when a retry is not allowed."""
        if isinstance(error, ConnectionLostError):
            await self.crashes.wait_for_probe(error.probe)
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

    async def _send_with_hedging(
        self, exchange: Exchange, attempt: Attempt, limits: ServiceLimits, tried: set[str]
    ) -> AttemptResponse:
        if exchange.is_keyed or not exchange.idempotent or attempt.state is None:
            return attempt, await self._send_attempt(attempt)
        delay = limits.latency.value()
        if delay is None or exchange.is_forwarded:
            return attempt, await self._send_attempt(attempt)

        def create_hedge() -> Attempt | None:
            if not limits.hedges.is_available() or not self.crashes.is_unsuspected(exchange):
                return None
            hedge = self.admission.try_acquire(exchange, tried | {attempt.target_id}, "hedge")
            if hedge is not None:
                limits.hedges.take()
                self.metrics.count("hedges")
            return hedge

        hedged = HedgedSend(self._send_attempt, create_hedge, self._discard_attempt)
        return await hedged.run(attempt, max(delay, MIN_HEDGE_DELAY_S))

    async def _send_attempt(self, attempt: Attempt) -> aiohttp.ClientResponse:
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            response = await self.client.send(attempt, started)
        except TargetRefusedError as error:
            self._record_refusal(attempt, error, loop.time())
            self.finish(attempt)
            raise
        except ConnectionLostError as error:
            error.probe = self.crashes.record_connection_loss(attempt)
            self.finish(attempt)
            raise
        except asyncio.CancelledError:
            self._end_cancelled(attempt, loop.time())
            raise
        except BaseException:
            self.finish(attempt)
            raise
        if attempt.state is not None:
            now = loop.time()
            if self.targets.record_response(attempt.state, attempt, now):
                self._report_cold(attempt, "latency jump")
            if attempt.responder_incarnation not in ("", attempt.incarnation):
                self._mark_cold(attempt, "new incarnation", now)
            if not attempt.exchange.is_keyed:
                self.limits[attempt.exchange.service.name].latency.record(now - started)
        return response

    def _end_cancelled(self, attempt: Attempt, now: float) -> None:
        """End an attempt that was cancelled before its response."""
        if attempt.state is None or not attempt.sent:
            self.finish(attempt)
            return
        self.targets.record_cancellation(attempt.state, attempt, now)
        if now >= attempt.exchange.deadline:
            attempt.state.limit.record_refusal(now)
        if self.targets.needs_permit(attempt.state.view, now):
            # The target works on the request until it detects the closed connection; until then the permit
            # stays in use.
            asyncio.get_running_loop().call_later(CANCELLATION_S, self.finish, attempt)
        else:
            self.finish(attempt)

    def _discard_attempt(self, attempt: Attempt, response: aiohttp.ClientResponse | None) -> None:
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
        if not is_known and self.targets.cold_marks.mark(attempt.target_id, attempt.incarnation, now):
            self._report_cold(attempt, reason)

    def _report_cold(self, attempt: Attempt, reason: str) -> None:
        self.admission.log.warning("target_appears_cold", target=attempt.target_id, reason=reason)
        self.schedule_report()
