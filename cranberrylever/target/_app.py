"""HTTP interface of a stand-in target."""

from typing import TYPE_CHECKING

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Mount, Route
from starlette.types import ASGIApp, Receive, Scope, Send

from cranberrylever.target import _headers as headers
from cranberrylever.target._faults import FaultOrder
from cranberrylever.target._grants import GrantOrder
from cranberrylever.target._work_endpoint import WorkEndpoint, send_json

if TYPE_CHECKING:
    from cranberrylever.target._program import TargetProgram


def create_app(program: "TargetProgram") -> ASGIApp:
    """Return the ASGI application of one target."""
    control = ControlEndpoints(program)
    return Starlette(
        routes=[
            Route("/-/grant", control.grant, methods=["POST"]),
            Route("/-/health", control.health),
            Route("/-/load", control.load),
            Route("/-/drain", control.drain, methods=["POST"]),
            Route("/-/cancel", control.cancel, methods=["POST"]),
            Route("/-/fault", control.fault, methods=["POST"]),
            Route("/-/runs", control.runs),
            Mount("/", app=ConnectionLimit(program, WorkEndpoint(program.executor))),
        ]
    )


class ConnectionLimit:
    """Middleware that refuses requests while more connections are open than the target supports."""

    def __init__(self, program: "TargetProgram", app: ASGIApp) -> None:
        self.program = program
        self.app = app

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve or refuse one request."""
        if self.program.connections_exceeded():
            await send_json(send, 503, {"outcome": "connections"}, [(headers.OUTCOME, "not-run")])
            return
        await self.app(scope, receive, send)


class ControlEndpoints:
    """Endpoints under ``/-/``, for control, tests and operators."""

    def __init__(self, program: "TargetProgram") -> None:
        self.program = program

    async def grant(self, request: Request) -> Response:
        """Adopt a grant, or refuse it with 409."""
        body = await request.body()
        await self.program.faults.unfrozen.wait()
        try:
            order = msgspec.json.decode(body, type=GrantOrder)
        except msgspec.DecodeError as error:
            return json_response({"error": str(error), "remedy": "send the fields of a grant"}, 422)
        refusal = self.program.holder.apply(order)
        if refusal is not None:
            self.program.log.warning("grant_refused", reason=refusal)
            return json_response(
                {"error": refusal, "remedy": "send a newer grant call without an expiry to read the clock"},
                409,
            )
        return json_response(self.program.grant_reply())

    async def health(self, request: Request) -> Response:
        """Return the state and the incarnation."""
        await self.program.faults.unfrozen.wait()
        return json_response({"state": self.program.state(), "incarnation": self.program.incarnation})

    async def load(self, request: Request) -> Response:
        """Return the load, delayed by the configured lag."""
        await self.program.faults.unfrozen.wait()
        sample = self.program.load.report(self.program.executor.now())
        return json_response(
            {"running": sample.running, "queued": sample.queued, "slots": self.program.settings.slots}
        )

    async def drain(self, request: Request) -> Response:
        """Announce that the target is leaving."""
        self.program.drain()
        return json_response({"state": self.program.state()})

    async def cancel(self, request: Request) -> Response:
        """Cancel one request by its id."""
        body = msgspec.json.decode(await request.body(), type=dict[str, str])
        return json_response({"cancelled": self.program.executor.cancel(body.get("request_id", ""))})

    async def fault(self, request: Request) -> Response:
        """Inject or clear faults."""
        try:
            order = msgspec.json.decode(await request.body(), type=FaultOrder)
        except msgspec.DecodeError as error:
            return json_response({"error": str(error), "remedy": "send the fields of a fault"}, 422)
        self.program.apply_fault(order)
        return json_response({"state": self.program.state()})

    async def runs(self, request: Request) -> Response:
        """Return the record of executed requests."""
        return json_response(self.program.run_report())


def json_response(content: object, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(msgspec.json.encode(content), status, media_type="application/json")
