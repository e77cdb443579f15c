"""The start of a program as a process on the platform, with a settings file that the test delays."""

import asyncio
import os
import random
import signal
import sys
import tempfile

import testtools

from tests.platform import ROOT

SECONDS = 20.0


def entry_settings():
    ip = f"127.3.{random.randint(1, 250)}.{random.randint(1, 250)}"
    return (
        f"node=e1\nip={ip}\nzone=z\nlisten.front={ip}:8161\nlisten.ready={ip}:8167\n"
        f"port_range=7720,7735\nseeds={ip}:8166\nbounds=grace_s=1\n"
    ).encode()


async def write_when_read(path, content, before_write=lambda: None):
    """Write to a named pipe once a process has opened it for reading.

    The process finds another pipe at the path when it reads again, so that this read ends and gets only
    this content.
    """
    descriptor = await asyncio.get_running_loop().run_in_executor(None, os.open, path, os.O_WRONLY)
    try:
        os.mkfifo(f"{path}.next")
        os.replace(f"{path}.next", path)
        before_write()
        await asyncio.sleep(0.2)
        os.write(descriptor, content)
    finally:
        os.close(descriptor)


def release_writer(path):
    """Let a writer go on that still waits for a reader, as its thread would keep the test from ending."""
    os.close(os.open(path, os.O_RDONLY | os.O_NONBLOCK))


class StartTest(testtools.TestCase):
    def test_reload_signal_during_the_start_does_not_end_the_process(self):
        """Guards against a process that a change of its settings ends while it starts."""

        async def main():
            with tempfile.TemporaryDirectory() as folder:
                path = f"{folder}/settings"
                os.mkfifo(path)
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    f"{ROOT}/platform/start.py",
                    "entry",
                    env={**os.environ, "CRANBERRYLEVER_CONFIG": path},
                    stdout=asyncio.subprocess.DEVNULL,
                    stderr=asyncio.subprocess.DEVNULL,
                )
                try:
                    async with asyncio.timeout(SECONDS):
                        content = entry_settings()
                        await write_when_read(path, content, lambda: process.send_signal(signal.SIGHUP))
                        # The process reads the settings again, as they have changed since.
                        reload = asyncio.ensure_future(write_when_read(path, content))
                        ended = asyncio.ensure_future(process.wait())
                        await asyncio.wait((reload, ended), return_when=asyncio.FIRST_COMPLETED)
                        assert not ended.done(), process.returncode
                        process.send_signal(signal.SIGTERM)
                        return await ended
                finally:
                    release_writer(path)
                    if process.returncode is None:
                        process.kill()
                        await process.wait()

        assert asyncio.run(main()) == 0
