"""Passes operator requests and announcements from a follower to the leader."""

from collections.abc import Mapping

import aiohttp
from starlette.requests import Request
from starlette.responses import Response

from cranberrylever.errors import ControlUnavailableError, NotLeaderError

FORWARDED_HEADER = "Cranberrylever-Forwarded"
FORWARD_TIMEOUT_S = 4.0
_REMEDY = "send the same request again, a repeated ticket or announcement is safe"


class LeaderForwarder:
    """Sends a request once to the leader.

    A forwarded request carries ``Cranberrylever-Forwarded``; a member that receives one never forwards it
    again, so two members that each take the other for the leader do not send it back and forth.

    Args:
        addresses: HTTP address of each control member by id.
    """

    def __init__(self, addresses: Mapping[str, str]) -> None:
        self.addresses = dict(addresses)
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
        address = self.addresses.get(leader_id or "")
        if address is None or FORWARDED_HEADER in request.headers:
            raise NotLeaderError(leader_id)
        url = f"http://{address}{request.url.path}"
        try:
            async with self._open_session().request(
                request.method, url, data=body, headers=_headers(request), allow_redirects=False
            ) as answer:
                return Response(await answer.read(), answer.status, media_type=answer.content_type)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise ControlUnavailableError(
                f"the leader {leader_id} did not answer: {type(error).__name__}", _REMEDY
            ) from error

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=FORWARD_TIMEOUT_S)
            self._session = aiohttp.ClientSession(timeout=timeout)
        return self._session


def _headers(request: Request) -> dict[str, str]:
    headers = {FORWARDED_HEADER: "1"}
    for name in ("Authorization", "Content-Type"):
        if name in request.headers:
            headers[name] = request.headers[name]
    return headers
