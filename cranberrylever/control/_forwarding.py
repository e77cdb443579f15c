"""Passes operator requests and announcements from a follower to the leader."""

from collections.abc import Callable, Sequence

import aiohttp
from starlette.requests import Request
from starlette.responses import Response

from cranberrylever.errors import ControlUnavailableError, NotLeaderError

FORWARDED_HEADER = "Cranberrylever-Forwarded"
FORWARD_TIMEOUT_S = 4.0
PASSED_HEADERS = ("Authorization", "Content-Type")
_REMEDY = "send the same request again, a repeated ticket or announcement is safe"


class LeaderForwarder:
    """Sends a request once to the leader.

    A forwarded request carries ``Cranberrylever-Forwarded``; a member that receives one never forwards it
    again, so two members that each take the other for the leader do not send it back and forth.

    Args:
        address_of: Returns the HTTP address of a control member by id, ``None`` for an unknown one.
        passed_headers: Headers that go on to the leader.
        timeout: Seconds after which the leader counts as not answering.
    """

    def __init__(
        self,
        address_of: Callable[[str], str | None],
        passed_headers: Sequence[str] = PASSED_HEADERS,
        timeout: float = FORWARD_TIMEOUT_S,
    ) -> None:
        self.address_of = address_of
        self.passed_headers = tuple(passed_headers)
        self.timeout = timeout
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections to other members."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def forward(self, request: Request, body: bytes, leader_id: str | None) -> Response:
        """Return the leader's answer to a request.

        Args:
            request: The request of the operator or target.
            body: Its body.
            leader_id: The leader, when known.

        Raises:
            NotLeaderError: The leader is not known, or the request has been forwarded before.
            ControlUnavailableError: The leader did not answer.
        """
        address = self.address_of(leader_id) if leader_id else None
        if address is None or FORWARDED_HEADER in request.headers:
            raise NotLeaderError(leader_id)
        url = f"http://{address}{request.url.path}"
        try:
            async with self._open_session().request(
                request.method, url, data=body, headers=self._headers(request), allow_redirects=False
            ) as answer:
                return Response(await answer.read(), answer.status, media_type=answer.content_type)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise ControlUnavailableError(
                f"the leader {leader_id} did not answer: {type(error).__name__}", _REMEDY
            ) from error

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=self.timeout)
            self._session = aiohttp.ClientSession(timeout=timeout)
        return self._session

    def _headers(self, request: Request) -> dict[str, str]:
        headers = {FORWARDED_HEADER: "1"}
        for name in self.passed_headers:
            if name in request.headers:
                headers[name] = request.headers[name]
        return headers
