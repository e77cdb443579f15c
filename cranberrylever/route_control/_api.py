"""Default HTTP interface of route control for operators and targets."""

from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import msgspec
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import Route as Endpoint

from cranberrylever.control_member import FORWARDED_HEADER, LeaderForwarder
from cranberrylever.errors import (
    AnnouncementError,
    CodecError,
    ControlUnavailableError,
    CranberryleverError,
    NotLeaderError,
    ProposalLostError,
    TicketError,
)
from cranberrylever.route_control._announced_grants import KeyReport
from cranberrylever.route_control._announcement_relay import BATCH_PATH, AnnouncementBatch
from cranberrylever.route_control._plan_document import PlanDocument
from cranberrylever.route_control._service import RouteControlService
from cranberrylever.target_registry import TargetAnnouncement
from cranberrylever.wire import decode

Handler = Callable[[Request, bytes], Awaitable[Response]]

_STATUS_CODES: dict[type[CranberryleverError], int] = {
    NotLeaderError: 503,
    ProposalLostError: 503,
    ControlUnavailableError: 503,
    TicketError: 422,
    AnnouncementError: 422,
}


class LeaderForwardingApi:
    """Base of HTTP interfaces that forward requests from other members to the leader.

    Args:
        service: The control member.
        forwarder: Forwards requests to the leader.
        status_codes: HTTP status code by class of error; other errors are not handled.
    """

    def __init__(
        self,
        service: RouteControlService,
        forwarder: LeaderForwarder,
        status_codes: dict[type[CranberryleverError], int],
    ) -> None:
        self.service = service
        self.forwarder = forwarder
        self.status_codes = status_codes

    def endpoint(self, handler: Handler) -> Callable[[Request], Awaitable[Response]]:
        """Return an endpoint that maps errors to status codes and forwards to the leader when needed."""

        async def answer(request: Request) -> Response:
            try:
                body = await request.body()
            except ClientDisconnect:
                # Nobody reads this answer.
                return Response(status_code=400)
            try:
                return await self._answer(handler, request, body)
            except tuple(self.status_codes) as error:
                return self._error_response(error)

        return answer

    def batch_endpoint(self) -> Endpoint:
        """Return the endpoint at which the leader takes announcements from followers."""
        return Endpoint(BATCH_PATH, self.endpoint(self._record_batch), methods=["POST"])

    async def _record_batch(self, request: Request, body: bytes) -> Response:
        try:
            batch = decode(body, AnnouncementBatch)
        except CodecError as error:
            return json_response({"error": error.message, "remedy": error.remedy}, 400)
        self.service.record_batch(batch)
        return json_response({})

    async def _answer(self, handler: Handler, request: Request, body: bytes) -> Response:
        try:
            return await handler(request, body)
        except NotLeaderError as error:
            if FORWARDED_HEADER in request.headers:
                raise
            return await self.forwarder.forward(request, body, error.leader_id)

    def _error_response(self, error: CranberryleverError) -> Response:
        status = next(code for kind, code in self.status_codes.items() if isinstance(error, kind))
        return json_response({"error": error.message, "remedy": error.remedy}, status)


def json_response(content: Any, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(msgspec.json.encode(content), status, media_type="application/json")


@attrs.frozen
class _AnnouncedKeys:
    """The keys in the body of an announcement."""

    keys: KeyReport | None = None


class _RouteApi(LeaderForwardingApi):
    """Plans, failure domains and announcements of targets under ``/v1``."""

    def __init__(
        self, service: RouteControlService, forwarder: LeaderForwarder, failure_domains: frozenset[str]
    ) -> None:
        super().__init__(service, forwarder, _STATUS_CODES)
        self.failure_domains = failure_domains

    async def put_plan(self, request: Request, body: bytes) -> Response:
        """Put a plan in force; ``base`` in the query is the number of the plan that it builds on."""
        base = request.query_params.get("base", "0")
        if not base.isdigit():
            raise TicketError(
                f"base {base!r} is not a number", "send the number of the plan that this one builds on"
            )
        plan = _decode(body, PlanDocument, TicketError).to_plan(body)
        outcome = await self.service.submit_plan(plan, int(base))
        if outcome.accepted:
            return json_response(outcome)
        return json_response(outcome, 409 if outcome.conflict else 422)

    async def get_plan(self, request: Request, body: bytes) -> Response:
        """Return the source of the plan in force as it was sent."""
        plan = await self.service.plan()
        if plan is None:
            return json_response({"error": "no plan has been accepted yet", "remedy": "submit a plan"}, 404)
        return Response(plan.source, 200, media_type="application/json")

    async def withdraw(self, request: Request, body: bytes) -> Response:
        """Withdraw a failure domain."""
        return await self._set_domain(request, withdrawn=True)

    async def restore(self, request: Request, body: bytes) -> Response:
        """Restore a failure domain."""
        return await self._set_domain(request, withdrawn=False)

    async def announce(self, request: Request, body: bytes) -> Response:
        """Record an announcement of a target."""
        announcement = _decode(body, TargetAnnouncement, AnnouncementError)
        if announcement.target_id != request.path_params["name"]:
            raise AnnouncementError(
                "the target id in the body differs from the one in the path", "send the same id in both"
            )
        self._check_domain(announcement.failure_domain)
        answer = await self.service.announce(announcement, self._key_report(body))
        return json_response(answer if answer is not None else {})

    @staticmethod
    def _key_report(body: bytes) -> KeyReport | None:
        """Return the keys that an announcement states in ``keys``, ``None`` without that field."""
        report = _decode(body, _AnnouncedKeys, AnnouncementError).keys
        error = report.find_error() if report is not None else ""
        if error:
            raise AnnouncementError(error, "state ranges of keys from 0 to 65535 with a fence from 0")
        return report

    async def deregister(self, request: Request, body: bytes) -> Response:
        """Mark a target as leaving."""
        await self.service.deregister(request.path_params["name"], None)
        return json_response({})

    async def _set_domain(self, request: Request, withdrawn: bool) -> Response:
        name = request.path_params["name"]
        self._check_domain(name)
        await self.service.set_domain(name, withdrawn)
        return json_response({"failure_domain": name, "withdrawn": withdrawn})

    def _check_domain(self, name: str) -> None:
        if self.failure_domains and name not in self.failure_domains:
            known = ", ".join(sorted(self.failure_domains))
            raise TicketError(f"there is no failure domain {name!r:.80}", f"use one of {known}")


def _decode(body: bytes, kind: type, error_kind: type[CranberryleverError]) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        reason = " ".join(str(error).split())
        raise error_kind(f"the body cannot be read: {reason}", "see docs/routes.md") from error


def create_route_api(
    service: RouteControlService, forwarder: LeaderForwarder, failure_domains: frozenset[str] = frozenset()
) -> Starlette:
    """Return the HTTP application for operators and targets.

    Args:
        service: The control member.
        forwarder: Forwards requests to the leader.
        failure_domains: Names of all failure domains; when empty, any name is accepted.
    """
    api = _RouteApi(service, forwarder, failure_domains)
    return Starlette(
        routes=[
            Endpoint("/v1/plan", api.endpoint(api.put_plan), methods=["PUT"]),
            Endpoint("/v1/plan", api.endpoint(api.get_plan), methods=["GET"]),
            Endpoint("/v1/domains/{name}/withdraw", api.endpoint(api.withdraw), methods=["POST"]),
            Endpoint("/v1/domains/{name}/restore", api.endpoint(api.restore), methods=["POST"]),
            Endpoint("/v1/targets/{name}", api.endpoint(api.announce), methods=["PUT"]),
            Endpoint("/v1/targets/{name}", api.endpoint(api.deregister), methods=["DELETE"]),
            api.batch_endpoint(),
        ]
    )
