"""Parsing of requests: service, key, deadline and body, within the size limits."""

import asyncio
import os

from cranberrylever.entry import _headers
from cranberrylever.entry._exchange import Exchange
from cranberrylever.entry._responses import RefusalError
from cranberrylever.entry._tuning import EntryTuning
from cranberrylever.entry._views import ViewStore
from cranberrylever.routing import ServiceView, extract_key, hash_key, is_idempotent, split_service
from cranberrylever.settings import split_address

MAX_REQUEST_ID_BYTES = 128
"""Maximum size of a caller's request id; a longer one is replaced by a generated id."""

MAX_IDEMPOTENCY_KEY_BYTES = 256

_REQUEST_ID_NAME = _headers.REQUEST_ID.lower().encode()
_DEADLINE_NAME = _headers.DEADLINE_MS.lower().encode()
_HOP_NAME = _headers.HOP.lower().encode()


class RequestReader:
    """Reads ASGI requests into exchanges.

    Args:
        views: The current view.
        tuning: Limits.
    """

    def __init__(self, views: ViewStore, tuning: EntryTuning) -> None:
        self.views = views
        self.tuning = tuning
        self.buffered_bytes = 0
        self.id_prefix = os.urandom(6).hex()
        self.id_number = 0

    async def read(self, scope: dict, receive, now: float) -> Exchange | None:  # noqa: ANN001
        """Read a request; return ``None`` when the caller disconnected.

        Raises:
            RefusalError: The request is invalid or too large, its body is late, or the body buffer is full.
            NotRunError: There is no valid view.
        """
        headers = scope["headers"]
        raw_path = scope["raw_path"].decode("latin-1")
        name, service_path = split_service(raw_path)
        service = self.views.current(now).services.get(name)
        if service is None:
            raise RefusalError(404, f"unknown service {name!r}", "use a path that starts with a service name")
        key_hash = self._key_hash(service, raw_path, headers)
        query = scope["query_string"]
        method = scope["method"]
        exchange = Exchange(
            service=service,
            method=method,
            url_suffix=f"{raw_path}?{query.decode('latin-1')}" if query else raw_path,
            headers=_headers.filter_request_headers(headers),
            body=b"",
            deadline=now + self._deadline_ms(headers, service.deadline_ms) / 1000,
            idempotent=is_idempotent(service, method, service_path),
            request_id=self._request_id(headers),
            key_hash=key_hash,
            is_forwarded=_headers.find_header(headers, _HOP_NAME) is not None,
        )
        exchange.is_claimed = exchange.is_forwarded and self._comes_from_entry(scope["client"])
        body = await self._read_body(headers, receive, service.max_body_bytes, exchange.deadline)
        if body is None:
            return None
        exchange.body = body
        return exchange

    def idempotency_key(self, headers: list[tuple[bytes, bytes]]) -> str:
        """Return the caller's idempotency key, or an empty string.

        Raises:
            RefusalError: The key is too long.
        """
        value = _headers.find_header(headers, b"idempotency-key") or b""
        if len(value) > MAX_IDEMPOTENCY_KEY_BYTES:
            raise RefusalError(
                400, "the idempotency key is too long", f"use up to {MAX_IDEMPOTENCY_KEY_BYTES} bytes"
            )
        return value.decode("latin-1")

    def _key_hash(
        self, service: ServiceView, raw_path: str, headers: list[tuple[bytes, bytes]]
    ) -> int | None:
        if service.kind != "keyed":
            return None
        key = extract_key(service.key, raw_path, headers)
        if key is None:
            raise RefusalError(
                400,
                "the request has no key",
                "set the path segment or header in which the service expects its key",
            )
        return hash_key(key)

    def _comes_from_entry(self, client: tuple[str, int] | None) -> bool:
        """Return whether a request comes from the host address of an entry in the view.

        Without this check, a caller could skip its claim by setting the header of forwarded requests.
        """
        if client is None or self.views.table is None:
            return False
        return any(split_address(address)[0] == client[0] for address in self.views.table.entries.values())

    def _deadline_ms(self, headers: list[tuple[bytes, bytes]], default: int) -> int:
        value = _headers.find_header(headers, _DEADLINE_NAME)
        if value is None:
            return default
        if not value.isdigit() or int(value) == 0:
            raise RefusalError(
                400, f"{_headers.DEADLINE_MS} is not a positive integer", "specify milliseconds"
            )
        return min(int(value), self.tuning.max_deadline_ms)

    def _request_id(self, headers: list[tuple[bytes, bytes]]) -> str:
        value = _headers.find_header(headers, _REQUEST_ID_NAME)
        if value and len(value) <= MAX_REQUEST_ID_BYTES:
            return value.decode("latin-1")
        self.id_number += 1
        return f"{self.id_prefix}-{self.id_number}"

    async def _read_body(
        self,
        headers: list[tuple[bytes, bytes]],
        receive,  # noqa: ANN001
        limit: int,
        deadline: float,
    ) -> bytes | None:
        length = _headers.find_header(headers, b"content-length")
        if length is None and _headers.find_header(headers, b"transfer-encoding") is None:
            return b""
        if length is not None and int(length) > limit:
            raise _body_too_large(limit)
        if self.buffered_bytes >= self.tuning.max_buffered_bytes:
            raise RefusalError(
                503, "the buffer for request bodies of this entry is full", "use another entry"
            )
        try:
            async with asyncio.timeout_at(deadline):
                return await _collect_body(receive, limit)
        except TimeoutError:
            raise RefusalError(408, "the body did not arrive before the deadline", "retry") from None


async def _collect_body(receive, limit: int) -> bytes | None:  # noqa: ANN001
    chunks = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        chunks.append(message["body"])
        size += len(message["body"])
        if size > limit:
            raise _body_too_large(limit)
        if not message["more_body"]:
            return b"".join(chunks)


def _body_too_large(limit: int) -> RefusalError:
    return RefusalError(413, f"the body exceeds {limit} bytes", "send a smaller body")
