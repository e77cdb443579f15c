"""ASGI application of an entry."""

import asyncio
from collections.abc import Awaitable, Callable

from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from cranberrylever.caller_http import CALLER_GONE, RequestGuard, RunningRequests
from cranberrylever.entry import _headers
from cranberrylever.entry._claimed import ClaimedRunner
from cranberrylever.entry._dispatcher import Dispatcher
from cranberrylever.entry._exchange import Exchange
from cranberrylever.entry._reader import RequestReader
from cranberrylever.entry._responses import RefusalError, ResponseWriter, TruncatedResponseError
from cranberrylever.entry._stats import ResponseStats
from cranberrylever.entry._tuning import EntryTuning
from cranberrylever.entry._views import ViewStore
from cranberrylever.errors import NotRunError, UnknownOutcomeError
from cranberrylever.logs import Log

Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]

_HEALTH_PATHS = frozenset({"/healthz", "/readyz"})


class EntryApp:
    """ASGI application that reads requests, dispatches them and streams the responses back.

    Args:
        views: The current view.
        reader: Parses requests.
        dispatcher: Sends requests to targets.
        claimed: Runs requests with an idempotency key.
        tuning: Limits.
        stats: Response counts for the metrics.
        log: Program log.
    """

    def __init__(
        self,
        views: ViewStore,
        reader: RequestReader,
        dispatcher: Dispatcher,
        claimed: ClaimedRunner,
        tuning: EntryTuning,
        stats: ResponseStats,
        log: Log,
    ) -> None:
        self.log = log
        self.stats = stats
        self.views = views
        self.reader = reader
        self.dispatcher = dispatcher
        self.claimed = claimed
        self.tuning = tuning
        self.draining = False
        self.active_requests = 0
        self.running = RunningRequests()
        self.health = Starlette(
            routes=[Route("/healthz", self._healthz), Route("/readyz", self._readyz)],
        )

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        if scope["path"] in _HEALTH_PATHS:
            await self.health(scope, receive, send)
            return
        self.active_requests += 1
        writer = ResponseWriter(send, self.draining, self.running.remove_current)
        clock = asyncio.get_running_loop().time
        started = clock()
        self.running.add_current()
        try:
            await self._serve(scope, receive, writer)
        except asyncio.CancelledError:
            if not self.running.suppress_cancellation():
                raise
            await writer.send_error(503, _headers.NOT_RUN, _end_of_stop_error())
        finally:
            self.running.remove_current()
            self.active_requests -= 1
            self.stats.record(writer.outcome, clock() - started)

    async def _healthz(self, request: object) -> JSONResponse:
        return JSONResponse({"status": "ok"})

    async def _readyz(self, request: object) -> JSONResponse:
        if self.draining:
            return JSONResponse({"error": "this entry is stopping", "remedy": "use another entry"}, 503)
        if not self.views.is_valid(asyncio.get_running_loop().time()):
            return JSONResponse({"error": "no valid routing view", "remedy": "check control"}, 503)
        return JSONResponse({"status": "ready", "version": self.views.version})

    async def _serve(self, scope: dict, receive: Receive, writer: ResponseWriter) -> None:
        try:
            if self.active_requests > self.tuning.max_requests:
                raise RefusalError(503, "too many concurrent requests at this entry", "use another entry")
            exchange = await self.reader.read(scope, receive, asyncio.get_running_loop().time())
            if exchange is None:
                return
            key = ""
            if not exchange.idempotent and not exchange.is_claimed:
                key = self.reader.idempotency_key(scope["headers"])
        except RefusalError as error:
            await writer.send_error(error.status, _headers.NOT_RUN, error)
            return
        except NotRunError as error:
            await writer.send_error(503, _headers.NOT_RUN, error)
            return
        await self._run_guarded(exchange, key, receive, writer)

    async def _run_guarded(
        self, exchange: Exchange, key: str, receive: Receive, writer: ResponseWriter
    ) -> None:
        self.reader.buffered_bytes += len(exchange.body)
        guard = RequestGuard(receive, exchange.deadline, self.tuning.disconnect_check_delay)
        try:
            await self._run(exchange, key, writer)
        except asyncio.CancelledError:
            is_end_of_stop = self.running.suppress_cancellation()
            if not (is_end_of_stop or guard.suppress_cancellation()):
                raise
            # A response that has started is left incomplete, so the server closes the caller's connection.
            if guard.reason != CALLER_GONE and not exchange.response_started:
                deadline_error = NotRunError("the deadline passed", "use a later deadline")
                error = _end_of_stop_error() if is_end_of_stop else deadline_error
                outcome = exchange.outcome
                await writer.send_error(503 if outcome == _headers.NOT_RUN else 504, outcome, error)
        finally:
            guard.close()
            self.reader.buffered_bytes -= len(exchange.body)

    async def _run(self, exchange: Exchange, key: str, writer: ResponseWriter) -> None:
        try:
            if key:
                await self.claimed.run(exchange, key, writer)
            else:
                await self._run_unclaimed(exchange, writer)
        except RefusalError as error:
            await writer.send_error(error.status, exchange.outcome, error)
        except NotRunError as error:
            await writer.send_error(503, exchange.outcome, error)
        except UnknownOutcomeError as error:
            await writer.send_error(502, _headers.UNKNOWN, error)
        except TruncatedResponseError:
            return
        except Exception as error:
            self.log.failure("request_failed", error, service=exchange.service.name)
            if not exchange.response_started:
                refusal = RefusalError(
                    500, "internal error of the entry", "report the log lines of this entry"
                )
                await writer.send_error(500, exchange.outcome, refusal)

    async def _run_unclaimed(self, exchange: Exchange, writer: ResponseWriter) -> None:
        attempt, response = await self.dispatcher.run(exchange)
        try:
            await writer.stream(exchange, response)
        except TruncatedResponseError:
            await self.dispatcher.handle_truncated_response(attempt)
            raise
        finally:
            response.close()
            self.dispatcher.finish(attempt)


def _end_of_stop_error() -> NotRunError:
    return NotRunError("the entry stops and has no answer yet", "use another entry")
