"""HTTP API of control for operators and for announcements of targets."""

import abc
import hmac
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from cranberrylever.control._announcements import MAX_ANNOUNCEMENT_BYTES, parse_announcement
from cranberrylever.control_member import LeaderForwarder
from cranberrylever.errors import (
    AnnouncementError,
    ControlUnavailableError,
    CranberryleverError,
    NotLeaderError,
    ProposalLostError,
    RequestTooLargeError,
    TicketConflictError,
    TicketError,
    UnauthorizedError,
)
from cranberrylever.membership import Announcement
from cranberrylever.operator_api import AnnounceOutcome, ClusterStatus, TicketSummary
from cranberrylever.tickets import (
    MAX_TICKET_BYTES,
    AcceptedTicket,
    Configuration,
    TicketOutcome,
    parse_ticket,
)

_STATUS_CODES: dict[type[CranberryleverError], int] = {
    UnauthorizedError: 401,
    TicketConflictError: 409,
    TicketError: 422,
    AnnouncementError: 422,
    RequestTooLargeError: 422,
    NotLeaderError: 503,
    ProposalLostError: 503,
    ControlUnavailableError: 503,
}
_MAX_TICKET_NUMBER_DIGITS = 19


class OperatorService(abc.ABC):
    """Interface of a control member for the operator API.

    Each method except ``ready`` raises ``NotLeaderError`` on a member that is not the leader; the API then
    forwards the request. It raises ``ProposalLostError`` if the outcome of a change is unknown.
    """

    @abc.abstractmethod
    async def submit_ticket(self, text: str) -> TicketOutcome:
        """Accept or refuse a ticket that has passed validation."""

    @abc.abstractmethod
    async def announce(self, announcement: Announcement) -> AnnounceOutcome:
        """Record a target's announcement."""

    @abc.abstractmethod
    async def tickets(self) -> tuple[TicketSummary, ...]:
        """Return the accepted tickets in the history, in order of acceptance."""

    @abc.abstractmethod
    async def ticket(self, number: int) -> AcceptedTicket | None:
        """Return an accepted ticket, or ``None`` if it is not in the history."""

    @abc.abstractmethod
    async def configuration(self) -> Configuration:
        """Return the accepted state of all objects."""

    @abc.abstractmethod
    async def status(self) -> ClusterStatus:
        """Return the state of the cluster."""

    @abc.abstractmethod
    async def ready(self) -> bool:
        """Return whether this member leads or knows a leader."""


def create_operator_app(
    service: OperatorService, token: str, forwarder: LeaderForwarder | None = None
) -> Starlette:
    """Create the ASGI application of the operator API.

    Args:
        service: The control member.
        token: Bearer token that requests must carry; empty for an API that listens on loopback only.
        forwarder: Forwards requests to the leader; without one a follower responds with 503.
    """
    api = _OperatorApi(service, token, forwarder)
    routes = [
        Route("/v1/tickets", api.create_endpoint(api.submit_ticket, MAX_TICKET_BYTES), methods=["POST"]),
        Route("/v1/tickets", api.create_endpoint(api.list_tickets), methods=["GET"]),
        Route("/v1/tickets/{number}", api.create_endpoint(api.show_ticket), methods=["GET"]),
        Route("/v1/announce", api.create_endpoint(api.announce, MAX_ANNOUNCEMENT_BYTES), methods=["POST"]),
        Route("/v1/configuration", api.create_endpoint(api.show_configuration), methods=["GET"]),
        Route("/v1/status", api.create_endpoint(api.show_status), methods=["GET"]),
        Route("/healthz", _health, methods=["GET"]),
        Route("/readyz", api.show_ready, methods=["GET"]),
    ]
    handlers = {CranberryleverError: _handle_error, HTTPException: _handle_http_error}
    return Starlette(routes=routes, exception_handlers=handlers)


Handler = Callable[[Request, bytes], Awaitable[Response]]


class _OperatorApi:
    """Endpoints of the operator API of one control member."""

    def __init__(self, service: OperatorService, token: str, forwarder: LeaderForwarder | None) -> None:
        self.service = service
        self.token = token
        self.forwarder = forwarder

    def create_endpoint(
        self, handler: Handler, max_body_bytes: int = 0
    ) -> Callable[[Request], Awaitable[Response]]:
        """Return an endpoint that checks the token, reads the body and forwards requests to the leader."""

        async def endpoint(request: Request) -> Response:
            self._check_token(request)
            body = await _read_body(request, max_body_bytes)
            try:
                return await handler(request, body)
            except NotLeaderError as error:
                if self.forwarder is None:
                    raise
                return await self.forwarder.forward(request, body, error.leader_id)

        return endpoint

    async def submit_ticket(self, request: Request, body: bytes) -> Response:
        """Accept or refuse a ticket."""
        try:
            text = body.decode()
        except UnicodeDecodeError:
            raise TicketError("the ticket is not UTF-8 text", "send TOML encoded as UTF-8") from None
        result = parse_ticket(text)
        if result.is_err():
            raise result.unwrap_err()
        outcome = await self.service.submit_ticket(text)
        if outcome.accepted:
            return _json_response(outcome)
        return _error_response(409 if outcome.conflict else 422, outcome.error, outcome.remedy)

    async def announce(self, request: Request, body: bytes) -> Response:
        """Record a target's announcement."""
        result = parse_announcement(body)
        if result.is_err():
            raise result.unwrap_err()
        outcome = await self.service.announce(result.unwrap())
        return (
            _json_response(outcome)
            if outcome.accepted
            else _error_response(422, outcome.error, outcome.remedy)
        )

    async def list_tickets(self, request: Request, body: bytes) -> Response:
        """List the accepted tickets in the history."""
        return _json_response(await self.service.tickets())

    async def show_ticket(self, request: Request, body: bytes) -> Response:
        """Return one accepted ticket with its text."""
        text = request.path_params["number"]
        if not (text.isascii() and text.isdigit() and len(text) <= _MAX_TICKET_NUMBER_DIGITS):
            return _error_response(422, f"{text[:40]!r} is not a ticket number", "use a positive integer")
        ticket = await self.service.ticket(int(text))
        if ticket is None:
            return _error_response(
                404, f"ticket {text} is not in the history", "list the tickets in the history"
            )
        return _json_response(ticket)

    async def show_configuration(self, request: Request, body: bytes) -> Response:
        """Return the accepted state of all objects."""
        return _json_response(await self.service.configuration())

    async def show_status(self, request: Request, body: bytes) -> Response:
        """Return the state of the cluster."""
        return _json_response(await self.service.status())

    async def show_ready(self, request: Request) -> Response:
        """Respond with 200 if this member leads or knows a leader, otherwise with 503."""
        is_ready = await self.service.ready()
        return _json_response({"ready": is_ready}, 200 if is_ready else 503)

    def _check_token(self, request: Request) -> None:
        if not self.token:
            return
        given = request.headers.get("Authorization", "")
        expected = f"Bearer {self.token}"
        if not hmac.compare_digest(given.encode("utf-8", "replace"), expected.encode()):
            raise UnauthorizedError("the bearer token is missing or wrong", "send the token of this cluster")


async def _health(request: Request) -> Response:
    return _json_response({"status": "ok"})


async def _read_body(request: Request, max_bytes: int) -> bytes:
    chunks = []
    size_bytes = 0
    async for chunk in request.stream():
        size_bytes += len(chunk)
        if size_bytes > max_bytes:
            raise RequestTooLargeError(
                f"the request body is larger than {max_bytes} bytes", "send a smaller body"
            )
        chunks.append(chunk)
    return b"".join(chunks)


def _json_response(content: Any, status: int = 200) -> Response:
    return Response(msgspec.json.encode(content), status, media_type="application/json")


def _error_response(status: int, error: str, remedy: str) -> Response:
    return _json_response({"error": error, "remedy": remedy}, status)


async def _handle_error(request: Request, error: CranberryleverError) -> Response:
    for error_type in type(error).__mro__:
        if error_type in _STATUS_CODES:
            return _error_response(_STATUS_CODES[error_type], error.message, error.remedy)
    raise error


async def _handle_http_error(request: Request, error: HTTPException) -> Response:
    return _error_response(error.status_code, error.detail, "see docs/design.md, section 4.6")
