"""Peak memory of an entry whose callers read large answers slowly.

Run by hand: ``python -m bench.slow_readers --seconds 60``. The entry is a process of the platform's program;
targets, control and callers share this one.
"""

import asyncio
import contextlib
import os
import re
import socket
import sys
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path

import attrs
import typer

from bench.processes import free_address
from tests.platform.fakes import configuration
from tests.platform.running_system import RunningSystem

ROOT = Path(__file__).resolve().parent.parent
CLUSTER_ID = "cranberrylever"
ENTRY_IP = "127.0.0.7"
RECEIVE_BUFFER_BYTES = 16_384
SEGMENT_BYTES = 1_448
"""That of Ethernet; with the 64 KB of loopback the kernel would buffer 2 MB for each connection."""

READ_INTERVAL_S = 0.1
ROUTE_TIMEOUT_S = 5.0
START_TIMEOUT_S = 15.0


@attrs.define
class Figures:
    """Measured values: resident bytes of the entry at its start and at its peak, and answers by status."""

    base: int = 0
    peak: int = 0
    statuses: dict[int, int] = attrs.field(factory=dict)
    complete: int = 0
    read_bytes: int = 0
    last_status: int = 0


@attrs.frozen
class Load:
    """Callers that start at the same moment, bytes that each reads a second, and bytes of an answer."""

    readers: int
    rate: float
    answer_bytes: int
    seconds: float


class SlowCaller:
    """Caller that reads ``rate`` bytes a second, asks again after each answer and waits after a refusal."""

    def __init__(self, address: str, number: int, rate: float, figures: Figures) -> None:
        self.address = address
        self.number = number
        self.rate = rate
        self.figures = figures
        self.count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        while True:
            with socket.socket() as connection, contextlib.suppress(ConnectionError):
                connection.setblocking(False)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
                await loop.sock_connect(connection, (host, int(port)))
                while True:
                    await loop.sock_sendall(connection, self._next_request())
                    retry_after = await self._read_answer(connection)
                    await asyncio.sleep(retry_after)
            await asyncio.sleep(READ_INTERVAL_S)

    def _next_request(self) -> bytes:
        self.count += 1
        head = (
            "POST /desk/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n"
            f"Cranberrylever-Request-Id: s{self.number}-{self.count}\r\n"
            f"Cranberrylever-Deadline-Ms: {ROUTE_TIMEOUT_S * 1000:.0f}\r\n\r\n"
        )
        return head.encode()

    async def _read_answer(self, connection: socket.socket) -> float:
        """Read one answer and return the seconds to wait."""
        loop = asyncio.get_running_loop()
        data = b""
        while b"\r\n\r\n" not in data:
            data += await self._receive(loop, connection, 2_048)
        head, _, body = data.partition(b"\r\n\r\n")
        status = int(head.split()[1])
        self.figures.statuses[status] = self.figures.statuses.get(status, 0) + 1
        missing = int(re.search(rb"(?i)content-length: (\d+)", head)[1]) - len(body)
        while missing:
            part = await self._receive(loop, connection, min(missing, int(self.rate * READ_INTERVAL_S)))
            missing -= len(part)
            self.figures.read_bytes += len(part)
            await asyncio.sleep(len(part) / self.rate)
        self.figures.complete += status == 200
        wait = re.search(rb"(?i)retry-after: ([\d.]+)", head)
        return float(wait[1]) if wait else 0.0

    @staticmethod
    async def _receive(loop: asyncio.AbstractEventLoop, connection: socket.socket, size: int) -> bytes:
        part = await loop.sock_recv(connection, size)
        if not part:
            raise ConnectionResetError
        return part


def resident_bytes(pid: int, name: str) -> int:
    """Return ``VmRSS``, the resident bytes of a process, or ``VmHWM``, their peak."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(rf"{name}:\s+(\d+) kB", text)[1]) * 1024


@contextlib.asynccontextmanager
async def entry_process(system: RunningSystem, folder: str) -> AsyncIterator[tuple[str, int]]:
    """Run an entry as a process; yield its address and process id."""
    listen = free_address().replace("127.0.0.1", ENTRY_IP)
    seed = system.route_control.settings.rpc
    rpc_port = seed.rpartition(":")[2]
    settings = Path(folder) / "entry.conf"
    fields = {
        "node": "slow",
        "ip": ENTRY_IP,
        "listen.front": listen,
        "listen.ready": free_address().replace("127.0.0.1", ENTRY_IP),
        "port_range": f"{rpc_port},{rpc_port}",
        "seeds": seed,
        "zone": "puget",
    }
    settings.write_text("".join(f"{name}={value}\n" for name, value in fields.items()))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(ROOT / "platform" / "start.py"),
        "entry",
        stdout=asyncio.subprocess.DEVNULL,
        env={**os.environ, "CRANBERRYLEVER_CONFIG": str(settings)},
    )
    try:
        yield listen, process.pid
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


async def measure(load: Load) -> Figures:
    """Return the figures of an entry under a load."""
    figures = Figures()
    async with RunningSystem(cluster_id=CLUSTER_ID) as system:
        await system.prepare()
        document = configuration(4, "ledger", "desk")
        for route in document["routes"]:
            route["timeout_s"] = ROUTE_TIMEOUT_S
        await system.until(system.put, document, 3)
        with tempfile.TemporaryDirectory() as folder:
            async with entry_process(system, folder) as (address, pid):
                await _measure_entry(system, address, pid, figures, load)
    return figures


async def _measure_entry(system: RunningSystem, address: str, pid: int, figures: Figures, load: Load) -> None:
    async def request() -> int:
        try:
            return (await system.request("POST", "/desk/x", entry=address)).status
        except Exception:
            return 0

    await system.until(request, seconds=START_TIMEOUT_S)
    figures.base = resident_bytes(pid, "VmRSS")
    for target in system.targets:
        target.padding = b"b" * load.answer_bytes
    callers = [SlowCaller(address, number, load.rate, figures) for number in range(load.readers)]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(load.seconds)
    for target in system.targets:
        target.padding = b""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(1.0)
    figures.peak = resident_bytes(pid, "VmHWM")
    figures.last_status = await request()


def main(
    readers: int = 200, rate: float = 50_000.0, answer_bytes: int = 1_000_000, seconds: float = 30.0
) -> None:
    """Print the figures of one run."""
    figures = asyncio.run(measure(Load(readers, rate, answer_bytes, seconds)))
    print(f"resident {figures.base / 1e6:.0f} MB at the start, {figures.peak / 1e6:.0f} MB at the peak")
    print(f"answers by status {figures.statuses}, {figures.complete} answers read to their end")
    print(f"read {figures.read_bytes / 1e6:.0f} MB; afterwards status {figures.last_status}")


if __name__ == "__main__":
    typer.run(main)
