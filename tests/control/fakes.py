"""Fakes and helpers for tests of the operator API."""

import asyncio
import contextlib
import socket

import msgspec
import uvicorn

from cranberrylever.control import OperatorService
from cranberrylever.errors import NotLeaderError
from cranberrylever.operator_api import AnnounceOutcome, ClusterStatus, TicketSummary
from cranberrylever.tickets import TicketRegistry, parse_ticket


class FakeService(OperatorService):
    """A control member with a ticket registry and no replicated log.

    ``leader_id`` is the leader that it names while it is not the leader itself.
    """

    def __init__(self, leader_id=None, is_leader=True):
        self.registry = TicketRegistry()
        self.announced = []
        self.leader_id = leader_id
        self.is_leader = is_leader
        self.index = 0

    def require_leader(self):
        if not self.is_leader:
            raise NotLeaderError(self.leader_id)

    async def submit_ticket(self, text):
        self.require_leader()
        self.index += 1
        return self.registry.accept(self.index, parse_ticket(text).unwrap(), text)

    async def announce(self, announcement):
        self.require_leader()
        self.announced.append(announcement)
        if announcement.service == "unknown":
            return AnnounceOutcome(False, "service 'unknown' does not exist", "create it by a ticket")
        return AnnounceOutcome(True)

    async def tickets(self):
        self.require_leader()
        retained = self.registry.history.values()
        return tuple(TicketSummary(ticket.number, ticket.digest, ticket.index) for ticket in retained)

    async def ticket(self, number):
        self.require_leader()
        return self.registry.history.get(number)

    async def configuration(self):
        self.require_leader()
        return self.registry.configuration()

    async def status(self):
        self.require_leader()
        return ClusterStatus("c", "c1", accepted_ticket=self.registry.last_number)

    async def ready(self):
        return self.is_leader


async def call(app, method, path, body=b"", headers=()):
    """Send one request to an ASGI application and return the status and the decoded JSON."""
    scope = {
        "type": "http",
        "asgi": {"version": "3.0"},
        "http_version": "1.1",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": [(name.lower().encode(), value.encode("latin-1")) for name, value in headers],
        "client": ("127.0.0.1", 1),
        "server": ("127.0.0.1", 2),
        "scheme": "http",
        "root_path": "",
    }
    sent = []
    messages = [{"type": "http.request", "body": body, "more_body": False}]

    async def receive():
        return messages.pop(0) if messages else {"type": "http.disconnect"}

    async def send(message):
        sent.append(message)

    await app(scope, receive, send)
    return sent[0]["status"], msgspec.json.decode(b"".join(event.get("body", b"") for event in sent[1:]))


class _ServerWithoutSignals(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self):
        yield


@contextlib.asynccontextmanager
async def serve(app):
    """Serve an application on loopback and yield its address."""
    listener = socket.create_server(("127.0.0.1", 0))
    config = uvicorn.Config(app, lifespan="off", ws="none", log_config=None, timeout_graceful_shutdown=1)
    server = _ServerWithoutSignals(config)
    task = asyncio.create_task(server.serve(sockets=[listener]))
    while not server.started:
        await asyncio.sleep(0.005)
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        server.should_exit = True
        await task
