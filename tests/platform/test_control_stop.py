"""A control member that is asked to stop, as a process."""

import asyncio
import os
import random
import signal
import sys
import tempfile
from pathlib import Path

import testtools

from tests.platform import ROOT

GRACE_S = 4.0
START_TIMEOUT_S = 15.0
CONTROL_PORT = 8166
HALF_REQUEST = b"POST /Config.Put HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{"


async def start_control(folder, ip):
    """Start a control member that founds a group of its own."""
    settings = Path(folder) / "settings"
    settings.write_text(
        f"node=c1\nip={ip}\nzone=z\nzones.z=r\nlisten.control={ip}:{CONTROL_PORT}\nport_range=7720,7735\n"
        f"seeds={ip}:{CONTROL_PORT}\nbootstrap=true\ndata_dir={folder}/data\nheartbeat_s=0.9\n"
        f"bounds=grace_s={GRACE_S}\n"
    )
    return await asyncio.create_subprocess_exec(
        sys.executable,
        f"{ROOT}/platform/start.py",
        "control",
        env={**os.environ, "CRANBERRYLEVER_CONFIG": str(settings)},
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )


async def connect(ip):
    """Connect to the control member once it listens."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                return await asyncio.open_connection(ip, CONTROL_PORT)
            except OSError:
                await asyncio.sleep(0.05)


async def stop(process):
    """Send SIGTERM and, as the platform does, SIGKILL after the grace period; return the exit status."""
    process.send_signal(signal.SIGTERM)
    try:
        return await asyncio.wait_for(process.wait(), GRACE_S)
    except TimeoutError:
        process.kill()
        return await process.wait()


class ControlStopTest(testtools.TestCase):
    def test_member_with_a_request_whose_body_does_not_come_ends_before_it_is_killed(self):
        """Guards against a frozen caller that keeps a stopped member away for the whole grace period."""

        async def main():
            ip = f"127.4.{random.randint(1, 250)}.{random.randint(1, 250)}"
            with tempfile.TemporaryDirectory() as folder:
                process = await start_control(folder, ip)
                try:
                    _, writer = await connect(ip)
                    writer.write(HALF_REQUEST)
                    await asyncio.sleep(0.3)
                    status = await stop(process)
                    writer.transport.abort()
                    return status
                finally:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()

        assert asyncio.run(main()) == 0
