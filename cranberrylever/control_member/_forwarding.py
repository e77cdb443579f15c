"""Forwarding of HTTP requests of operators and targets from a follower to the leader."""

import asyncio
from collections.abc import Callable, Sequence

from starlette.requests import Request
from starlette.responses import Response

from cranberrylever.errors import ControlUnavailableError, NotLeaderError
from cranberrylever.target_http import AnswerLostError, NotSentError, TargetAnswer, TargetPool

FORWARDED_HEADER = "Cranberrylever-Forwarded"
FORWARD_TIMEOUT_S = 4.0
POST_TIMEOUT_S = 1.0
HEADERS_TO_FORWARD = ("Authorization", "Content-Type")
_OK = 200
_REMEDY = "send the same request again; repeating a ticket or announcement is safe"


class LeaderForwarder:
    """Forwards a request to the leader, at most once.

    A forwarded request has the header ``Cranberrylever-Forwarded``, and no member forwards it again.
    Otherwise two members that each consider the other the leader would forward it in a loop.

    Args:
        address_of: Returns the HTTP address of a control member by id, ``None`` for an unknown one.
        headers_to_forward: Request headers that are sent to the leader.
        timeout: Seconds to wait for the answer of the leader.
    """

    def __init__(
        self,
        address_of: Callable[[str], str | None],
        headers_to_forward: Sequence[str] = HEADERS_TO_FORWARD,
        timeout: float = FORWARD_TIMEOUT_S,
    ) -> None:
        self.address_of = address_of
        self.headers_to_forward = tuple(headers_to_forward)
        self.timeout = timeout
        self.pool = TargetPool()

    async def close(self) -> None:
        """Close the connections to other members."""
        self.pool.close()

    async def forward(self, request: Request, body: bytes, leader_id: str | None) -> Response:
        """Forward a request and return the leader's answer.

        Args:
            request: The request of the operator or target.
            body: Its body.
            leader_id: Member id of the leader, ``None`` when it is unknown.

        Raises:
            NotLeaderError: The leader is unknown, or the request has already been forwarded.
            ControlUnavailableError: The leader did not answer.
        """
        address = self.address_of(leader_id) if leader_id else None
        if address is None or FORWARDED_HEADER in request.headers:
            raise NotLeaderError(leader_id)
        try:
            async with asyncio.timeout(self.timeout):
                answer = await self._send(request, body, address)
        except (NotSentError, AnswerLostError, TimeoutError) as error:
            raise ControlUnavailableError(
                f"the leader {leader_id} did not answer: {type(error).__name__}", _REMEDY
            ) from error
        media_type = (answer.header(b"content-type") or b"application/json").decode("latin-1")
        return Response(answer.body, answer.status, media_type=media_type)

    async def post(self, leader_id: str, path: str, body: bytes) -> bool:
        """Send a body to the leader by a path of its own interface; return whether it took it."""
        address = self.address_of(leader_id)
        if address is None:
            return False
        lines = [
            b"POST " + path.encode() + b" HTTP/1.1",
            b"host: " + address.encode(),
            FORWARDED_HEADER.encode() + b": 1",
            b"content-length: %d" % len(body),
        ]
        try:
            async with asyncio.timeout(POST_TIMEOUT_S):
                answer = await self.pool.exchange(address, b"POST", b"\r\n".join(lines) + b"\r\n\r\n" + body)
        except (NotSentError, AnswerLostError, TimeoutError):
            return False
        return answer.status == _OK

    async def _send(self, request: Request, body: bytes, address: str) -> TargetAnswer:
        method = request.method.encode()
        query = request.scope["query_string"]
        url = request.scope["raw_path"] + (b"?" + query if query else b"")
        lines = [method + b" " + url + b" HTTP/1.1", b"host: " + address.encode()]
        lines.append(FORWARDED_HEADER.encode() + b": 1")
        lines.extend(
            f"{name}: {request.headers[name]}".encode("latin-1")
            for name in self.headers_to_forward
            if name in request.headers
        )
        lines.append(b"content-length: %d" % len(body))
        return await self.pool.exchange(address, method, b"\r\n".join(lines) + b"\r\n\r\n" + body)
