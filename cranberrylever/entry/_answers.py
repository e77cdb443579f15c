"""Writes answers to a caller."""

import json
from collections.abc import Awaitable, Callable

import aiohttp

from cranberrylever.entry import _headers
from cranberrylever.entry._exchange import Exchange
from cranberrylever.errors import CranberryleverError
from cranberrylever.wire import ClaimAnswer

Send = Callable[[dict], Awaitable[None]]

_OUTCOME_NAME = _headers.OUTCOME.lower().encode()
_STATUS_WITHOUT_BODY = frozenset({204, 304})
_CLOSE = (b"connection", b"close")
_LAST_BODY = {"type": "http.response.body", "body": b"", "more_body": False}


class RefusalError(CranberryleverError):
    """A request is answered by the entry itself without being run.

    Args:
        status: HTTP status of the answer.
        message: What is wrong.
        remedy: What the caller can do.
    """

    def __init__(self, status: int, message: str, remedy: str) -> None:
        super().__init__(message, remedy)
        self.status = status


class TruncatedAnswerError(Exception):
    """The target's answer ended before it was complete."""


class AnswerWriter:
    """Answer to one caller.

    Args:
        send: ASGI ``send``.
        closes: Whether the caller's connection closes after the answer.

    Attributes:
        outcome: Outcome sent to the caller, empty before an answer begins.
    """

    def __init__(self, send: Send, closes: bool) -> None:
        self.send = send
        self.closes = closes
        self.outcome = ""

    async def refuse(self, status: int, outcome: str, error: CranberryleverError) -> None:
        """Answer with an error of the entry."""
        body = json.dumps({"error": error.message, "remedy": error.remedy}).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (_OUTCOME_NAME, outcome.encode()),
        ]
        if status in (408, 413):
            # The rest of the body is still on its way and must not be read as the next request.
            self.closes = True
        self.outcome = outcome
        await self._start(status, headers)
        await self.send({"type": "http.response.body", "body": body, "more_body": False})

    async def stream(
        self, exchange: Exchange, response: aiohttp.ClientResponse, beginning: bytes = b""
    ) -> None:
        """Pass a target's answer on as it arrives; ``beginning`` has been read already.

        Raises:
            TruncatedAnswerError: The answer is incomplete. Without a last message the server breaks the
                caller's connection, so that the answer does not look complete.
        """
        headers = _headers.answer_headers(response.raw_headers)
        if response.status in _STATUS_WITHOUT_BODY:
            # A 304 may name the length of the answer to a GET; uvicorn would wait for that many bytes.
            headers = [pair for pair in headers if pair[0] != b"content-length"]
        self.outcome = _headers.UNKNOWN if is_unknown(response) else _headers.DONE
        headers.append((_OUTCOME_NAME, self.outcome.encode()))
        exchange.answer_started = True
        await self._start(response.status, headers)
        content = response.content
        try:
            if beginning:
                await self.send({"type": "http.response.body", "body": beginning, "more_body": True})
            while not content.at_eof():
                chunk = await content.readany()
                if chunk:
                    more = not content.at_eof()
                    await self.send({"type": "http.response.body", "body": chunk, "more_body": more})
                    if not more:
                        return
        except (aiohttp.ClientError, OSError) as error:
            raise TruncatedAnswerError from error
        await self.send(_LAST_BODY)

    async def replay(self, answer: ClaimAnswer) -> None:
        """Send a stored answer."""
        headers = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in answer.headers]
        headers.append((_OUTCOME_NAME, answer.outcome.encode()))
        self.outcome = answer.outcome
        await self._start(answer.status, headers)
        await self.send({"type": "http.response.body", "body": answer.body, "more_body": False})

    async def _start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        if self.closes:
            headers.append(_CLOSE)
        await self.send({"type": "http.response.start", "status": status, "headers": headers})


def is_unknown(response: aiohttp.ClientResponse) -> bool:
    """Tell whether a target or another entry answered that the outcome is unknown."""
    return response.status >= 400 and response.headers.get(_headers.OUTCOME) == _headers.UNKNOWN
