"""Processor time per request at an entry, relative to a plain starlette and aiohttp pass-through.

The entry, two pass-throughs and a target that answers at once are separate processes. This process serves the
control RPC and sends the load, in turns of equal size to the entry and the pass-throughs.
"""

import argparse
import asyncio
import os
import statistics
import sys
import tempfile
from pathlib import Path

import aiohttp
import uvicorn
from grpclib.server import Server, Stream
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from bench.figure import Figure
from cranberrylever.entry import create_entry
from cranberrylever.routing import ServiceView, TargetView, View
from cranberrylever.settings import EntrySettings, LogSettings
from cranberrylever.wire import EntryControlBase, EntryReply, MsgpackCodec, ViewAnswer

BOUND = 1.3
CLUSTER = "bench"
SHARDS = 1024
KEYS = 1000
WORKERS = 16
TURNS = 6
ANSWER_BYTES = 400
BODY_BYTES = 200
METHODS = ("GET", "POST")
START_TIMEOUT_SECONDS = 10.0


class FakeControl(EntryControlBase):
    """Control service that answers each poll with one fixed view."""

    def __init__(self, target_address: str) -> None:
        target = TargetView("t1", "ledger", target_address, "d1", "i1", "warm", 100, 100, 1)
        service = ServiceView(
            "ledger",
            "keyed",
            shards=SHARDS,
            owner_ids=("t1",),
            owners=(0,) * SHARDS,
            fences=tuple(range(1, SHARDS + 1)),
        )
        self.view = View(1, 1, (service,), (target,))

    async def attach(self, stream: Stream) -> None:
        """Answer the polls of one entry."""
        while (frame := await stream.recv_message()) is not None:
            if frame.report is not None:
                view = self.view if frame.report.applied_version != 1 else None
                answer = ViewAnswer(frame.report.sequence, 1, view)
                await stream.send_message(EntryReply(CLUSTER, view_answer=answer))


class TargetProtocol(asyncio.Protocol):
    """Target that answers each request at once and parses only its method and end."""

    answer = (
        b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n" % ANSWER_BYTES
        + b"x" * ANSWER_BYTES
    )

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Initialize the receive buffer."""
        self.transport = transport
        self.buffer = b""

    def data_received(self, data: bytes) -> None:
        """Answer each complete request."""
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            length = BODY_BYTES if head.startswith(b"POST") else 0
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            self.transport.write(self.answer)


def pass_through(target_address: str, streams: bool) -> Starlette:
    """Return the baseline application, which forwards every request to one target.

    Args:
        target_address: Address of the target.
        streams: Whether the answer is forwarded as it arrives, as the entry does, or read completely first.
    """
    session: list[aiohttp.ClientSession] = []

    async def forward(request: Request) -> Response:
        if not session:
            session.append(
                aiohttp.ClientSession(auto_decompress=False, connector=aiohttp.TCPConnector(limit=0))
            )
        body = await request.body()
        answer = await session[0].request(
            request.method,
            f"http://{target_address}{request.url.path}",
            headers=request.headers.items(),
            data=body or None,
            allow_redirects=False,
        )
        if streams:
            return StreamingResponse(answer.content.iter_any(), answer.status, dict(answer.headers))
        return Response(await answer.read(), answer.status, dict(answer.headers))

    return Starlette(routes=[Route("/{path:path}", forward, methods=["GET", "POST", "PUT", "DELETE"])])


async def serve_target() -> None:
    """Run the target process."""
    server = await asyncio.get_running_loop().create_server(TargetProtocol, "127.0.0.1", 0)
    print_address(bound_address(server))
    await asyncio.Event().wait()


async def serve_pass_through(target_address: str, streams: bool) -> None:
    """Run a baseline process."""
    config = uvicorn.Config(
        pass_through(target_address, streams),
        "127.0.0.1",
        0,
        access_log=False,
        log_config=None,
        http="httptools",
    )
    server = uvicorn.Server(config)
    serving = asyncio.ensure_future(server.serve())
    while not server.started:
        await asyncio.sleep(0.01)
    print_address(bound_address(server.servers[0]))
    await serving


async def serve_entry(control_address: str, log_path: str) -> None:
    """Run the entry process with its decision log enabled."""
    settings = EntrySettings(
        cluster_id=CLUSTER,
        entry_id="e1",
        listen="127.0.0.1:0",
        control=(control_address,),
        log=LogSettings(log_path),
    )
    entry = create_entry(settings)
    await entry.start()
    while not entry.views.version:
        await asyncio.sleep(0.01)
    print_address(entry.bound_address)
    await asyncio.Event().wait()


def bound_address(server: asyncio.Server) -> str:
    """Return the address on which a server listens."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


def print_address(address: str) -> None:
    """Print the address of this process for the parent process."""
    print(address, flush=True)


async def start_process(*arguments: str) -> tuple[asyncio.subprocess.Process, str]:
    """Start this module in a role and return the process with its address."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "bench.forward_cpu", *arguments, stdout=asyncio.subprocess.PIPE
    )
    line = await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT_SECONDS)
    return process, line.decode().strip()


def count_decisions(path: str) -> int:
    """Return the number of decision lines in a log."""
    return Path(path).read_bytes().count(b'"decision"')


def processor_seconds(pid: int) -> float:
    """Return the processor time that all threads of a process have used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def send_load(address: str, requests: int) -> None:
    """Send requests to one address with a fixed number outstanding."""
    numbers = iter(range(requests))
    body = b"x" * BODY_BYTES

    async def work(session: aiohttp.ClientSession) -> None:
        for number in numbers:
            method = METHODS[number % len(METHODS)]
            url = f"http://{address}/ledger/build-{number % KEYS}"
            data = body if method == "POST" else None
            async with session.request(method, url, data=data) as answer:
                if answer.status != 200 or len(await answer.read()) != ANSWER_BYTES:
                    raise RuntimeError(f"{url} answered {answer.status}")

    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        await asyncio.gather(*(work(session) for _ in range(WORKERS)))


async def measure(addresses: dict[str, str], pids: dict[str, int], requests: int) -> dict[str, list[float]]:
    """Return microseconds per request of each process, one value per turn."""
    for address in addresses.values():
        await send_load(address, 1000)
    times: dict[str, list[float]] = {name: [] for name in addresses}
    for _ in range(TURNS):
        for name, address in addresses.items():
            before = processor_seconds(pids[name])
            await send_load(address, requests)
            times[name].append((processor_seconds(pids[name]) - before) / requests * 1_000_000)
    return times


async def run(requests: int = 8000) -> list[Figure]:
    """Measure ``requests`` requests in each of several turns."""
    processes = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            target, target_address = await start_process("target")
            processes.append(target)
            server = Server([FakeControl(target_address)], codec=MsgpackCodec())
            await server.start("127.0.0.1", 0)
            control_address = bound_address(server._server)
            roles = {
                "entry": ("entry", control_address, f"{folder}/entry.log"),
                "buffered": ("buffered", target_address),
                "streamed": ("streamed", target_address),
            }
            addresses, pids = {}, {}
            for name, arguments in roles.items():
                process, addresses[name] = await start_process(*arguments)
                processes.append(process)
                pids[name] = process.pid
            times = await measure(addresses, pids, requests)
            lines = count_decisions(f"{folder}/entry.log")
            server.close()
        finally:
            for process in processes:
                process.kill()
                await process.wait()
    return figures(times, lines, requests)


def figures(times: dict[str, list[float]], lines: int, requests: int) -> list[Figure]:
    """Return the figure against the cheaper baseline, and against one that streams as the entry does."""
    entry = statistics.median(times["entry"])
    note = f"{TURNS} turns of {requests} requests, {lines} decision lines"
    result = []
    for name, baseline in (("forward_cpu", "buffered"), ("forward_cpu_streamed", "streamed")):
        base = statistics.median(times[baseline])
        ratio = entry / base
        bound, holds = ("", None) if name != "forward_cpu" else (f"ratio <= {BOUND}", ratio <= BOUND)
        result.append(Figure(name, entry, "us", base, bound, holds, f"{note}; baseline: {baseline} answer"))
    return result


def main() -> None:
    """Run one process of this measurement, or without a role the whole measurement."""
    parser = argparse.ArgumentParser(prog="python -m bench.forward_cpu", description=__doc__)
    parser.add_argument("role", nargs="?", choices=("target", "entry", "buffered", "streamed"))
    parser.add_argument("arguments", nargs="*")
    parser.add_argument("--requests", type=int, default=8000)
    options = parser.parse_args()
    if options.role == "target":
        asyncio.run(serve_target())
    elif options.role == "entry":
        asyncio.run(serve_entry(*options.arguments))
    elif options.role:
        asyncio.run(serve_pass_through(options.arguments[0], options.role == "streamed"))
    else:
        for figure in asyncio.run(run(options.requests)):
            print(figure.line())


if __name__ == "__main__":
    main()
