"""ASGI application of an entry."""

import asyncio
import json
import os

import aiohttp
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from cranberrylever.errors import CranberryleverError, NotRunError, UnknownOutcomeError
from cranberrylever.routing import extract_key, hash_key, is_idempotent, split_service

from . import _headers
from ._dispatcher import Dispatcher
from ._exchange import Exchange
from ._guard import CALLER_GONE, RequestGuard
from ._tuning import EntryTuning
from ._views import ViewStore

_HEALTH_PATHS = frozenset({"/healthz", "/readyz"})
_REQUEST_ID_NAME = _headers.REQUEST_ID.lower().encode()
_DEADLINE_NAME = _headers.DEADLINE_MS.lower().encode()
_HOP_NAME = _headers.HOP.lower().encode()
_MAX_REQUEST_ID = 128


class RefusalError(CranberryleverError):
    """A request is answered by the entry itself without being run.

    Args:
        status: HTTP status of the answer.
    """

    def __init__(self, status: int, message: str, remedy: str) -> None:
        super().__init__(message, remedy)
        self.status = status


class EntryApp:
    """Answers callers: reads a request, has it dispatched and streams the answer back."""

    def __init__(self, views: ViewStore, dispatcher: Dispatcher, tuning: EntryTuning) -> None:
        self.views = views
        self.dispatcher = dispatcher
        self.tuning = tuning
        self.draining = False
        self.requests = 0
        self.buffered_bytes = 0
        self.request_prefix = os.urandom(6).hex()
        self.request_number = 0
        self.health = Starlette(
            routes=[Route("/healthz", self._healthz), Route("/readyz", self._readyz)],
        )

    async def __call__(self, scope: dict, receive, send) -> None:  # noqa: ANN001
        """Serve one request."""
        if scope["type"] != "http":
            return
        if scope["path"] in _HEALTH_PATHS:
            await self.health(scope, receive, send)
            return
        self.requests += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.requests -= 1

    async def _healthz(self, request: object) -> JSONResponse:
        return JSONResponse({"status": "ok"})

    async def _readyz(self, request: object) -> JSONResponse:
        if self.draining:
            return JSONResponse({"error": "this entry is stopping", "remedy": "use another entry"}, 503)
        if not self.views.is_valid(asyncio.get_running_loop().time()):
            return JSONResponse({"error": "no valid routing view", "remedy": "check control"}, 503)
        return JSONResponse({"status": "ready", "version": self.views.version})

    async def _serve(self, scope: dict, receive, send) -> None:  # noqa: ANN001
        loop = asyncio.get_running_loop()
        try:
            if self.requests > self.tuning.max_requests:
                raise RefusalError(503, "too many requests at this entry", "use another entry")
            exchange = await self._read(scope, receive, loop.time())
        except RefusalError as error:
            await self._refuse(send, error.status, _headers.NOT_RUN, error)
            return
        except NotRunError as error:
            await self._refuse(send, 503, _headers.NOT_RUN, error)
            return
        if exchange is None:
            return
        self.buffered_bytes += len(exchange.body)
        guard = RequestGuard(receive, exchange.deadline, self.tuning.disconnect_check_delay)
        try:
            await self._run(exchange, send)
        except asyncio.CancelledError:
            if not guard.absorb():
                raise
            if guard.reason != CALLER_GONE:
                await self._answer_deadline(exchange, send)
        finally:
            guard.close()
            self.buffered_bytes -= len(exchange.body)

    async def _answer_deadline(self, exchange: Exchange, send) -> None:  # noqa: ANN001
        error = NotRunError("the deadline passed", "retry with a later deadline")
        outcome = _headers.UNKNOWN if exchange.may_have_run else _headers.NOT_RUN
        if not exchange.answer_started:
            await self._refuse(send, 504 if exchange.may_have_run else 503, outcome, error)

    async def _run(self, exchange: Exchange, send) -> None:  # noqa: ANN001
        try:
            attempt, response = await self.dispatcher.run(exchange)
        except NotRunError as error:
            outcome = _headers.UNKNOWN if exchange.may_have_run else _headers.NOT_RUN
            await self._refuse(send, 503, outcome, error)
            return
        except UnknownOutcomeError as error:
            await self._refuse(send, 502, _headers.UNKNOWN, error)
            return
        try:
            await self._stream(exchange, response, send)
        finally:
            response.close()
            self.dispatcher.finish(attempt)

    async def _stream(self, exchange: Exchange, response: aiohttp.ClientResponse, send) -> None:  # noqa: ANN001
        headers = _headers.answer_headers(response.raw_headers)
        headers.append((b"cranberrylever-outcome", _headers.DONE.encode()))
        if self.draining:
            headers.append((b"connection", b"close"))
        exchange.answer_started = True
        await send({"type": "http.response.start", "status": response.status, "headers": headers})
        try:
            async for chunk in response.content.iter_any():
                await send({"type": "http.response.body", "body": chunk, "more_body": True})
        except aiohttp.ClientError:
            # Returning without a last body message makes the server break the caller's connection, so that a
            # truncated answer never looks complete.
            return
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    async def _read(self, scope: dict, receive, now: float) -> Exchange | None:  # noqa: ANN001
        headers = scope["headers"]
        raw_path = scope["raw_path"].decode("latin-1")
        table = self.views.current(now)
        name, rest = split_service(raw_path)
        service = table.services.get(name)
        if service is None:
            raise RefusalError(404, f"unknown service {name!r}", "use a path that starts with a service name")
        key_hash = None
        if service.kind == "keyed":
            key = extract_key(service.key, raw_path, headers)
            if key is None:
                raise RefusalError(
                    400, "the request names no key", "put the key where the service expects it"
                )
            key_hash = hash_key(key)
        deadline = now + self._deadline_ms(headers, service.deadline_ms) / 1000
        body = await self._read_body(scope, receive, service.max_body_bytes, deadline)
        if body is None:
            return None
        query = scope["query_string"]
        return Exchange(
            service=service,
            method=scope["method"],
            path=rest,
            url_suffix=f"{raw_path}?{query.decode('latin-1')}" if query else raw_path,
            headers=_headers.request_headers(headers),
            body=body,
            deadline=deadline,
            idempotent=is_idempotent(service, scope["method"], rest),
            request_id=self._request_id(headers),
            key_hash=key_hash,
            is_forwarded=_headers.find(headers, _HOP_NAME) is not None,
        )

    def _deadline_ms(self, headers: list[tuple[bytes, bytes]], default: int) -> int:
        value = _headers.find(headers, _DEADLINE_NAME)
        if value is None:
            return default
        if not value.isdigit() or int(value) == 0:
            raise RefusalError(400, f"{_headers.DEADLINE_MS} is not a positive integer", "give milliseconds")
        return min(int(value), self.tuning.max_deadline_ms)

    def _request_id(self, headers: list[tuple[bytes, bytes]]) -> str:
        value = _headers.find(headers, _REQUEST_ID_NAME)
        if value and len(value) <= _MAX_REQUEST_ID:
            return value.decode("latin-1")
        self.request_number += 1
        return f"{self.request_prefix}-{self.request_number}"

    async def _read_body(self, scope: dict, receive, limit: int, deadline: float) -> bytes | None:  # noqa: ANN001
        headers = scope["headers"]
        length = _headers.find(headers, b"content-length")
        if length is None and _headers.find(headers, b"transfer-encoding") is None:
            return b""
        too_large = RefusalError(413, f"the body exceeds {limit} bytes", "send a smaller body")
        if length is not None and int(length) > limit:
            raise too_large
        if self.buffered_bytes >= self.tuning.max_buffered_bytes:
            raise RefusalError(503, "too many request bodies are held at this entry", "use another entry")
        chunks = []
        size = 0
        try:
            async with asyncio.timeout_at(deadline):
                while True:
                    message = await receive()
                    if message["type"] == "http.disconnect":
                        return None
                    chunks.append(message["body"])
                    size += len(message["body"])
                    if size > limit:
                        raise too_large
                    if not message["more_body"]:
                        return b"".join(chunks)
        except TimeoutError:
            raise RefusalError(408, "the body did not arrive before the deadline", "retry") from None

    async def _refuse(self, send, status: int, outcome: str, error: CranberryleverError) -> None:  # noqa: ANN001
        body = json.dumps({"error": error.message, "remedy": error.remedy}).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (b"cranberrylever-outcome", outcome.encode()),
        ]
        if self.draining or status in (408, 413):
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body, "more_body": False})
