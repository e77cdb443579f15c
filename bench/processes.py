"""Processes of a cluster on loopback, for benchmarks and process tests."""

import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
from pathlib import Path

import aiohttp
import attrs

# Below the range from which the system takes ports of outgoing connections, so that none of them takes a
# port between its choice and its use.
PORT_RANGE = (20_000, 32_000)
READY_POLL_SECONDS = 0.05
READY_LIMIT_SECONDS = 15.0
STOP_LIMIT_SECONDS = 20.0

_given_ports: set[int] = set()


def free_address() -> str:
    """Return ``host:port`` of a loopback port that was free just now and was not returned before."""
    for _ in range(200):
        port = random.SystemRandom().randrange(*PORT_RANGE)
        if port in _given_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            _given_ports.add(port)
            return f"127.0.0.1:{port}"
    raise OSError("no free loopback port found in 200 tries")


@attrs.define
class ManagedProcess:
    """One process of ours: ``python -m cranberrylever`` with arguments; its output goes to ``log_path``."""

    name: str
    arguments: tuple[str, ...]
    log_path: Path
    environment: dict[str, str] = attrs.field(factory=dict)
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cranberrylever",
                *self.arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, **self.environment},
            )

    def running(self) -> bool:
        """Return whether the process runs (a stopped one does)."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal to this process, unless it has ended."""
        if self.running():
            self.process.send_signal(number)

    def pause(self) -> None:
        """Stop the process without its notice."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a stopped process continue."""
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        """End the process without notice and wait until it is gone."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def terminate(self) -> int:
        """Ask the process to stop and wait; one that does not is killed.

        Returns:
            The exit status.
        """
        self.resume()
        self.signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.process.wait(), STOP_LIMIT_SECONDS)
        except TimeoutError:
            await self.kill()
            return self.process.returncode

    def tail(self, lines: int = 20) -> str:
        """Return the last lines of the output."""
        if not self.log_path.exists():
            return ""
        return "\n".join(self.log_path.read_text(errors="replace").splitlines()[-lines:])


async def wait_for_http(process: ManagedProcess, session: aiohttp.ClientSession, url: str) -> None:
    """Wait until a URL answers with 200.

    Raises:
        RuntimeError: The process ended or did not become ready in time; the message has its last output.
    """
    limit = asyncio.get_running_loop().time() + READY_LIMIT_SECONDS
    while asyncio.get_running_loop().time() < limit:
        if not process.running():
            raise RuntimeError(f"{process.name} ended with {process.process.returncode}:\n{process.tail()}")
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.get(url, timeout=aiohttp.ClientTimeout(total=1)) as answer:
                if answer.status == 200:
                    return
        await asyncio.sleep(READY_POLL_SECONDS)
    raise RuntimeError(f"{process.name} is not ready after {READY_LIMIT_SECONDS:g} s:\n{process.tail()}")
