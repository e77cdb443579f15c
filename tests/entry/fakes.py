"""Fakes of control and targets, and helpers that run entries on a real event loop."""

import asyncio
import json
from collections.abc import Awaitable, Callable

import aiohttp
from grpclib.server import Server, Stream

from cranberrylever.entry import EntryProgram, EntryTuning, create_entry
from cranberrylever.routing import ServiceView, TargetView, View
from cranberrylever.settings import EntrySettings, LogSettings
from cranberrylever.wire import (
    ClaimAnswer,
    ClaimResult,
    EntryControlBase,
    EntryFrame,
    EntryReply,
    EntryReport,
    MsgpackCodec,
    NotLeader,
    SuspectRecord,
    ViewAnswer,
)

CLUSTER = "test"
TEST_TUNING = EntryTuning(poll_interval=0.05, urgent_poll_interval=0.01, reconnect_delay=0.05)


class FakeControl(EntryControlBase):
    """Control member that answers polls with the view, permits and suspects set by the test."""

    def __init__(self, view: View) -> None:
        self.view = view
        self.permits: dict[str, dict[str, int]] = {}
        self.suspects: dict[str, SuspectRecord] = {}
        self.reports: list[EntryReport] = []
        self.claims: dict[str, tuple[str, str, ClaimAnswer | None]] = {}
        self.claim_frames: list[EntryFrame] = []
        self.is_leader = True
        self.streams = 0
        self.answers_polls = True
        self.answers_claims = True
        self.answers_completions = True

    async def start(self) -> str:
        self.server = Server([self], codec=MsgpackCodec())
        await self.server.start("127.0.0.1", 0)
        return f"127.0.0.1:{self.server._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        self.server.close()
        await self.server.wait_closed()

    async def attach(self, stream: Stream) -> None:
        self.streams += 1
        while (frame := await stream.recv_message()) is not None:
            for reply in self.replies(frame):
                await stream.send_message(reply)

    def replies(self, frame: EntryFrame) -> list[EntryReply]:
        if not self.is_leader:
            return [EntryReply(CLUSTER, not_leader=NotLeader("other"))]
        if frame.report is not None:
            return self.answer_poll(frame.report)
        if frame.open_claim is not None or frame.complete_claim is not None:
            self.claim_frames.append(frame)
        if frame.open_claim is not None and self.answers_claims:
            return [EntryReply(CLUSTER, claim_result=self.open_claim(frame.open_claim))]
        if frame.complete_claim is not None and self.answers_completions:
            return [EntryReply(CLUSTER, claim_result=self.complete_claim(frame.complete_claim))]
        return []

    def answer_poll(self, report: EntryReport) -> list[EntryReply]:
        self.reports.append(report)
        for suspect in report.suspects:
            known = self.suspects.get(suspect.fingerprint, SuspectRecord(suspect.fingerprint, ()))
            crashed = tuple(sorted({*known.crashed, *suspect.crashed}))
            self.suspects[suspect.fingerprint] = SuspectRecord(suspect.fingerprint, crashed)
        if not self.answers_polls:
            return []
        view = self.view if self.view.version != report.applied_version else None
        permits = self.permits.get(report.entry_id, {})
        suspects = tuple(self.suspects.values())
        answer = ViewAnswer(report.sequence, self.view.version, view, permits, suspects)
        return [EntryReply(CLUSTER, view_answer=answer)]

    def open_claim(self, opening) -> ClaimResult:
        known = self.claims.get(opening.claim_id)
        if known is not None:
            fingerprint, holder, answer = known
            if fingerprint != opening.fingerprint:
                return ClaimResult(opening.call, "mismatch")
            if answer is not None and answer.outcome != "not-run":
                return ClaimResult(opening.call, "answered", answer)
            if answer is None and holder != opening.entry_id:
                return ClaimResult(opening.call, "open")
        self.claims[opening.claim_id] = (opening.fingerprint, opening.entry_id, None)
        return ClaimResult(opening.call, "won")

    def complete_claim(self, completion) -> ClaimResult:
        fingerprint, holder, _ = self.claims[completion.claim_id]
        self.claims[completion.claim_id] = (fingerprint, holder, completion.answer)
        return ClaimResult(completion.call, "completed")


class FakeRequest:
    """A request received by a fake target."""

    def __init__(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body


def answer(body: bytes = b"ok", status: int = 200, **headers: str) -> bytes:
    """Return a complete HTTP response; underscores in header names become dashes."""
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class FakeTarget:
    """Raw HTTP server; its handler returns the bytes to write, or ``None`` to close the connection."""

    def __init__(self, target_id: str = "t1", incarnation: str = "i1") -> None:
        self.target_id = target_id
        self.incarnation = incarnation
        self.requests: list[FakeRequest] = []
        self.handler: Callable[[FakeRequest, asyncio.StreamWriter], Awaitable[bytes | None]] = self.answer_ok
        self.before_body: Callable[[], Awaitable[object]] | None = None
        self.disconnects = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def answer_ok(self, request: FakeRequest, writer: asyncio.StreamWriter) -> bytes:
        return answer(self.target_id.encode())

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def close(self) -> None:
        self.crash()
        await self.server.wait_closed()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
        if self.before_body is not None:
            await self.before_body()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        method, path, _ = first.split(" ")
        request = FakeRequest(method, path, headers, body)
        if path == "/-/health":
            writer.write(answer(json.dumps({"state": "warm", "incarnation": self.incarnation}).encode()))
            return False
        self.requests.append(request)
        handler_task = asyncio.ensure_future(self.handler(request, writer))
        disconnect_task = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait({handler_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED)
            if not handler_task.done():
                self.disconnects += 1
                return False
            data = handler_task.result()
            if data is None:
                return False
            disconnect_task.cancel()
            writer.write(data)
            await writer.drain()
            return True
        finally:
            handler_task.cancel()
            disconnect_task.cancel()
            await asyncio.gather(handler_task, disconnect_task, return_exceptions=True)

    def view(self, service: str, phase: str = "warm", cold_budget: int = 1) -> TargetView:
        return TargetView(
            self.target_id, service, self.address, "d1", self.incarnation, phase, 3, 100, cold_budget
        )


def keyed_view(version: int, targets: list[FakeTarget], owner: int = 0, fence: int = 1, **fields) -> View:
    """Return a view with a keyed service ``ledger`` of two shards, both with the same owner."""
    service = ServiceView(
        "ledger",
        "keyed",
        shards=2,
        owner_ids=tuple(target.target_id for target in targets),
        owners=(owner, owner),
        fences=(fence, fence),
    )
    return View(version, 1, (service,), tuple(target.view("ledger") for target in targets), **fields)


def pooled_view(
    version: int, targets: list[FakeTarget], phase: str = "warm", ratios: dict | None = None, **fields
) -> View:
    """Return a view with a pooled service ``desk``; ``ratios`` sets its retry and hedge ratios."""
    views = tuple(target.view("desk", phase) for target in targets)
    return View(version, 1, (ServiceView("desk", "pooled", **(ratios or {})),), views, **fields)


async def wait_until(condition: Callable[[], bool], timeout: float = 5.0) -> None:
    """Wait until ``condition`` holds."""
    async with asyncio.timeout(timeout):
        while not condition():
            await asyncio.sleep(0.005)


class EntryCluster:
    """A fake control member, fake targets, the entries under test and an HTTP client session."""

    def __init__(self, targets: int = 1) -> None:
        self.targets = [FakeTarget(f"t{number + 1}") for number in range(targets)]
        self.control = FakeControl(View(1, 0))
        self.entries: list[EntryProgram] = []

    async def __aenter__(self) -> "EntryCluster":
        self.control_address = await self.control.start()
        for target in self.targets:
            await target.start()
        self.session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.session.close()
        for entry in self.entries:
            await entry.close()
        for target in self.targets:
            await target.close()
        await self.control.close()

    async def start_entry(self, tuning: EntryTuning = TEST_TUNING, **settings) -> EntryProgram:
        entry_id = f"e{len(self.entries) + 1}"
        settings = {
            "control": (self.control_address,),
            "drain_delay": 0.0,
            "log": LogSettings("/dev/null"),
            **settings,
        }
        entry = create_entry(EntrySettings(CLUSTER, entry_id, "127.0.0.1:0", **settings), tuning)
        await entry.start()
        self.entries.append(entry)
        await wait_until(lambda: entry.views.version == self.control.view.version)
        return entry

    async def apply(self, view: View) -> None:
        """Set the view at control and wait until all entries have applied it."""
        self.control.view = view
        await wait_until(lambda: all(entry.views.version == view.version for entry in self.entries))

    async def call(self, path: str, method: str = "GET", entry: int = 0, **options):
        """Send a request to an entry and return the status, headers and body of the response."""
        url = f"http://{self.entries[entry].bound_address}{path}"
        async with self.session.request(method, url, **options) as response:
            return response.status, response.headers, await response.read()


def run(main: Callable[[], Awaitable[None]]) -> None:
    """Run a coroutine function on a real event loop."""
    asyncio.run(main())


def run_entry(
    scenario: Callable[[EntryCluster, EntryProgram], Awaitable[None]],
    targets: int = 1,
    view: Callable[..., View] = keyed_view,
    version: int = 1,
    tuning: EntryTuning = TEST_TUNING,
    **fields,
) -> None:
    """Run a scenario with one entry that has a view of all targets; ``fields`` are passed to ``view``."""

    async def main() -> None:
        async with EntryCluster(targets) as cluster:
            cluster.control.view = view(version, cluster.targets, **fields)
            await scenario(cluster, await cluster.start_entry(tuning))

    run(main)
