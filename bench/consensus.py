"""Proposals per second, commit time and event loop stalls of three members in one process."""

import argparse
import asyncio
import contextlib
import os
import random
import socket
import statistics
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import attrs
import grpclib.server

from cranberrylever.consensus import (
    ConsensusConfig,
    DiskStorage,
    FileOperations,
    MemoryNetwork,
    MemoryTransport,
    RaftDriver,
    StateMachine,
    create_driver,
)
from cranberrylever.control_member import PeerTransport
from cranberrylever.wire import MsgpackCodec

CLUSTER = "bench"
MEMBERS = 3
PAYLOAD_BYTES = 200
# Period of the timer whose delays are reported as stalls of the event loop.
STALL_PERIOD_SECONDS = 0.001
# Time added to each data sync of the simulated slow disk.
SLOW_SYNC_SECONDS = 0.02


class _CountingMachine(StateMachine):
    """State machine that counts applied commands."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: int, payload: bytes) -> object:
        self.count += 1
        return self.count

    def snapshot(self) -> bytes:
        return b"%d" % self.count

    def restore(self, index: int, data: bytes) -> None:
        self.count = int(data)


class _TimedFiles(FileOperations):
    """File operations that record the duration of each data sync.

    Args:
        delay: Time in seconds added to each sync, to simulate a slow disk.
    """

    def __init__(self, delay: float) -> None:
        self.delay = delay
        self.seconds: list[float] = []

    def sync_data(self, descriptor: int) -> None:
        started = time.perf_counter()
        super().sync_data(descriptor)
        if self.delay:
            time.sleep(self.delay)
        self.seconds.append(time.perf_counter() - started)


class _InlineStorage(DiskStorage):
    """Baseline storage that writes and syncs on the thread of the event loop."""

    async def _run(self, thread: object, action: Callable[[], None]) -> None:
        self._guard(action)


@attrs.define
class _RunningMembers:
    """The running members and the file operations of each."""

    drivers: list[RaftDriver]
    files: list[_TimedFiles]

    @property
    def leader(self) -> RaftDriver:
        return next(driver for driver in self.drivers if driver.leader_since is not None)


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


@contextlib.asynccontextmanager
async def _run_members(
    folder: Path, over_sockets: bool, storage_class: type = DiskStorage, delay: float = 0.0
) -> AsyncIterator[_RunningMembers]:
    """Run three members with data directories in ``folder`` until the context exits."""
    ports = _free_ports(MEMBERS)
    members = {f"m{number}": f"127.0.0.1:{port}" for number, port in enumerate(ports)}
    network = MemoryNetwork()
    drivers, files, closers = [], [], []
    for name, address in members.items():
        timed = _TimedFiles(delay)
        storage = storage_class(folder / name, CLUSTER, bootstrap=True, files=timed)
        transport = MemoryTransport(network, name)
        if over_sockets:
            transport = PeerTransport(CLUSTER, name, members)
            server = grpclib.server.Server([transport], codec=MsgpackCodec())
            await server.start("127.0.0.1", int(address.rpartition(":")[2]))
            await transport.start()
            closers.append((transport, server))
        config = ConsensusConfig(CLUSTER, name, members)
        driver = create_driver(config, storage, transport, _CountingMachine(), random.Random(name))
        await driver.start()
        drivers.append(driver)
        files.append(timed)
    while not any(driver.leader_since is not None for driver in drivers):
        await asyncio.sleep(0.01)
    try:
        yield _RunningMembers(drivers, files)
    finally:
        for transport, server in closers:
            await transport.close()
            server.close()
            await server.wait_closed()
        for driver in drivers:
            await driver.close()


async def _propose_for(leader: RaftDriver, callers: int, seconds: float) -> list[float]:
    """Run ``callers`` concurrent proposers, each with one proposal at a time; return commit times in s."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    times: list[float] = []
    payload = os.urandom(PAYLOAD_BYTES)

    async def call() -> None:
        while loop.time() < end:
            started = loop.time()
            await leader.propose(payload)
            times.append(loop.time() - started)

    await asyncio.gather(*(call() for _ in range(callers)))
    return times


async def _record_stalls(results: list[float]) -> None:
    """Record the delays in seconds of a timer of the event loop until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        started = loop.time()
        await asyncio.sleep(STALL_PERIOD_SECONDS)
        results.append(loop.time() - started - STALL_PERIOD_SECONDS)


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


async def _measure(
    name: str,
    over_sockets: bool,
    callers: int,
    seconds: float,
    storage_class: type = DiskStorage,
    delay: float = 0.0,
) -> None:
    with tempfile.TemporaryDirectory(dir=".") as folder:
        async with _run_members(Path(folder), over_sockets, storage_class, delay) as members:
            await _propose_for(members.leader, callers, 0.5)
            for files in members.files:
                files.seconds.clear()
            stalls: list[float] = []
            stall_task = asyncio.ensure_future(_record_stalls(stalls))
            cpu = time.process_time()
            times = await _propose_for(members.leader, callers, seconds)
            cpu = time.process_time() - cpu
            stall_task.cancel()
            syncs = [value for files in members.files for value in files.seconds]
            read_barrier = await _time(members.leader.read_barrier, 50)
            await members.leader.propose(b"after")
    prefix = f"consensus.{name}.{callers}_callers"
    _print(prefix, "proposals", len(times) / seconds, "1/s")
    _print(prefix, "commit_p50", statistics.median(times) * 1e3, "ms")
    _print(prefix, "commit_p99", _quantile(times, 0.99) * 1e3, "ms")
    _print(prefix, "fdatasync_p50", statistics.median(syncs) * 1e3, "ms")
    _print(prefix, "fdatasync_p99", _quantile(syncs, 0.99) * 1e3, "ms")
    _print(prefix, "proposals_per_sync", len(times) * MEMBERS / len(syncs), "1")
    _print(prefix, "loop_stall_p99", _quantile(stalls, 0.99) * 1e3, "ms")
    _print(prefix, "loop_stall_max", max(stalls) * 1e3, "ms")
    _print(prefix, "barrier_p50", statistics.median(read_barrier) * 1e3, "ms")
    _print(prefix, "cpu", cpu / seconds, "cores")


async def _time(call: Callable, count: int) -> list[float]:
    loop = asyncio.get_running_loop()
    times = []
    for _ in range(count):
        started = loop.time()
        await call()
        times.append(loop.time() - started)
    return times


def _print(prefix: str, name: str, value: float, unit: str) -> None:
    print(f"{prefix}.{name} {value:.3f} {unit}", flush=True)


def main() -> None:
    """Measure and print the figures, one per line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0, help="duration of each run")
    seconds = parser.parse_args().seconds
    for name, over_sockets in (("memory_transport", False), ("grpclib", True)):
        for callers in (1, 16, 256):
            asyncio.run(_measure(name, over_sockets, callers, seconds))
    asyncio.run(_measure("grpclib_sync_on_loop", True, 16, seconds, _InlineStorage))
    asyncio.run(_measure("slow_disk", True, 16, seconds, DiskStorage, SLOW_SYNC_SECONDS))
    asyncio.run(_measure("slow_disk_sync_on_loop", True, 16, seconds, _InlineStorage, SLOW_SYNC_SECONDS))


if __name__ == "__main__":
    main()
