"""Responses to callers."""

import json
from collections.abc import Awaitable, Callable

import aiohttp

from cranberrylever.entry import _headers
from cranberrylever.entry._exchange import Exchange
from cranberrylever.errors import CranberryleverError
from cranberrylever.wire import ClaimAnswer

Send = Callable[[dict], Awaitable[None]]

_OUTCOME_NAME = _headers.OUTCOME.lower().encode()
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_CONNECTION_CLOSE = (b"connection", b"close")
_END_OF_BODY = {"type": "http.response.body", "body": b"", "more_body": False}


class RefusalError(CranberryleverError):
    """The entry refuses a request with a response of its own.

    Args:
        status: HTTP status of the response.
        message: Description of the error.
        remedy: What the caller can do.
    """

    def __init__(self, status: int, message: str, remedy: str) -> None:
        super().__init__(message, remedy)
        self.status = status


class TruncatedResponseError(Exception):
    """The connection to the target was lost before its response was complete."""


class ResponseWriter:
    """Writer for the response to one request of a caller.

    Args:
        send: ASGI ``send``.
        closes_connection: Whether the caller's connection is closed after the response.
        on_start: Called when the response starts, before it waits for the caller.

    Attributes:
        outcome: Outcome sent to the caller; empty before the response starts.
    """

    def __init__(
        self, send: Send, closes_connection: bool, on_start: Callable[[], None] = lambda: None
    ) -> None:
        self.send = send
        self.closes_connection = closes_connection
        self.on_start = on_start
        self.outcome = ""

    async def send_error(self, status: int, outcome: str, error: CranberryleverError) -> None:
        """Send an error response of the entry itself."""
        body = json.dumps({"error": error.message, "remedy": error.remedy}).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (_OUTCOME_NAME, outcome.encode()),
        ]
        if status in (408, 413):
            # The unread rest of the body must not be parsed as the next request on this connection.
            self.closes_connection = True
        self.outcome = outcome
        await self._send_head(status, headers)
        await self.send({"type": "http.response.body", "body": body, "more_body": False})

    async def stream(self, exchange: Exchange, response: aiohttp.ClientResponse, prefix: bytes = b"") -> None:
        """Stream a target's response to the caller; ``prefix`` is the part of its body already read.

        Raises:
            TruncatedResponseError: The response is incomplete. No final body message is sent, so the server
                closes the caller's connection and the response does not appear complete.
        """
        headers = _headers.filter_response_headers(response.raw_headers)
        if response.status in _STATUSES_WITHOUT_BODY:
            # A 304 may carry the Content-Length of a GET response; uvicorn would wait for that many bytes.
            headers = [pair for pair in headers if pair[0] != b"content-length"]
        self.outcome = _headers.UNKNOWN if has_unknown_outcome(response) else _headers.DONE
        headers.append((_OUTCOME_NAME, self.outcome.encode()))
        exchange.response_started = True
        await self._send_head(response.status, headers)
        content = response.content
        try:
            if prefix:
                await self.send({"type": "http.response.body", "body": prefix, "more_body": True})
            while not content.at_eof():
                chunk = await content.readany()
                if chunk:
                    more = not content.at_eof()
                    await self.send({"type": "http.response.body", "body": chunk, "more_body": more})
                    if not more:
                        return
        except (aiohttp.ClientError, OSError) as error:
            raise TruncatedResponseError from error
        await self.send(_END_OF_BODY)

    async def send_stored(self, answer: ClaimAnswer) -> None:
        """Send the stored response of a completed claim."""
        headers = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in answer.headers]
        headers.append((_OUTCOME_NAME, answer.outcome.encode()))
        self.outcome = answer.outcome
        await self._send_head(answer.status, headers)
        await self.send({"type": "http.response.body", "body": answer.body, "more_body": False})

    async def _send_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        self.on_start()
        if self.closes_connection:
            headers.append(_CONNECTION_CLOSE)
        await self.send({"type": "http.response.start", "status": status, "headers": headers})


def has_unknown_outcome(response: aiohttp.ClientResponse) -> bool:
    """Return whether the response of a target or another entry has an unknown outcome."""
    return response.status >= 400 and response.headers.get(_headers.OUTCOME) == _headers.UNKNOWN
