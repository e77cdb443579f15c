"""Runs calls at targets: choice, waiting for an owner, retries within the shared budget."""

import asyncio
import random

import attrs

from cranberrylever.logs import Log
from cranberrylever.route_entry._admission import MIN_RETRY_AFTER_S, Offer, Verdict, admit
from cranberrylever.route_entry._call import Call, OutcomeUnknownError, RefusedError, Served
from cranberrylever.route_entry._estimates import UsualWork
from cranberrylever.route_entry._format import AnswerHeaders, HeaderFormat
from cranberrylever.route_entry._limits import ProvenRequests, RetryWindow
from cranberrylever.route_entry._permits import PermitBook
from cranberrylever.route_entry._reports import ReportBook
from cranberrylever.route_entry._view import EntryView, KnownTarget
from cranberrylever.target_http import AnswerLostError, NotSentError, TargetAnswer, TargetPool

MAX_OWNER_WAIT_S = 0.6
"""Longest time that a request waits for its key to be served; a planned move takes less."""

LOST_OWNER_TIME_S = 3.5
"""Time within which keys of a lost target have another owner: its lease and the steps after it."""

MIN_OWNER_RETRY_S = 0.2
OWNER_WAIT_SHARE = 0.5
"""Share of a request's remaining time that it waits for its key at most."""

EXTRA_SENDS = 1
"""Targets beyond a route's attempts that a request may be sent to when others did not run it."""

MAX_CONNECT_TRIES = 3
CONNECT_RETRY_DELAY_S = 0.02
CROSSING_COST_S = 0.01
"""What a target in another failure domain must be faster by, since bytes between domains cost."""

EXPLORED_SHARE = 0.03
"""Share of pooled requests that go to any idle target: one that nobody uses would never be known again."""

MAX_FAILURES_TO_EXPLORE = 0.1
CHOICE_NOISE = 0.02
"""Relative noise on estimates, so that entries that know the same do not all choose the same target."""

NEWER_VIEW_WAIT_S = 0.1
MAX_PERMIT_WAIT_S = 0.3
"""Longest time that a request waits for a permit of a cold target."""

MIN_PERMIT_WAIT_S = 0.01
"""Time for which a request waits for a permit before it looks again."""


_SERVER_ERROR = 500
_MISDIRECTED = 421


@attrs.define
class _Progress:
    """Tries of one call that reached no target; ``permit_by`` is when it stops to wait for a permit."""

    connect_tries: int = 0
    permit_by: float | None = None
    rejected: set[str] = attrs.field(factory=set)


class Dispatcher:
    """Runs calls under the view in force.

    Args:
        view: The view.
        pool: Connections to targets.
        header_format: Reads and writes headers.
        reports: Takes what control shall know.
        permits: Permits for targets in cold start.
        failure_domain: Failure domain of this entry; targets in it are preferred a little.
        log: Program log.
    """

    def __init__(
        self,
        view: EntryView,
        pool: TargetPool,
        header_format: HeaderFormat,
        reports: ReportBook,
        permits: PermitBook,
        failure_domain: str,
        log: Log,
    ) -> None:
        self.view = view
        self.pool = pool
        self.format = header_format
        self.reports = reports
        self.permits = permits
        self.failure_domain = failure_domain
        self.log = log
        self.usual = UsualWork()
        self.retries: dict[str, RetryWindow] = {}
        self.proven = ProvenRequests()
        self.rng = random.Random()

    async def run(self, call: Call) -> Served:
        """Return a target's answer.

        Raises:
            RefusedError: The call has not run and will not run.
            OutcomeUnknownError: It may have run and there is no answer.
        """
        now = self._now()
        self._retry_window(call).record_request(now)
        if call.key is not None:
            self.reports.record_work(call.service.name, call.key, self.usual.of(call.route.name))
        if call.fingerprint in self.view.suspects:
            raise RefusedError("requests like this one have crashed targets", call.route.timeout)
        progress = _Progress()
        while True:
            target = await self._admitted(call, progress)
            try:
                served = await self._send(call, target)
            except NotSentError as error:
                await self._after_failed_connect(call, target, progress, error)
                continue
            except AnswerLostError as error:
                self._after_loss(call, target, error)
                continue
            if served.did_not_run:
                await self._after_rejection(call, target, progress, served.answer.status)
            elif not self._is_worth_repeating(call, target, served):
                self.proven.add(call.fingerprint)
                return served

    # Choice --------------------------------------------------------------------------------------

    async def _admitted(self, call: Call, progress: _Progress) -> KnownTarget:
        """Return the target to send the call to now.

        Raises:
            RefusedError: There is none within the time left; an earlier attempt did not run either.
            OutcomeUnknownError: There is none, and an earlier attempt may have run.
        """
        while True:
            target = await self._choose(call, progress)
            now = self._now()
            estimate = target.estimate
            work = self.usual.of(call.route.name)
            offer = Offer(
                call.route.priority,
                call.route.objective,
                call.remaining(now),
                estimate.wait(work, now),
                estimate.completion(work, now),
                self._cold_delay(target, now),
                call.has_returned,
            )
            admission = admit(offer)
            if admission.verdict is Verdict.REFUSE:
                self._give_up(call, f"{admission.reason} ({target.info.target_id})", admission.delay)
            if admission.verdict is Verdict.SEND and self._may_send(target, now):
                return target
            await self._wait_for_permit(call, target, admission.delay, progress)

    async def _choose(self, call: Call, progress: _Progress) -> KnownTarget:
        if call.key is not None:
            return await self._owner(call)
        now = self._now()
        candidates = self.view.pool(call.service.name)
        fresh = [target for target in candidates if target.info.target_id not in progress.rejected]
        if not (fresh or candidates):
            self._give_up(call, "no target is in service", 0.5)
        if self.rng.random() < EXPLORED_SHARE:
            idle = [target for target in fresh if self._is_worth_a_try(target, now)]
            if idle:
                return self.rng.choice(idle)
        work = self.usual.of(call.route.name)
        return min(fresh or candidates, key=lambda target: self._cost(target, work, now))

    def _is_worth_a_try(self, target: KnownTarget, now: float) -> bool:
        """Tell whether a target that others seem better than may have become the best one unseen."""
        estimate = target.estimate
        is_idle = estimate.busy(now) < 1.0 and estimate.recent_failures(now) < MAX_FAILURES_TO_EXPLORE
        return is_idle and self._cold_delay(target, now) == 0.0

    def _cost(self, target: KnownTarget, work: float, now: float) -> float:
        noise = 1.0 + CHOICE_NOISE * self.rng.random()
        delay = min(self._cold_delay(target, now), 10.0)
        crossing = 0.0 if target.info.failure_domain == self.failure_domain else CROSSING_COST_S
        return (target.estimate.completion(work, now) + delay + crossing) * noise

    async def _owner(self, call: Call) -> KnownTarget:
        """Return the owner of the call's key; wait a moment while the key moves."""
        now = self._now()
        wait = min(MAX_OWNER_WAIT_S, OWNER_WAIT_SHARE * call.remaining(now))
        while True:
            target = self.view.owner(call.service.name, call.key)
            if target is not None:
                return target
            unserved_since = self.view.unserved_since(call.service.name, call.key)
            give_up_at = min(now + wait, unserved_since + MAX_OWNER_WAIT_S)
            moment = self._now()
            if moment >= give_up_at:
                expected = unserved_since + LOST_OWNER_TIME_S - moment
                retry_after = max(MIN_OWNER_RETRY_S, expected)
                self._give_up(call, "the key is served by no target at the moment", retry_after)
            await self.view.wait_for_change(give_up_at - moment)

    async def _wait_for_permit(
        self, call: Call, target: KnownTarget, delay: float, progress: _Progress
    ) -> None:
        now = self._now()
        if progress.permit_by is None:
            progress.permit_by = now + min(MAX_PERMIT_WAIT_S, OWNER_WAIT_SHARE * call.remaining(now))
        if now >= progress.permit_by:
            self._give_up(call, f"target is cold ({target.info.target_id})", max(delay, MIN_RETRY_AFTER_S))
        with self.permits.waiting(target.info.incarnation, call.service.cold_rate, now):
            await self.view.wait_for_change(max(delay, MIN_PERMIT_WAIT_S))

    def _may_send(self, target: KnownTarget, now: float) -> bool:
        """Tell whether a target is warm, or use a permit for it."""
        return not target.is_cold(now) or self.permits.take(target.info.incarnation, now)

    def _cold_delay(self, target: KnownTarget, now: float) -> float:
        """Return the seconds until a target may get a request: with a permit, or once it is warm."""
        if not target.is_cold(now):
            return 0.0
        return min(self.permits.delay(target.info.incarnation, now), target.cold_until - now)

    # Sending -------------------------------------------------------------------------------------

    async def _send(self, call: Call, target: KnownTarget) -> Served:
        """Send the call once.

        Raises:
            NotSentError: No byte left.
            AnswerLostError: The call may have run.
        """
        estimate = target.estimate
        started = self._now()
        request = self._encode(call, target, started)
        estimate.begin(started)
        is_lost = True
        try:
            answer = await self.pool.exchange(
                target.info.address, call.method, request, call.request_id, call.route.idempotent
            )
            is_lost = False
        except NotSentError:
            is_lost = False
            raise
        finally:
            estimate.end(self._now())
            if is_lost:
                self._note_send(call, target, may_have_run=True)
        meta = self.format.read_answer(answer.status, answer.headers)
        now = self._now()
        self._learn(call, target, meta, answer, now - started, now)
        call.reason = f"{answer.status} of {target.info.target_id}"
        self._note_send(call, target, may_have_run=not meta.did_not_run)
        if not (meta.did_not_run or meta.is_genuine):
            raise AnswerLostError(f"an answer with {answer.status} that the target did not mark", False)
        return Served(answer, target.info.target_id, meta.did_not_run)

    @staticmethod
    def _note_send(call: Call, target: KnownTarget, may_have_run: bool) -> None:
        call.sends += 1
        call.tried.append(target.info.target_id)
        call.attempts += may_have_run
        call.may_have_run = call.may_have_run or may_have_run

    def _is_worth_repeating(self, call: Call, target: KnownTarget, served: Served) -> bool:
        """Tell whether another target may do better than an answer that reports an error."""
        if served.answer.status < _SERVER_ERROR or not call.route.idempotent:
            return False
        target.estimate.record_failure(self._now())
        return self._may_repeat(call)

    def _encode(self, call: Call, target: KnownTarget, now: float) -> bytes:
        headers = self.format.target_headers(call.headers, target.info.target_id, call.remaining(now))
        lines = [call.method + b" " + call.url + b" HTTP/1.1"]
        lines.extend(name + b": " + value for name, value in headers)
        if call.body or call.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            lines.append(b"content-length: %d" % len(call.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + call.body

    def _learn(
        self,
        call: Call,
        target: KnownTarget,
        meta: AnswerHeaders,
        answer: TargetAnswer,
        elapsed: float,
        now: float,
    ) -> None:
        """Take over the load that came with an answer, and its time when it did not queue."""
        if meta.did_not_run:
            target.estimate.record_failure(now)
        load = meta.load
        if load is None:
            return
        target.estimate.record_load(load, now)
        is_unqueued = load.waiting == 0 and load.running <= load.slots and not target.is_cold(now)
        if is_unqueued and not meta.did_not_run and answer.status < _SERVER_ERROR:
            usual = self.usual.of(call.route.name)
            self.reports.record_pace(target.info.target_id, target.info.started_ms, elapsed, usual)
            self.usual.record(call.route.name, elapsed * max(0.25, target.info.speed))

    # Failures ------------------------------------------------------------------------------------

    async def _after_failed_connect(
        self, call: Call, target: KnownTarget, progress: _Progress, error: NotSentError
    ) -> None:
        now = self._now()
        target.estimate.record_failure(now)
        self.pool.forget(target.info.address)
        progress.rejected.add(target.info.target_id)
        progress.connect_tries += 1
        call.reason = str(error)
        if progress.connect_tries >= MAX_CONNECT_TRIES:
            self._give_up(call, f"{target.info.target_id} takes no connection", 0.5)
        if call.key is not None:
            await self.view.wait_for_change(min(CONNECT_RETRY_DELAY_S, max(0.0, call.remaining(now))))

    def _after_loss(self, call: Call, target: KnownTarget, error: AnswerLostError) -> None:
        """Let an idempotent call go on; another one ends here."""
        target.estimate.record_failure(self._now())
        if error.is_disconnect and call.fingerprint not in self.proven:
            self.reports.record_crash(call.fingerprint, target.life_name)
        call.reason = f"{target.info.target_id}: {error}"
        self.log.warning(
            "answer_lost",
            request_id=call.request_id.decode("latin-1"),
            target=target.info.target_id,
            reason=str(error),
            idempotent=call.route.idempotent,
            attempts=call.attempts,
        )
        if not call.route.idempotent or not self._may_repeat(call):
            raise OutcomeUnknownError(call.reason) from error

    async def _after_rejection(
        self, call: Call, target: KnownTarget, progress: _Progress, status: int
    ) -> None:
        """Decide what follows an answer which tells that the call did not run."""
        progress.rejected.add(target.info.target_id)
        if call.key is not None and status == _MISDIRECTED and not await self._has_other_owner(call, target):
            # Its address may be another service's by now, where a second send would count as a retry.
            self._give_up(call, call.reason, MIN_OWNER_RETRY_S)
        if not self._may_repeat(call):
            self._give_up(call, call.reason, self._room_in(target, call))

    async def _has_other_owner(self, call: Call, target: KnownTarget) -> bool:
        """Wait a moment for a view in which a call's key is not owned by a target that does not hold it."""
        end = self._now() + NEWER_VIEW_WAIT_S
        while self.view.owner(call.service.name, call.key) is target:
            left = end - self._now()
            if left <= 0:
                return False
            await self.view.wait_for_change(left)
        return True

    def _room_in(self, target: KnownTarget, call: Call) -> float:
        wait = target.estimate.wait(self.usual.of(call.route.name), self._now())
        return max(MIN_RETRY_AFTER_S, wait)

    def _may_repeat(self, call: Call) -> bool:
        """Tell whether the call may be sent once more, and take a retry from the budget if so."""
        now = self._now()
        is_spent = call.attempts >= call.route.attempts or call.sends >= call.route.attempts + EXTRA_SENDS
        if is_spent or call.remaining(now) < self.usual.of(call.route.name) / 2:
            return False
        return self._retry_window(call).take(self.view.entries, now)

    def _give_up(self, call: Call, reason: str, retry_after: float) -> None:
        if call.may_have_run:
            raise OutcomeUnknownError(reason)
        raise RefusedError(reason, retry_after)

    def _retry_window(self, call: Call) -> RetryWindow:
        window = self.retries.get(call.service.name)
        if window is None:
            window = self.retries[call.service.name] = RetryWindow(self.view.rules, self._now())
        return window

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
