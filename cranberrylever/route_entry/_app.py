"""ASGI application of an entry that serves routes."""

import asyncio
import json
from collections.abc import Awaitable, Callable

from cranberrylever.caller_http import CALLER_GONE, RequestGuard, end_to_end_headers
from cranberrylever.logs import Log
from cranberrylever.metrics import Metrics
from cranberrylever.route_entry._call import Call, OutcomeUnknownError, RefusedError, Served
from cranberrylever.route_entry._dispatcher import Dispatcher
from cranberrylever.route_entry._format import HeaderFormat, Headers
from cranberrylever.route_entry._view import EntryView

Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]

MAX_REQUESTS = 2_000
"""Requests held at once; above it an entry would run out of memory before it answers."""

GUARD_DELAY_S = 0.01
NO_VIEW_RETRY_AFTER_S = 0.5
FIRST_VIEW_TIME_S = 1.5
"""Time after an entry's start within which control sends it a view when all processes start together."""

FIRST_VIEW_SHARE = 0.4
"""Share of its time that a request waits for the first view, so that the rest still suffices."""

RETURNED_SHARE = 0.93
"""A caller with less than this share of its route's time has waited elsewhere before."""

FINAL_MARGIN_S = 0.02
"""Time before the caller's deadline at which a request without an answer ends, for the caller to hear it."""

_STATUS_WITHOUT_BODY = frozenset({204, 304})


class _AnsweredError(Exception):
    """A request is answered by the entry itself.

    Args:
        status: HTTP status.
        outcome: Outcome for the log.
        message: What is wrong.
        retry_after: Seconds after which the caller may come again, ``None`` when it need not.
    """

    def __init__(self, status: int, outcome: str, message: str, retry_after: float | None = None) -> None:
        super().__init__(message)
        self.status = status
        self.outcome = outcome
        self.message = message
        self.retry_after = retry_after


class RouteEntryApp:
    """Answers callers: reads a request, has it run and passes the answer on.

    Args:
        view: The view in force.
        dispatcher: Runs calls.
        header_format: Reads headers.
        metrics: Metrics of the process.
        log: Program log.
    """

    def __init__(
        self,
        view: EntryView,
        dispatcher: Dispatcher,
        header_format: HeaderFormat,
        metrics: Metrics,
        log: Log,
    ) -> None:
        self.view = view
        self.dispatcher = dispatcher
        self.format = header_format
        self.metrics = metrics
        self.log = log
        self.draining = False
        self.requests = 0
        self.started_at = asyncio.get_running_loop().time()

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        self.requests += 1
        started = asyncio.get_running_loop().time()
        record = _RequestRecord(scope, started)
        try:
            await self._serve(scope, receive, send, record)
        finally:
            self.requests -= 1
            self._write(record)

    async def _serve(self, scope: dict, receive: Receive, send: Send, record: "_RequestRecord") -> None:
        try:
            call = await self._read(scope, receive, record)
            if call is None:
                record.outcome = "caller gone"
                return
            record.call = call
            served = await self._run(call, receive)
        except _AnsweredError as error:
            record.outcome = error.outcome
            record.status = error.status
            record.reason = error.message
            await self._refuse(send, error)
            return
        except Exception as error:
            # Nothing is known about how far the request came, so the answer promises nothing.
            self.log.failure("request_failed", error, request_id=record.request_id(self.format))
            record.status = 502
            await self._refuse(send, _AnsweredError(502, "unknown", "the entry failed"))
            return
        if served is None:
            record.outcome = "caller gone"
            return
        record.outcome = "done"
        record.status = served.answer.status
        record.target = served.target_id
        await self._pass_on(send, call, served)

    # Reading ---------------------------------------------------------------------------------------

    async def _read(self, scope: dict, receive: Receive, record: "_RequestRecord") -> Call | None:
        now = record.started
        headers: Headers = scope["headers"]
        host = next((value for name, value in headers if name == b"host"), None)
        if host is None:
            raise _AnsweredError(400, "invalid", "the request has no Host header")
        meta = self.format.read_call(headers)
        await self._wait_for_first_view(now, meta.deadline)
        if self.requests > MAX_REQUESTS:
            raise _AnsweredError(503, "refused", "too many requests at this entry", 0.2)
        matcher = self.view.matcher
        path = scope["raw_path"].decode("latin-1")
        route = matcher.match(host.decode("latin-1"), path)
        if route is None:
            raise _AnsweredError(404, "invalid", "no route leads there")
        record.route = route.name
        waits = min(route.timeout, meta.deadline if meta.deadline is not None else route.timeout)
        body = await self._read_body(headers, receive, now + waits)
        if body is None:
            return None
        service = matcher.services[matcher.choose(route)]
        if service.keyed and meta.key is None:
            raise _AnsweredError(400, "invalid", "the request names no key, which its service needs")
        query = scope["query_string"]
        return Call(
            request_id=meta.request_id,
            method=scope["method"].encode(),
            url=scope["raw_path"] + (b"?" + query if query else b""),
            headers=end_to_end_headers(headers),
            body=body,
            route=route,
            service=service,
            key=meta.key if service.keyed else None,
            arrived=now,
            deadline=now + waits,
            has_returned=waits < RETURNED_SHARE * route.timeout,
        )

    async def _wait_for_first_view(self, arrived: float, deadline: float | None) -> None:
        """Wait for the view of an entry that has just started; one that has run for longer refuses."""
        expected_by = self.started_at + FIRST_VIEW_TIME_S
        wait_until = min(expected_by, arrived + FIRST_VIEW_SHARE * (deadline or 0.0))
        now = arrived
        while not self.view.is_complete and now < wait_until:
            await self.view.wait_for_change(wait_until - now)
            now = asyncio.get_running_loop().time()
        if not self.view.is_complete:
            raise _AnsweredError(503, "refused", "this entry has no routes yet", NO_VIEW_RETRY_AFTER_S)

    async def _read_body(self, headers: Headers, receive: Receive, deadline: float) -> bytes | None:
        """Return the whole body, ``None`` when the caller left."""
        if not any(name in (b"content-length", b"transfer-encoding") for name, _ in headers):
            return b""
        limit = self.view.matcher.plan.limits.max_body_bytes
        parts: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout_at(deadline):
                while True:
                    message = await receive()
                    if message["type"] == "http.disconnect":
                        return None
                    parts.append(message["body"])
                    size += len(message["body"])
                    if size > limit:
                        raise _AnsweredError(413, "invalid", f"the body exceeds {limit} bytes")
                    if not message["more_body"]:
                        return b"".join(parts)
        except TimeoutError:
            raise _AnsweredError(408, "refused", "the body did not arrive in time", 0.0) from None

    # Running ---------------------------------------------------------------------------------------

    async def _run(self, call: Call, receive: Receive) -> Served | None:
        """Return the answer, ``None`` when the caller left."""
        guard = RequestGuard(receive, call.deadline - FINAL_MARGIN_S, GUARD_DELAY_S)
        try:
            return await self.dispatcher.run(call)
        except asyncio.CancelledError:
            if not guard.suppress_cancellation():
                raise
            if guard.reason == CALLER_GONE:
                return None
            raise self._timed_out(call) from None
        except RefusedError as error:
            raise _AnsweredError(503, "refused", error.reason, error.retry_after) from error
        except OutcomeUnknownError as error:
            raise _AnsweredError(502, "unknown", error.reason) from error
        finally:
            guard.close()

    @staticmethod
    def _timed_out(call: Call) -> _AnsweredError:
        if call.may_have_run:
            return _AnsweredError(504, "unknown", f"no answer in time; last: {call.reason or call.tried}")
        return _AnsweredError(503, "refused", f"not sent in time; last: {call.reason}", 0.0)

    # Answering -------------------------------------------------------------------------------------

    async def _pass_on(self, send: Send, call: Call, served: Served) -> None:
        answer = served.answer
        headers = end_to_end_headers(answer.headers)
        if call.method != b"HEAD" and answer.status not in _STATUS_WITHOUT_BODY:
            headers.append((b"content-length", str(len(answer.body)).encode()))
        await self._send(send, answer.status, headers, answer.body)

    async def _refuse(self, send: Send, error: _AnsweredError) -> None:
        body = json.dumps({"error": error.message}).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        if error.retry_after is not None:
            headers.append((b"retry-after", f"{error.retry_after:.3f}".encode()))
        if error.status in (408, 413):
            # The rest of the body is still on its way and must not be read as the next request.
            headers.append((b"connection", b"close"))
        await self._send(send, error.status, headers, body)

    async def _send(self, send: Send, status: int, headers: Headers, body: bytes) -> None:
        if self.draining and (b"connection", b"close") not in headers:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body, "more_body": False})

    def _write(self, record: "_RequestRecord") -> None:
        elapsed = asyncio.get_running_loop().time() - record.started
        self.metrics.count(f"requests_{record.outcome.replace(' ', '_')}")
        self.metrics.timing("request_ms", elapsed * 1000)
        call = record.call
        self.log.info(
            "request",
            request_id=record.request_id(self.format),
            route=record.route,
            service=call.service.name if call else "",
            key=call.key if call else None,
            tried=call.tried if call else [],
            target=record.target,
            status=record.status,
            outcome=record.outcome,
            reason=record.reason or (call.reason if call else ""),
            ms=round(elapsed * 1000, 1),
            plan=self.view.plan_version,
            fleet=self.view.fleet_version,
            ranges=self.view.ranges_version,
            view_age_ms=round((record.started + elapsed - self.view.received_at) * 1000),
        )


class _RequestRecord:
    """What the log line of a request tells."""

    def __init__(self, scope: dict, started: float) -> None:
        self.headers: Headers = scope["headers"]
        self.started = started
        self.call: Call | None = None
        self.route = ""
        self.outcome = "failed"
        self.status = 0
        self.reason = ""
        self.target = ""

    def request_id(self, header_format: HeaderFormat) -> str:
        """Return the caller's id of the request."""
        call = self.call
        request_id = call.request_id if call else header_format.read_call(self.headers).request_id
        return request_id.decode("latin-1")
