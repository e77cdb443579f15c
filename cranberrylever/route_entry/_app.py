"""ASGI application of a route entry."""

import asyncio
import json
from collections.abc import Awaitable, Callable

from cranberrylever.answer_memory import AnswerMemory
from cranberrylever.caller_http import CALLER_GONE, RequestGuard, RunningRequests, end_to_end_headers
from cranberrylever.customers import CustomerQuota, QuotaExceededError, RevocationGuard, UnlimitedQuota
from cranberrylever.http_status import STATUS_WITHOUT_BODY
from cranberrylever.logs import Log
from cranberrylever.metrics import Metrics
from cranberrylever.route_entry._answered import AnsweredError
from cranberrylever.route_entry._body import BodyReader
from cranberrylever.route_entry._dispatcher import Dispatcher
from cranberrylever.route_entry._format import HeaderFormat, Headers
from cranberrylever.route_entry._peer_relay import CANNOT_SERVE_STATUS
from cranberrylever.route_entry._reachability import TargetReachability
from cranberrylever.route_entry._reader import RELAYED, RequestReader
from cranberrylever.route_entry._request import (
    AttemptResult,
    KeyRevokedError,
    OutcomeUnknownError,
    RefusedError,
    RoutedRequest,
)
from cranberrylever.route_entry._request_log import RequestLog, RequestRecord, StopTimes
from cranberrylever.route_entry._view import EntryView

Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]

DISCONNECT_CHECK_DELAY_S = 0.01
"""Time after which an entry starts to check whether the caller of a request has disconnected."""

DEADLINE_MARGIN_S = 0.02
"""Time before the caller's deadline at which a request is ended, so that the answer arrives in time."""

UNAUTHORIZED_STATUS = 401


class RouteEntryApp:
    """ASGI application that reads a request, dispatches it and sends the answer to the caller.

    Args:
        view: The view in force.
        dispatcher: Sends requests to targets.
        header_format: Reads headers.
        reachability: Links of this entry to the targets.
        metrics: Metrics of the process.
        log: Program log.
        knows_leader: Returns whether a member has named a leader shortly before a loop time.
        memory: Limit on the memory of answers.
        bodies: Reads the bodies of requests.
        revocation: Bound on the age of the view for requests with an API key.
        quota: Tokens that this entry may use for the requests of customers.
    """

    def __init__(
        self,
        view: EntryView,
        dispatcher: Dispatcher,
        header_format: HeaderFormat,
        reachability: TargetReachability,
        metrics: Metrics,
        log: Log,
        knows_leader: Callable[[float], bool] = lambda now: False,
        memory: AnswerMemory | None = None,
        bodies: BodyReader | None = None,
        revocation: RevocationGuard | None = None,
        quota: CustomerQuota | None = None,
    ) -> None:
        self.memory = memory or AnswerMemory()
        self.bodies = bodies or BodyReader()
        self.dispatcher = dispatcher
        self.view = view
        self.quota = quota or UnlimitedQuota()
        self.format = header_format
        self.log = log
        self.draining = False
        self.stop = StopTimes()
        self.request_log = RequestLog(log, metrics, view, header_format, self.stop)
        self.reader = RequestReader(
            view,
            dispatcher,
            header_format,
            reachability,
            knows_leader,
            self.memory,
            self.bodies,
            self.stop,
            revocation or RevocationGuard(),
        )
        self.running = RunningRequests()
        self.requests = 0

    def start_draining(self, accepts_until: float, stops_at: float) -> None:
        """Prepare for the stop.

        A request that arrives from now on is refused at once if its answer is not expected by ``stops_at``,
        and each one from ``accepts_until`` on, so that its caller can send it to another entry.

        Args:
            accepts_until: Loop time at which the listener closes. A connection that is accepted in this
                moment may stay open.
            stops_at: Loop time of the limit for requests; those that still run are ended shortly before.
        """
        self.draining = True
        self.stop.began_at = asyncio.get_running_loop().time()
        self.stop.accepts_until = accepts_until
        self.stop.stops_at = stops_at
        self.dispatcher.stops_at = stops_at
        self.bodies.start_draining(stops_at)

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        self.requests += 1
        started_at = asyncio.get_running_loop().time()
        record = RequestRecord(scope, started_at)
        try:
            await self._serve(scope, receive, send, record)
        except asyncio.CancelledError as error:
            # A deadline that passes and a caller that leaves have outcomes of their own.
            self.request_log.record_cut_off(record, str(error) or "cancelled at the end of the program")
            raise
        finally:
            self.requests -= 1
            self.request_log.write(record)

    async def _serve(self, scope: dict, receive: Receive, send: Send, record: RequestRecord) -> None:
        try:
            result = await self._run_until_end(scope, receive, record)
        except AnsweredError as error:
            record.outcome = error.outcome
            record.status = error.status
            record.reason = error.message
            await self._send_error(send, error)
            return
        if result is None:
            record.outcome = "caller gone"
            return
        record.outcome = "done"
        record.status = result.answer.status
        record.target = result.target_id
        await self._send_answer(send, record.request, result)

    async def _run_until_end(
        self, scope: dict, receive: Receive, record: RequestRecord
    ) -> AttemptResult | None:
        """Return the answer of a target, ``None`` when the caller disconnects.

        Raises:
            AnsweredError: The entry answers itself.
        """
        self.running.add_current()
        try:
            record.request = await self.reader.read(scope, receive, record, self.requests)
            return None if record.request is None else await self._run_request(record.request, receive)
        except asyncio.CancelledError:
            if not self.running.suppress_cancellation():
                raise
            self.request_log.record_ended(record)
            raise _end_of_stop_error(record.request) from None
        except AnsweredError:
            raise
        except Exception as error:
            # The request may or may not have been sent to a target, so its outcome is unknown.
            self.log.failure("request_failed", error, request_id=record.request_id(self.format))
            raise AnsweredError(502, "failed", "internal error of the entry") from error
        finally:
            self.running.remove_current()
            self._release_body(record)

    def _release_body(self, record: RequestRecord) -> None:
        """Give the memory of a body back; its answer may take long until the caller has read it."""
        if record.body is not None:
            self.bodies.end(record.body)
        if record.request is not None:
            record.request.body = b""

    # Running ---------------------------------------------------------------------------------------

    async def _run_request(self, request: RoutedRequest, receive: Receive) -> AttemptResult | None:
        """Return the answer, ``None`` when the caller disconnects."""
        guard = RequestGuard(receive, request.deadline - DEADLINE_MARGIN_S, DISCONNECT_CHECK_DELAY_S)
        try:
            return await self._run_within_quota(request)
        except asyncio.CancelledError:
            if not guard.suppress_cancellation():
                raise
            if guard.reason == CALLER_GONE:
                return None
            raise self._timeout_error(request) from None
        except QuotaExceededError as error:
            raise AnsweredError(429, "refused", str(error), error.retry_after) from error
        except KeyRevokedError as error:
            raise AnsweredError(401, "unauthorized", error.reason) from error
        except RefusedError as error:
            raise AnsweredError(503, "refused", error.reason, error.retry_after) from error
        except OutcomeUnknownError as error:
            raise AnsweredError(502, "unknown", error.reason) from error
        finally:
            guard.close()

    async def _run_within_quota(self, request: RoutedRequest) -> AttemptResult:
        """Run a request within the quota of its customer; one that has not run here gives its share back."""
        customer = self.view.customers.find(request.key_digest)
        if customer is None:
            return await self.dispatcher.run(request)
        taken_at = await self.quota.acquire(customer, request.deadline - DEADLINE_MARGIN_S)
        try:
            return await self.dispatcher.run(request)
        finally:
            # The entry that a request was passed on to counts it.
            if request.is_passed_on or not request.may_have_run:
                self.quota.give_back(customer, taken_at)

    @staticmethod
    def _timeout_error(request: RoutedRequest) -> AnsweredError:
        if request.may_have_run:
            return AnsweredError(
                504,
                "unknown",
                f"no answer before the deadline; last result: {request.reason or request.tried_targets}",
            )
        return AnsweredError(
            503, "refused", f"not sent before the deadline; last result: {request.reason}", 0.0
        )

    # Answering -------------------------------------------------------------------------------------

    async def _send_answer(self, send: Send, request: RoutedRequest, result: AttemptResult) -> None:
        answer = result.answer
        self.memory.record_answer()
        headers = end_to_end_headers(answer.headers)
        if request.method != b"HEAD" and answer.status not in STATUS_WITHOUT_BODY:
            headers.append((b"content-length", str(len(answer.body)).encode()))
        await self._send_response(send, answer.status, headers, answer.body)

    async def _send_error(self, send: Send, error: AnsweredError) -> None:
        body = json.dumps({"error": error.message}).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        if error.retry_after is not None:
            headers.append((b"retry-after", f"{error.retry_after:.3f}".encode()))
        if error.status == UNAUTHORIZED_STATUS:
            headers.append((b"www-authenticate", b"Bearer"))
        if error.status in (408, 413, CANNOT_SERVE_STATUS):
            # The rest of the body is still in transit and must not be parsed as the next request.
            headers.append((b"connection", b"close"))
        await self._send_response(send, error.status, headers, body)

    async def _send_response(self, send: Send, status: int, headers: Headers, body: bytes) -> None:
        if self.draining and (b"connection", b"close") not in headers:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body, "more_body": False})


class PeerRequestApp:
    """ASGI application for requests that other entries pass on.

    Args:
        app: Application of this entry.
    """

    def __init__(self, app: RouteEntryApp) -> None:
        self.app = app

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serve one request."""
        scope[RELAYED] = True
        await self.app(scope, receive, send)


def _end_of_stop_error(request: RoutedRequest | None) -> AnsweredError:
    """Return the error for a request that still runs when its entry ends."""
    if request is not None and request.may_have_run:
        tried = ", ".join(request.tried_targets)
        return AnsweredError(504, "unknown", f"the entry stops; no answer yet from {tried}")
    return AnsweredError(503, "refused", "the entry stops; the request was not sent to a target", 0.0)
