"""Management of cranberrylever processes on loopback, for benchmarks and process tests."""

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

# Below the range of ephemeral ports, so that no outgoing connection takes a port between its choice and its
# use.
PORT_RANGE = (20_000, 32_000)
READY_POLL_INTERVAL_SECONDS = 0.05
READY_TIMEOUT_SECONDS = 15.0
STOP_TIMEOUT_SECONDS = 20.0

_allocated_ports: set[int] = set()


def free_address() -> str:
    """Return ``host:port`` with a free loopback port that was not returned before.

    Raises:
        OSError: No free port was found in 200 tries.
    """
    for _ in range(200):
        port = random.SystemRandom().randrange(*PORT_RANGE)
        if port in _allocated_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            _allocated_ports.add(port)
            return f"127.0.0.1:{port}"
    raise OSError("no free loopback port found in 200 tries")


@attrs.define
class ManagedProcess:
    """One process of ``python -m cranberrylever``; its output is appended to ``log_path``."""

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
        """Return whether the process has not exited; a suspended process counts as running."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal to the process unless it has exited."""
        if self.running():
            self.process.send_signal(number)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process with SIGCONT."""
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def terminate(self) -> int:
        """Stop the process with SIGTERM; it is killed after ``STOP_TIMEOUT_SECONDS``.

        Returns:
            The exit status.
        """
        self.resume()
        self.signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_SECONDS)
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
        RuntimeError: The process exited or did not become ready in time; the message has its last output.
    """
    limit = asyncio.get_running_loop().time() + READY_TIMEOUT_SECONDS
    while asyncio.get_running_loop().time() < limit:
        if not process.running():
            raise RuntimeError(f"{process.name} exited with {process.process.returncode}:\n{process.tail()}")
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.get(url, timeout=aiohttp.ClientTimeout(total=1)) as answer:
                if answer.status == 200:
                    return
        await asyncio.sleep(READY_POLL_INTERVAL_SECONDS)
    raise RuntimeError(f"{process.name} is not ready after {READY_TIMEOUT_SECONDS:g} s:\n{process.tail()}")
