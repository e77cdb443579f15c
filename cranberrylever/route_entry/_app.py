"""ASGI application of a route entry."""

import asyncio
import json
from collections.abc import Awaitable, Callable

from cranberrylever.answer_memory import FULL_RETRY_AFTER_S, AnswerMemory
from cranberrylever.caller_http import CALLER_GONE, RequestGuard, RunningRequests, end_to_end_headers
from cranberrylever.logs import Log
from cranberrylever.metrics import Metrics
from cranberrylever.route_entry._answered import AnsweredError as _AnsweredError
from cranberrylever.route_entry._body import BodyReader
from cranberrylever.route_entry._dispatcher import Dispatcher
from cranberrylever.route_entry._format import HeaderFormat, Headers
from cranberrylever.route_entry._peer_relay import CANNOT_SERVE_STATUS
from cranberrylever.route_entry._reachability import TargetReachability
from cranberrylever.route_entry._request import (
    AttemptResult,
    OutcomeUnknownError,
    RefusedError,
    RoutedRequest,
)
from cranberrylever.route_entry._request_log import RequestLog, RequestRecord, StopTimes
from cranberrylever.route_entry._view import EntryView
from cranberrylever.route_plan import Route

Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]

MAX_CONCURRENT_REQUESTS = 2_000
"""Limit on requests in progress; with more of them an entry would run out of memory before it answers."""

DISCONNECT_CHECK_DELAY_S = 0.01
"""Time after which an entry starts to check whether the caller of a request has disconnected."""

MAX_VIEW_AGE_S = 2.0
"""Age of the view from which requests are refused while a leader exists, which may have changed it."""

OUTDATED_VIEW_RETRY_AFTER_S = 0.3

NO_VIEW_RETRY_AFTER_S = 0.5
"""Delay after which a caller may retry when the entry has not received a view."""

FIRST_VIEW_TIMEOUT_S = 1.5
"""Time after an entry's start for which requests wait for the first view.

Control sends it within this time when all processes start together.
"""

FIRST_VIEW_WAIT_SHARE = 0.4
"""Share of its time limit that a request waits for the first view; the rest is needed to serve it."""

CALLER_RETRY_SHARE = 0.93
"""A request with less than this share of its route's timeout left counts as a retry of the caller."""

DEADLINE_MARGIN_S = 0.02
"""Time before the caller's deadline at which a request is ended, so that the answer arrives in time."""

_RELAYED = "cranberrylever.relayed"
"""Key in the scope of a request that another entry has passed on."""

_STATUS_WITHOUT_BODY = frozenset({204, 304})


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
    ) -> None:
        self.memory = memory or AnswerMemory()
        self.bodies = bodies or BodyReader()
        self.view = view
        self.reachability = reachability
        self.dispatcher = dispatcher
        self.format = header_format
        self.log = log
        self.request_log = RequestLog(log, metrics, view, header_format)
        self.knows_leader = knows_leader
        self.draining = False
        self.stop = StopTimes()
        self.running = RunningRequests()
        self.requests = 0
        self.started_at = asyncio.get_running_loop().time()

    def is_view_outdated(self, now: float) -> bool:
        """Return whether control may have changed the view without this entry knowing.

        While no leader exists or control cannot be reached, the last view stays in force.
        """
        return now - self.view.confirmed_at > MAX_VIEW_AGE_S and self.knows_leader(now)

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
        self.stop = StopTimes(asyncio.get_running_loop().time(), accepts_until, stops_at)
        self.request_log.stop = self.stop
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
        except _AnsweredError as error:
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
            _AnsweredError: The entry answers itself.
        """
        self.running.add_current()
        try:
            record.request = await self._read_request(scope, receive, record)
            return None if record.request is None else await self._run_request(record.request, receive)
        except asyncio.CancelledError:
            if not self.running.suppress_cancellation():
                raise
            self.request_log.record_ended(record)
            raise _end_of_stop_error(record.request) from None
        except _AnsweredError:
            raise
        except Exception as error:
            # The request may or may not have been sent to a target, so its outcome is unknown.
            self.log.failure("request_failed", error, request_id=record.request_id(self.format))
            raise _AnsweredError(502, "failed", "internal error of the entry") from error
        finally:
            self.running.remove_current()
            self._release_body(record)

    # Reading ---------------------------------------------------------------------------------------

    async def _read_request(
        self, scope: dict, receive: Receive, record: RequestRecord
    ) -> RoutedRequest | None:
        now = record.started_at
        headers: Headers = scope["headers"]
        is_relayed = scope.get(_RELAYED, False)
        if now >= self.stop.accepts_until:
            raise _AnsweredError(503, "refused", "this entry accepts no more requests", 0.0)
        if is_relayed and self.reachability.is_lost:
            raise _AnsweredError(CANNOT_SERVE_STATUS, "refused", "this entry reaches no target either")
        host = next((value for name, value in headers if name == b"host"), b"")
        caller_headers = self.format.read_call(headers)
        await self._wait_for_first_view(now, caller_headers.deadline)
        self._refuse_if_view_outdated(now)
        if self.requests > MAX_CONCURRENT_REQUESTS:
            raise _AnsweredError(503, "refused", "too many requests in progress at this entry", 0.2)
        if self.memory.is_full(self.requests):
            raise _AnsweredError(503, "refused", self.memory.refusal(), FULL_RETRY_AFTER_S)
        matcher = self.view.matcher
        route = self._find_route(host, scope)
        record.route = route.name
        self._refuse_if_too_late(route.name)
        deadline = self._deadline(now, route, caller_headers.deadline)
        body = await self._read_body(record, receive, deadline)
        if body is None:
            return None
        if body:
            # It may have come slowly, so the view and the times of the stop may have changed meanwhile.
            self._refuse_if_view_outdated(asyncio.get_running_loop().time())
        if self.view.matcher is not matcher:
            matcher = self.view.matcher
            route = self._find_route(host, scope)
            record.route = route.name
        deadline = self._deadline(now, route, caller_headers.deadline)
        self._refuse_if_too_late(route.name)
        service = matcher.services[matcher.choose(route)]
        if service.keyed and caller_headers.key is None:
            raise _AnsweredError(
                400, "invalid", "the key header, which the service requires, is missing or invalid"
            )
        time_limit = _time_limit(route, caller_headers.deadline)
        query = scope["query_string"]
        return RoutedRequest(
            request_id=caller_headers.request_id,
            method=scope["method"].encode(),
            url=scope["raw_path"] + (b"?" + query if query else b""),
            headers=end_to_end_headers(headers),
            body=body,
            route=route,
            service=service,
            key=caller_headers.key if service.keyed else None,
            arrived_at=now,
            deadline=deadline,
            is_caller_retry=time_limit < CALLER_RETRY_SHARE * route.timeout,
            is_relayed=is_relayed,
        )

    def _find_route(self, host: bytes, scope: dict) -> Route:
        """Return the route of a request in the view in force."""
        route = self.view.matcher.match(host.decode("latin-1"), scope["raw_path"].decode("latin-1"))
        if route is None:
            raise _AnsweredError(404, "invalid", "no route matches the host and path")
        return route

    def _deadline(self, arrived_at: float, route: Route, time_left: float | None) -> float:
        """Return the loop time until which a request may take."""
        return min(arrived_at + _time_limit(route, time_left), self.stop.stops_at)

    def _refuse_if_view_outdated(self, now: float) -> None:
        if self.is_view_outdated(now):
            raise _AnsweredError(
                503, "refused", "this entry gets no changes of its routes", OUTDATED_VIEW_RETRY_AFTER_S
            )

    def _refuse_if_too_late(self, route: str) -> None:
        """Refuse a request whose answer is not expected before this entry stops."""
        if not self.draining:
            return
        answer_expected_at = asyncio.get_running_loop().time() + self.dispatcher.service_times.expected(route)
        if answer_expected_at > self.stop.stops_at:
            raise _AnsweredError(503, "refused", "this entry stops before an answer is expected", 0.0)

    async def _wait_for_first_view(self, arrived_at: float, deadline: float | None) -> None:
        """Wait for the first view shortly after the start; refuse the request if there is none by then."""
        view_expected_at = self.started_at + FIRST_VIEW_TIMEOUT_S
        wait_until = min(view_expected_at, arrived_at + FIRST_VIEW_WAIT_SHARE * (deadline or 0.0))
        now = arrived_at
        while not self.view.is_complete and now < wait_until:
            await self.view.changed.wait(wait_until - now)
            now = asyncio.get_running_loop().time()
        if not self.view.is_complete:
            raise _AnsweredError(
                503, "refused", "this entry has not received its routes yet", NO_VIEW_RETRY_AFTER_S
            )

    async def _read_body(self, record: RequestRecord, receive: Receive, deadline: float) -> bytes | None:
        """Return the complete body, ``None`` when the caller disconnects."""
        record.body = self.bodies.start(record.headers, self.dispatcher.service_times.expected(record.route))
        if record.body is None:
            return b""
        return await record.body.run(receive, deadline, self.view.matcher.plan.limits.max_body_bytes)

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
            return await self.dispatcher.run(request)
        except asyncio.CancelledError:
            if not guard.suppress_cancellation():
                raise
            if guard.reason == CALLER_GONE:
                return None
            raise self._timeout_error(request) from None
        except RefusedError as error:
            raise _AnsweredError(503, "refused", error.reason, error.retry_after) from error
        except OutcomeUnknownError as error:
            raise _AnsweredError(502, "unknown", error.reason) from error
        finally:
            guard.close()

    @staticmethod
    def _timeout_error(request: RoutedRequest) -> _AnsweredError:
        if request.may_have_run:
            return _AnsweredError(
                504,
                "unknown",
                f"no answer before the deadline; last result: {request.reason or request.tried_targets}",
            )
        return _AnsweredError(
            503, "refused", f"not sent before the deadline; last result: {request.reason}", 0.0
        )

    # Answering -------------------------------------------------------------------------------------

    async def _send_answer(self, send: Send, request: RoutedRequest, result: AttemptResult) -> None:
        answer = result.answer
        self.memory.record_answer()
        headers = end_to_end_headers(answer.headers)
        if request.method != b"HEAD" and answer.status not in _STATUS_WITHOUT_BODY:
            headers.append((b"content-length", str(len(answer.body)).encode()))
        await self._send_response(send, answer.status, headers, answer.body)

    async def _send_error(self, send: Send, error: _AnsweredError) -> None:
        body = json.dumps({"error": error.message}).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        if error.retry_after is not None:
            headers.append((b"retry-after", f"{error.retry_after:.3f}".encode()))
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
        scope[_RELAYED] = True
        await self.app(scope, receive, send)


def _time_limit(route: Route, time_left: float | None) -> float:
    """Return the seconds that a request may take: what its caller has left, the timeout of its route."""
    return route.timeout if time_left is None else min(route.timeout, time_left)


def _end_of_stop_error(request: RoutedRequest | None) -> _AnsweredError:
    """Return the error for a request that still runs when its entry ends."""
    if request is not None and request.may_have_run:
        tried = ", ".join(request.tried_targets)
        return _AnsweredError(504, "unknown", f"the entry stops; no answer yet from {tried}")
    return _AnsweredError(503, "refused", "the entry stops; the request was not sent to a target", 0.0)
