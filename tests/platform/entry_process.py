"""An entry of the deploy file as a process."""

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

from tests.platform import ROOT

GRACE_S = 4.0
"""Time between SIGTERM and SIGKILL."""


class EntryProcess:
    """An entry of the deploy file as a process, in the cluster of a running system."""

    def __init__(self, system, folder):
        self.ip = f"127.3.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self.address = f"{self.ip}:8161"
        control_ip, rpc_port = system.rpc.split(":")
        self.settings = Path(folder) / "settings"
        self.settings.write_text(
            f"node=e9\nip={self.ip}\nzone=z\nlisten.front={self.address}\nlisten.ready={self.ip}:8167\n"
            f"port_range={rpc_port},{rpc_port}\nseeds={control_ip}:1\nbounds=grace_s={GRACE_S}\n"
        )

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            f"{ROOT}/platform/start.py",
            "entry",
            env={**os.environ, "CRANBERRYLEVER_CONFIG": str(self.settings)},
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )

    async def stop(self):
        """Send SIGTERM and, as the platform does, SIGKILL after the grace period; return the exit status."""
        self.process.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.process.wait(), GRACE_S)
        except TimeoutError:
            self.process.kill()
            return await self.process.wait()
