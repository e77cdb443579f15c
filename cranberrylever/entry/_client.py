"""HTTP client for targets, based on aiohttp without its automatic resends and redirects."""

import asyncio
import contextvars
from collections.abc import Callable

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from cranberrylever.entry import _headers
from cranberrylever.entry._exchange import Attempt, Exchange
from cranberrylever.entry._tuning import EntryTuning
from cranberrylever.errors import NotRunError, UnknownOutcomeError
from cranberrylever.http_status import is_final

FORWARD_MARGIN_MS = 20
"""Milliseconds by which the deadline of a request forwarded to another entry is shortened."""

_METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})

_current_attempt: contextvars.ContextVar[Attempt] = contextvars.ContextVar("current_attempt")


class TargetRefusedError(NotRunError):
    """The target responded that it did not run the request.

    Args:
        status: HTTP status of the response.
        is_cold: Whether the target reported that it is cold.
        incarnation: Incarnation that the target reported, or empty.
    """

    def __init__(self, status: int, is_cold: bool, incarnation: str) -> None:
        super().__init__(f"the target refused the request with status {status}", "retry later")
        self.status = status
        self.is_cold = is_cold
        self.incarnation = incarnation


class ConnectionLostError(UnknownOutcomeError):
    """The connection to the target was lost after a part of the request may have been sent.

    The result of ``probe`` tells whether the target crashed; it is ``None`` when no probe was started.
    """

    probe: asyncio.Task[bool] | None = None


class _TargetRequest(aiohttp.ClientRequest):
    """Request with exactly the given headers that checks its attempt just before it is sent."""

    check_before_send: Callable[[Attempt], None]

    def update_auto_headers(self, skip_auto_headers) -> None:  # noqa: ANN001
        """Add none of aiohttp's default headers."""
        self._skip_auto_headers = _NO_AUTO_HEADERS

    async def send(self, conn):  # noqa: ANN001, ANN201
        """Send the request unless its attempt became invalid while it waited for a connection."""
        attempt = _current_attempt.get()
        self.check_before_send(attempt)
        if conn.transport is None:
            raise aiohttp.ServerDisconnectedError
        attempt.transport = conn.transport
        attempt.sent = True
        attempt.exchange.possible_runs += 1
        response = await super().send(conn)
        if attempt.exchange.body:
            # aiohttp would start a task to send the body. The body is in memory and within the size limit, so
            # it is written to the transport as a whole.
            attempt.transport.write(attempt.exchange.body)
        return response


_NO_AUTO_HEADERS = CIMultiDict({"Content-Type": "", "Accept": "", "User-Agent": ""})


class TargetClient:
    """Sends attempts to targets and other entries.

    Args:
        tuning: Timeouts.
        check_before_send: Raises ``NotRunError`` when an attempt must no longer be sent.
    """

    def __init__(self, tuning: EntryTuning, check_before_send: Callable[[Attempt], None]) -> None:
        request_class = type(
            "TargetRequest", (_TargetRequest,), {"check_before_send": staticmethod(check_before_send)}
        )
        self.tuning = tuning
        self.connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=tuning.target_keep_alive, force_close=False
        )
        self.session = aiohttp.ClientSession(
            connector=self.connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=tuning.connect_timeout),
            request_class=request_class,
        )
        # Otherwise aiohttp resends a GET, PUT or DELETE after a keep-alive connection is dropped, ignoring
        # deadline, fence and retry budget. It has no public option for this.
        self.session._retry_connection = False

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def send(self, attempt: Attempt, now: float) -> aiohttp.ClientResponse:
        """Send an attempt and return the response once its headers are complete.

        Raises:
            NotRunError: No part of the request was sent, or the target refused it.
            UnknownOutcomeError: A part of the request may have been sent and there is no response.
        """
        exchange = attempt.exchange
        url = URL(f"http://{attempt.address}{exchange.url_suffix}", encoded=True)
        _current_attempt.set(attempt)
        try:
            response = await self.session.request(
                exchange.method,
                url,
                headers=self._headers(attempt, now),
                allow_redirects=False,
            )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            if not attempt.sent:
                raise NotRunError(f"cannot connect to {attempt.address}: {error}", "retry later") from error
            raise ConnectionLostError(
                f"lost the connection to {attempt.address}: {error!r}", "check the outcome before a resend"
            ) from error
        if not is_final(response.status):
            response.close()
            raise UnknownOutcomeError(
                f"{attempt.address} answered with the status {response.status:03d}, which does not exist",
                "check the outcome before a resend",
            )
        if response.status >= 400 and response.headers.get(_headers.OUTCOME) == _headers.NOT_RUN:
            attempt.refused = True
            exchange.possible_runs -= 1
            is_cold = response.headers.get(_headers.TARGET_STATE) == "cold"
            incarnation = response.headers.get(_headers.TARGET_INCARNATION, "")
            response.release()
            raise TargetRefusedError(response.status, is_cold, incarnation)
        attempt.responder_incarnation = response.headers.get(_headers.TARGET_INCARNATION, attempt.incarnation)
        return response

    def _headers(self, attempt: Attempt, now: float) -> list[tuple[str, str]]:
        exchange = attempt.exchange
        remaining_ms = max(1, int((exchange.deadline - now) * 1000))
        if attempt.state is None:
            # The other entry must refuse before this entry times out; otherwise a request that did not run
            # ends as unknown.
            remaining_ms = max(1, remaining_ms - FORWARD_MARGIN_MS)
        headers = [
            *exchange.headers,
            *self._length_header(exchange),
            (_headers.DEADLINE_MS, str(remaining_ms)),
            (_headers.REQUEST_ID, exchange.request_id),
        ]
        if attempt.state is None:
            headers.append((_headers.HOP, "1"))
            return headers
        headers.append((_headers.TARGET_INCARNATION, attempt.incarnation))
        if attempt.shard >= 0:
            headers.append((_headers.SHARD, str(attempt.shard)))
            headers.append((_headers.FENCE, str(attempt.fence)))
        return headers

    def _length_header(self, exchange: Exchange) -> list[tuple[str, str]]:
        if exchange.body or exchange.method not in _METHODS_WITHOUT_BODY:
            return [("Content-Length", str(len(exchange.body)))]
        return []
