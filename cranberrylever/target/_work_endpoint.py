"""ASGI endpoint for the requests that a target executes."""

import asyncio
from urllib.parse import parse_qs

import msgspec
import xxhash
from starlette.datastructures import Headers
from starlette.requests import ClientDisconnect
from starlette.types import Message, Receive, Scope, Send

from cranberrylever.target import _headers as headers
from cranberrylever.target._executor import ActiveWork, Executor, Work

_STATUS_CODES = {
    "done": 200,
    "fence": 409,
    "shed": 503,
    "late": 503,
    "cancelled": 499,
    "deadline": 504,
    "fenced": 500,
}
_NOT_RUN_OUTCOMES = frozenset({"fence", "shed", "late"})


class WorkEndpoint:
    """Reads a request, runs it and sends a description of the run.

    The query parameter ``ms`` sets the service time and ``bytes`` the length of the padding in the response.
    The response contains the path with its query and a hash of the body, so that a caller can detect the
    response to another request.
    """

    def __init__(self, executor: Executor) -> None:
        self.executor = executor

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        try:
            body = await read_body(receive)
        except ClientDisconnect:
            return
        query = parse_qs(scope["query_string"].decode("latin-1"))
        work = read_work(scope, query, self.executor.now())
        loop = asyncio.get_running_loop()
        active = ActiveWork(work, loop.create_future(), loop.create_future())
        disconnect_task = asyncio.create_task(cancel_on_disconnect(receive, active))
        try:
            outcome = await self.executor.run(active)
        finally:
            disconnect_task.cancel()
        await self.send_response(outcome, active, body, query, send)

    async def send_response(
        self, outcome: str, active: ActiveWork, body: bytes, query: dict[str, list[str]], send: Send
    ) -> None:
        """Send the response for an outcome of the executor."""
        started = active.running
        content: dict[str, object] = {
            "target_id": self.executor.target_id,
            "incarnation": self.executor.incarnation,
            "request_id": active.work.request_id,
            "outcome": outcome,
            "method": active.work.method,
            "path": active.work.path,
            "body_bytes": len(body),
            "body_hash": xxhash.xxh3_64_hexdigest(body),
        }
        if "bytes" in query:
            content["padding"] = "x" * int(query["bytes"][0])
        extra_headers = []
        if outcome != "done":
            not_run = outcome in _NOT_RUN_OUTCOMES or not started
            extra_headers.append((headers.OUTCOME, "not-run" if not_run else "unknown"))
            if self.executor.admission.cold:
                extra_headers.append((headers.TARGET_STATE, "cold"))
        await send_json(send, _STATUS_CODES[outcome], content, extra_headers)


async def read_body(receive: Receive) -> bytes:
    """Return the whole body of a request.

    Raises:
        ClientDisconnect: The caller disconnected before the body was complete.
    """
    parts: list[bytes] = []
    while True:
        message: Message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientDisconnect
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


async def cancel_on_disconnect(receive: Receive, active: ActiveWork) -> None:
    """End a request when its connection closes."""
    while (await receive())["type"] != "http.disconnect":
        pass
    active.end("cancelled")


def read_work(scope: Scope, query: dict[str, list[str]], now: float) -> Work:
    """Return the work of a request; its key is the second path segment."""
    values = Headers(scope=scope)
    path = scope["path"]
    segments = path.split("/")
    raw_query = scope["query_string"].decode("latin-1")
    deadline_ms = values.get(headers.DEADLINE_MS)
    return Work(
        request_id=values.get(headers.REQUEST_ID, ""),
        idempotency_key=values.get("idempotency-key", ""),
        incarnation=values.get(headers.TARGET_INCARNATION, ""),
        method=scope["method"],
        path=f"{path}?{raw_query}" if raw_query else path,
        key=segments[2] if len(segments) > 2 else "",
        shard=optional_int(values.get(headers.SHARD)),
        fence=optional_int(values.get(headers.FENCE)),
        deadline=now + float(deadline_ms) / 1000 if deadline_ms else None,
        service_ms=float(query["ms"][0]) if "ms" in query else None,
    )


def optional_int(value: str | None) -> int | None:
    """Return a header value as an integer, or ``None`` when it is absent or empty."""
    return int(value) if value else None


async def send_json(send: Send, status: int, content: object, extra_headers: list[tuple[str, str]]) -> None:
    """Send a JSON response."""
    body = msgspec.json.encode(content)
    fields = [("content-type", "application/json"), ("content-length", str(len(body))), *extra_headers]
    raw = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in fields]
    await send({"type": "http.response.start", "status": status, "headers": raw})
    await send({"type": "http.response.body", "body": body})
