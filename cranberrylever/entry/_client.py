"""HTTP client for targets over aiohttp, without its own resends and redirects."""

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

HOP_MARGIN_MS = 20

_METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})

_current_attempt: contextvars.ContextVar[Attempt] = contextvars.ContextVar("current_attempt")


class TargetRefusedError(NotRunError):
    """The target answered that it did not run the request.

    Args:
        status: Status of the answer.
        is_cold: Whether the target said that it is in cold start.
        incarnation: Incarnation that the target named, or empty.
    """

    def __init__(self, status: int, is_cold: bool, incarnation: str) -> None:
        super().__init__(f"the target refused the request with {status}", "retry later")
        self.status = status
        self.is_cold = is_cold
        self.incarnation = incarnation


class ConnectionLostError(UnknownOutcomeError):
    """The connection to the target ended after a byte of the request may have left.

    ``probe`` finds out whether the target crashed; ``None`` when there is nothing to find out.
    """

    probe: asyncio.Task[bool] | None = None


class _TargetRequest(aiohttp.ClientRequest):
    """Request that sends exactly the given headers and checks the attempt just before its first byte."""

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
        attempt.exchange.open_dispatches += 1
        response = await super().send(conn)
        if attempt.exchange.body:
            # aiohttp would start a task for the body. It is in memory and within its limit, so the transport
            # takes all of it.
            attempt.transport.write(attempt.exchange.body)
        return response


_NO_AUTO_HEADERS = CIMultiDict({"Content-Type": "", "Accept": "", "User-Agent": ""})


class TargetClient:
    """Sends attempts to targets and other entries.

    Args:
        tuning: Time limits.
        check_before_send: Raises ``NotRunError`` when an attempt may not be sent any more.
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
        # aiohttp would resend a GET, PUT or DELETE by itself when a kept connection drops, past deadline,
        # fence and retry budget. It has no public switch for this.
        self.session._retry_connection = False

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def send(self, attempt: Attempt, now: float) -> aiohttp.ClientResponse:
        """Send an attempt and return the answer once its headers are complete.

        Raises:
            NotRunError: No byte left, or the target refused.
            UnknownOutcomeError: A byte may have left and there is no answer.
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
                raise NotRunError(f"no connection to {attempt.address}: {error}", "retry later") from error
            raise ConnectionLostError(
                f"connection to {attempt.address} lost: {error!r}", "check the outcome before a resend"
            ) from error
        if response.status >= 400 and response.headers.get(_headers.OUTCOME) == _headers.NOT_RUN:
            attempt.refused = True
            exchange.open_dispatches -= 1
            is_cold = response.headers.get(_headers.TARGET_STATE) == "cold"
            incarnation = response.headers.get(_headers.TARGET_INCARNATION, "")
            response.release()
            raise TargetRefusedError(response.status, is_cold, incarnation)
        attempt.answered_by = response.headers.get(_headers.TARGET_INCARNATION, attempt.incarnation)
        return response

    def _headers(self, attempt: Attempt, now: float) -> list[tuple[str, str]]:
        exchange = attempt.exchange
        remaining_ms = max(1, int((exchange.deadline - now) * 1000))
        if attempt.state is None:
            # The other entry must refuse before this one gives up, or what did not run ends unknown.
            remaining_ms = max(1, remaining_ms - HOP_MARGIN_MS)
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
