"""Dispatch of requests: sends them to the targets that are selected, and retries within the budget."""

import asyncio
import math
import random
from collections.abc import Callable

from cranberrylever.customers import RevocationGuard
from cranberrylever.logs import Log
from cranberrylever.route_entry._admission import MIN_RETRY_AFTER_S
from cranberrylever.route_entry._choice import PooledChooser
from cranberrylever.route_entry._dispatch_state import DispatchState
from cranberrylever.route_entry._estimates import ServiceTimeEstimator
from cranberrylever.route_entry._format import AnswerHeaders, HeaderFormat
from cranberrylever.route_entry._key_check import KeyCheck
from cranberrylever.route_entry._limits import AnsweredRequests, RetryBudget
from cranberrylever.route_entry._peer_relay import PeerRelay
from cranberrylever.route_entry._permit_gate import PermitGate
from cranberrylever.route_entry._reports import ReportCollector
from cranberrylever.route_entry._request import (
    AttemptResult,
    OutcomeUnknownError,
    RefusedError,
    RoutedRequest,
    raise_failure,
)
from cranberrylever.route_entry._selection import MIN_OWNER_RETRY_AFTER_S, TargetSelector
from cranberrylever.route_entry._target_bodies import TargetBodies
from cranberrylever.route_entry._view import EntryView, TargetState
from cranberrylever.target_http import AnswerLostError, NotSentError, TargetAnswer, TargetPool

EXTRA_SENDS = 1
"""Sends beyond a route's attempts that a request may use when targets did not run it."""

MAX_CONNECT_FAILURES = 3
"""Failed connection attempts of one request after which it is not sent again."""

CONNECT_RETRY_DELAY_S = 0.02
"""Time after a failed connection attempt in which a keyed request waits for a change of the view."""

NEWER_VIEW_WAIT_S = 0.1
"""Time that a request waits for a newer view after a target has answered that it does not hold the key."""

DEADLINE_TOLERANCE_S = 0.05
"""Time before the deadline from which a cancelled request counts as unanswered; over DEADLINE_MARGIN_S."""

_SERVER_ERROR = 500
_MISDIRECTED = 421


class Dispatcher:
    """Sends requests to targets according to the view in force.

    Args:
        view: The view in force.
        pool: Connections to targets.
        header_format: Reads and writes headers.
        reports: Collects data for the reports to control.
        permits: Permits for targets in cold start or with a rate limit.
        failure_domain: Failure domain of this entry; targets in it are slightly preferred.
        log: Program log.
        relay: Sends requests to other entries while this one reaches no target.
        request_report: Called when control should learn something at once.
        record_send: Called when a request is sent to a target, with the loop time.
        bodies: Limit on the bytes of request bodies at targets.
        revocation: Bound on the age of the view for requests with an API key.

    Attributes:
        stops_at: Loop time at which this entry stops, infinite before its stop begins.
    """

    def __init__(
        self,
        view: EntryView,
        pool: TargetPool,
        header_format: HeaderFormat,
        reports: ReportCollector,
        permits: PermitGate,
        failure_domain: str,
        log: Log,
        relay: PeerRelay | None = None,
        request_report: Callable[[], None] = lambda: None,
        record_send: Callable[[RoutedRequest, TargetState, float], None] = lambda request, target, now: None,
        bodies: TargetBodies | None = None,
        revocation: RevocationGuard | None = None,
    ) -> None:
        self.view = view
        self.pool = pool
        self.format = header_format
        self.reports = reports
        self.permits = permits
        self.log = log
        self.relay = relay
        self.request_report = request_report
        self.stops_at = math.inf
        self.record_send = record_send
        self.key_check = KeyCheck(view, revocation or RevocationGuard())
        self.service_times = ServiceTimeEstimator()
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.answered = AnsweredRequests()
        chooser = PooledChooser(failure_domain, permits, random.Random())
        self.bodies = bodies or TargetBodies()
        self.selector = TargetSelector(view, permits, chooser, self.service_times, self.bodies)

    async def run(self, request: RoutedRequest) -> AttemptResult:
        """Send a request to targets until one answers it.

        Raises:
            RefusedError: The request has not run and will not run.
            OutcomeUnknownError: It may have run and there is no answer.
        """
        if self._needs_relay(request):
            return await self._pass_on(request)
        now = self._now()
        self._retry_budget(request).record_request(now)
        if request.key is not None:
            self.reports.record_work(
                request.service.name, request.key, self.service_times.expected(request.route.name)
            )
        if request.fingerprint in self.view.suspects:
            raise RefusedError("identical requests have crashed targets", request.route.timeout)
        state = DispatchState()
        while True:
            target = await self.selector.select(request, state)
            try:
                result = await self._send(request, target)
            except NotSentError as error:
                if self._needs_relay(request):
                    return await self._pass_on(request)
                await self._handle_connect_failure(request, target, state, error)
                continue
            except AnswerLostError as error:
                self._handle_lost_answer(request, target, error)
                continue
            if result.did_not_run:
                await self._handle_rejection(request, target, state, result.answer.status)
            elif not self._should_retry(request, target, result):
                self.answered.add(request.fingerprint)
                return result

    def _needs_relay(self, request: RoutedRequest) -> bool:
        return self.relay is not None and self.relay.is_needed(request)

    async def _pass_on(self, request: RoutedRequest) -> AttemptResult:
        self.key_check.require(request, self._now())
        return await self.relay.run(request, self._check_before_send(request))

    def _check_before_send(self, request: RoutedRequest) -> Callable[[], None] | None:
        """Return the check of the request's key after a connection has been opened, ``None`` for none."""
        if not request.key_digest and self.view.customers.is_empty:
            return None
        return lambda: self.key_check.require(request, self._now())

    # Sending -------------------------------------------------------------------------------------

    async def _send(self, request: RoutedRequest, target: TargetState) -> AttemptResult:
        """Send the request to a target once.

        Raises:
            NotSentError: No byte of the request was sent.
            AnswerLostError: The request may have run.
            RefusedError: Its API key is no longer in force or cannot be checked, and no attempt has run.
            OutcomeUnknownError: The same, and an earlier attempt may have run.
        """
        estimate = target.estimate
        started_at = self._now()
        remaining = request.remaining(started_at)
        self.key_check.require(request, started_at)
        customer = None if self.view.customers.is_empty else request.customer
        request_bytes = request.encode(
            self.format.target_headers(request.headers, target.info.target_id, remaining, customer)
        )
        estimate.record_start(started_at)
        self.record_send(request, target, started_at)
        is_lost = True
        try:
            with self.bodies.holding(target.info.incarnation, len(request.body)):
                answer = await self.pool.exchange(
                    target.info.address,
                    request.method,
                    request_bytes,
                    request.request_id,
                    request.route.idempotent,
                    self._check_before_send(request),
                )
            is_lost = False
        except (NotSentError, RefusedError, OutcomeUnknownError):
            is_lost = False
            raise
        except asyncio.CancelledError:
            self._record_timeout(request, target, started_at)
            raise
        finally:
            estimate.record_end(self._now())
            if is_lost:
                request.record_attempt(target.info.target_id, may_have_run=True)
        answer_headers = self.format.read_answer(answer.status, answer.headers)
        now = self._now()
        request.rate_limit = answer_headers.rate_limit
        self._record_statements(target, answer.status, answer_headers, now)
        self._update_estimates(request, target, answer_headers, answer, now - started_at, now)
        request.reason = f"{answer.status} of {target.info.target_id}"
        request.record_attempt(target.info.target_id, may_have_run=not answer_headers.did_not_run)
        if not (answer_headers.did_not_run or answer_headers.is_genuine):
            raise AnswerLostError(
                f"the answer with status {answer.status} lacks the header that marks results of the target",
                False,
            )
        return AttemptResult(answer, target.info.target_id, answer_headers.did_not_run)

    def _record_statements(
        self, target: TargetState, status: int, answer_headers: AnswerHeaders, now: float
    ) -> None:
        """Record what a target says about itself in an answer: its rate limit, a pause, that it leaves."""
        if self.permits.record_answer(target, answer_headers, now):
            self.log.info("target_rate_limit", target=target.info.target_id, rate=answer_headers.rate_limit)
        if answer_headers.rest_time is not None:
            target.rests_until = max(target.rests_until, now + answer_headers.rest_time)
            self.log.info(
                "target_rests", target=target.info.target_id, seconds=round(answer_headers.rest_time, 3)
            )
        # An answer with this status may come from another target at the address.
        is_own = status != _MISDIRECTED
        if is_own and answer_headers.is_leaving and target.record_leaving(now):
            self.reports.departures.record(target.info.incarnation)
            self.request_report()
            self.log.info("target_leaving", target=target.info.target_id, started_ms=target.info.started_ms)

    def _should_retry(self, request: RoutedRequest, target: TargetState, result: AttemptResult) -> bool:
        """Return whether an answer with a server error is retried at another target."""
        if result.answer.status < _SERVER_ERROR or not request.route.idempotent:
            return False
        target.estimate.record_failure(self._now())
        return self._try_spend_retry(request)

    def _update_estimates(
        self,
        request: RoutedRequest,
        target: TargetState,
        answer_headers: AnswerHeaders,
        answer: TargetAnswer,
        elapsed: float,
        now: float,
    ) -> None:
        """Record the load reported with an answer, and the elapsed time if the request did not queue."""
        if answer_headers.did_not_run:
            target.estimate.record_failure(now)
        load = answer_headers.load
        if load is None:
            return
        target.estimate.record_load(load, now)
        if request.key is None:
            self.reports.record_load(
                target.info.target_id, target.info.started_ms, load.running + load.waiting
            )
        is_unqueued = load.waiting == 0 and load.running <= load.slots and not target.is_cold(now)
        if is_unqueued and not answer_headers.did_not_run and answer.status < _SERVER_ERROR:
            if self.service_times.is_known(request.route.name):
                expected = self.service_times.expected(request.route.name)
                incarnation = target.info.incarnation
                self.reports.record_service_time(*incarnation, elapsed, expected)
            # Recorded as at an average target; a speed below 0.25 counts as 0.25.
            self.service_times.record(request.route.name, elapsed * max(0.25, target.info.speed))

    # Failures ------------------------------------------------------------------------------------

    def _record_timeout(self, request: RoutedRequest, target: TargetState, started_at: float) -> None:
        """Record a timeout if a cancelled request had its expected service time and is at its deadline.

        A caller who leaves earlier, or a send shortly before the deadline, says nothing about the target.
        """
        now = self._now()
        had_time = now - started_at >= self.service_times.expected(request.route.name)
        if had_time and request.remaining(now) <= DEADLINE_TOLERANCE_S:
            target.estimate.record_timeout(now)

    async def _handle_connect_failure(
        self, request: RoutedRequest, target: TargetState, state: DispatchState, error: NotSentError
    ) -> None:
        now = self._now()
        target.estimate.record_failure(now)
        self.pool.close_idle(target.info.address)
        state.excluded_targets.add(target.info.target_id)
        state.connect_failures += 1
        request.reason = str(error)
        if state.connect_failures >= MAX_CONNECT_FAILURES:
            raise_failure(request, f"cannot connect to {target.info.target_id}", 0.5)
        if request.key is not None:
            await self.view.changed.wait(min(CONNECT_RETRY_DELAY_S, max(0.0, request.remaining(now))))

    def _handle_lost_answer(
        self, request: RoutedRequest, target: TargetState, error: AnswerLostError
    ) -> None:
        """Return if the request may be sent again, which needs an idempotent route.

        Raises:
            OutcomeUnknownError: It is not sent again.
        """
        target.estimate.record_failure(self._now())
        if error.is_disconnect and request.fingerprint not in self.answered:
            self.reports.record_crash(request.fingerprint, target.incarnation_id)
        request.reason = f"{target.info.target_id}: {error}"
        self.log.warning(
            "answer_lost",
            request_id=request.request_id.decode("latin-1"),
            target=target.info.target_id,
            reason=str(error),
            idempotent=request.route.idempotent,
            attempts=request.attempts,
        )
        if not request.route.idempotent or not self._try_spend_retry(request):
            raise OutcomeUnknownError(request.reason) from error

    async def _handle_rejection(
        self, request: RoutedRequest, target: TargetState, state: DispatchState, status: int
    ) -> None:
        """Return if the request, which the target did not run, may be sent again.

        Raises:
            RefusedError: It is not sent again, and no attempt has run.
            OutcomeUnknownError: It is not sent again, and an earlier attempt may have run.
        """
        state.excluded_targets.add(target.info.target_id)
        if (
            request.key is not None
            and status == _MISDIRECTED
            and not await self._wait_for_other_owner(request, target)
        ):
            # The address may be another service's now; a second send is a retry there that no budget covers.
            raise_failure(request, request.reason, MIN_OWNER_RETRY_AFTER_S)
        if not self._try_spend_retry(request):
            raise_failure(request, request.reason, self._capacity_delay(target, request))

    async def _wait_for_other_owner(self, request: RoutedRequest, target: TargetState) -> bool:
        """Wait briefly until the view names another owner of the key; return whether it does."""
        end = self._now() + NEWER_VIEW_WAIT_S
        while self.view.owner(request.service.name, request.key, self._now()) is target:
            remaining_wait = end - self._now()
            if remaining_wait <= 0:
                return False
            await self.view.changed.wait(remaining_wait)
        return True

    def _capacity_delay(self, target: TargetState, request: RoutedRequest) -> float:
        """Return the seconds after which the target is expected to have free capacity."""
        queue_time = target.estimate.queue_time(self.service_times.expected(request.route.name), self._now())
        return max(MIN_RETRY_AFTER_S, queue_time)

    def _try_spend_retry(self, request: RoutedRequest) -> bool:
        """Return whether the request may be sent again; uses a retry from the budget if so."""
        now = self._now()
        is_exhausted = (
            request.attempts >= request.route.attempts
            or request.send_count >= request.route.attempts + EXTRA_SENDS
        )
        service_time = self.service_times.expected(request.route.name)
        if is_exhausted or request.remaining(now) < service_time / 2 or now + service_time > self.stops_at:
            return False
        return self._retry_budget(request).try_spend(self.view.entries, now)

    def _retry_budget(self, request: RoutedRequest) -> RetryBudget:
        budget = self.retry_budgets.get(request.service.name)
        if budget is None:
            budget = self.retry_budgets[request.service.name] = RetryBudget(self.view.limits, self._now())
        return budget

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
