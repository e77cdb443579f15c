"""The start, reload and stop of an entry as a process on the platform."""

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import testtools

from tests.platform import ROOT

# A program that fails at run time, in place of the one that the role names.
FAILING_PROGRAM = """
import asyncio, sys
sys.path.insert(0, sys.argv[1])
import start

class Program:
    async def start(self):
        print("started", flush=True)
    async def wait_failure(self):
        raise ValueError("the failure")
    async def close(self):
        print("closed", flush=True)

start.create_program = lambda role: Program()
asyncio.run(start.run("control"))
"""
SECONDS = 20.0
STOP_SECONDS = 5.0
RELOAD_LINES = {"settings_reloaded", "settings_reload_failed"}


def entry_settings():
    ip = f"127.3.{random.randint(1, 250)}.{random.randint(1, 250)}"
    return (
        f"node=e1\nip={ip}\nzone=z\nlisten.front={ip}:8161\nlisten.ready={ip}:8167\n"
        f"port_range=7720,7735\nseeds={ip}:8166\nbounds=grace_s=1\n"
    ).encode()


async def open_when_read(path):
    """Return a descriptor for writing to a named pipe once a process has opened it for reading."""
    return await asyncio.get_running_loop().run_in_executor(None, os.open, path, os.O_WRONLY)


async def write_when_read(path, content, before_write=lambda: None):
    """Write to a named pipe once a process has opened it for reading.

    The process finds another pipe at the path when it reads again, so that this read ends and gets only
    this content.
    """
    descriptor = await open_when_read(path)
    try:
        replace_by_pipe(path)
        before_write()
        await asyncio.sleep(0.2)
        os.write(descriptor, content)
    finally:
        os.close(descriptor)


def release_writer(path):
    """Let a writer go on that still waits to open a pipe, as its thread would keep the test from ending."""
    if Path(path).is_fifo():
        os.close(os.open(path, os.O_RDONLY | os.O_NONBLOCK))


def replace_by_pipe(path):
    """Put a new named pipe in place of the file at the path."""
    os.mkfifo(f"{path}.next")
    os.replace(f"{path}.next", path)


def replace_by_file(path, content):
    """Put a new file in place of the one at the path."""
    Path(f"{path}.next").write_bytes(content)
    os.replace(f"{path}.next", path)


class EntryProcess:
    """An entry as a process, with a settings file in a folder of its own."""

    async def __aenter__(self):
        self.folder = tempfile.TemporaryDirectory()
        self.path = f"{self.folder.name}/settings"
        self.process = None
        return self

    async def __aexit__(self, *exc_info):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        release_writer(self.path)
        self.folder.cleanup()

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            f"{ROOT}/platform/start.py",
            "entry",
            env={**os.environ, "CRANBERRYLEVER_CONFIG": self.path},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )

    def reload(self):
        """Signal that the settings file has changed."""
        self.process.send_signal(signal.SIGHUP)

    async def next_line(self, message_types):
        """Return the next line of the log that has one of these types."""
        async for text in self.process.stdout:
            line = json.loads(text)
            if line["message_type"] in message_types:
                return line
        raise AssertionError(f"no line {message_types} before the end, status {await self.process.wait()}")

    async def send_until_ended(self, signal_number):
        """Send a signal every few milliseconds until the process has ended, and return its exit status."""
        ended = asyncio.ensure_future(self.process.wait())
        descriptor = os.pidfd_open(self.process.pid)
        try:
            while not ended.done():
                with contextlib.suppress(ProcessLookupError):
                    signal.pidfd_send_signal(descriptor, signal_number)
                await asyncio.sleep(0.003)
        finally:
            os.close(descriptor)
        return await ended

    async def stop(self):
        """Stop the process as a service manager does, and return its exit status."""
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_SECONDS):
            return await self.process.wait()


class StartTest(testtools.TestCase):
    def test_reload_signal_during_the_start_does_not_end_the_process(self):
        """Guards against a process that a change of its settings ends while it starts."""

        async def main():
            async with EntryProcess() as entry, asyncio.timeout(SECONDS):
                os.mkfifo(entry.path)
                await entry.start()
                content = entry_settings()
                await write_when_read(entry.path, content, entry.reload)
                # The process reads the settings again, as they have changed since.
                reload = asyncio.ensure_future(write_when_read(entry.path, content))
                ended = asyncio.ensure_future(entry.process.wait())
                await asyncio.wait((reload, ended), return_when=asyncio.FIRST_COMPLETED)
                assert not ended.done(), entry.process.returncode
                return await entry.stop()

        assert asyncio.run(main()) == 0

    def test_incomplete_file_during_the_start_does_not_end_the_process(self):
        """Guards against a process that ends because its settings are being written while it starts."""

        async def main():
            async with EntryProcess() as entry, asyncio.timeout(SECONDS):
                os.mkfifo(entry.path)
                await entry.start()

                def change():
                    replace_by_file(entry.path, b"node=e1\n")
                    entry.reload()

                await write_when_read(entry.path, entry_settings(), change)
                line = await entry.next_line(RELOAD_LINES)
                assert line["message_type"] == "settings_reload_failed", line
                return await entry.stop()

        assert asyncio.run(main()) == 0

    def test_file_that_blocks_at_the_start_does_not_hold_up_the_stop(self):
        """Guards against a process that cannot be stopped while it waits for its first settings."""

        async def main():
            async with EntryProcess() as entry, asyncio.timeout(SECONDS):
                os.mkfifo(entry.path)
                await entry.start()
                descriptor = await open_when_read(entry.path)
                try:
                    return await entry.stop()
                finally:
                    os.close(descriptor)

        # Nothing has been started that would have to be closed.
        assert asyncio.run(main()) == -signal.SIGTERM

    def test_signals_until_the_end_do_not_cut_the_stop_short(self):
        """Guards against requests that are cut off, or a failed stop, by signals that a platform repeats."""
        for repeated in (signal.SIGTERM, signal.SIGHUP):

            async def main(repeated=repeated):
                async with EntryProcess() as entry, asyncio.timeout(SECONDS):
                    replace_by_file(entry.path, entry_settings())
                    await entry.start()
                    await entry.next_line({"entry_started"})
                    entry.process.send_signal(signal.SIGTERM)
                    status = await entry.send_until_ended(repeated)
                    await entry.next_line({"entry_stopped"})
                    return status

            self.assertEqual(0, asyncio.run(main()), repeated)

    def test_program_that_fails_is_closed_and_its_error_reported(self):
        """Guards against a process whose last log lines, which tell why it failed, are lost."""
        done = subprocess.run(
            [sys.executable, "-c", FAILING_PROGRAM, f"{ROOT}/platform"],
            capture_output=True,
            text=True,
            timeout=SECONDS,
        )
        self.assertEqual((1, "started\nclosed\n"), (done.returncode, done.stdout))
        self.assertIn("the failure", done.stderr)


class ReloadTest(testtools.TestCase):
    def test_file_that_blocks_does_not_hold_up_the_stop(self):
        """Guards against a process that is killed with its requests because its settings cannot be read."""

        async def main():
            async with EntryProcess() as entry, asyncio.timeout(SECONDS):
                replace_by_file(entry.path, entry_settings())
                await entry.start()
                await entry.next_line({"entry_started"})
                replace_by_pipe(entry.path)
                entry.reload()
                descriptor = await open_when_read(entry.path)
                try:
                    return await entry.stop()
                finally:
                    os.close(descriptor)

        assert asyncio.run(main()) == 0

    def test_reads_that_block_do_not_pile_up_and_the_next_file_is_applied(self):
        """Guards against a file that blocks once and ends all reloads, or takes a thread for each."""

        async def main():
            async with EntryProcess() as entry, asyncio.timeout(SECONDS):
                content = entry_settings()
                replace_by_file(entry.path, content)
                await entry.start()
                await entry.next_line({"entry_started"})
                threads = len(os.listdir(f"/proc/{entry.process.pid}/task"))
                replace_by_pipe(entry.path)
                for _ in range(20):
                    entry.reload()
                    await asyncio.sleep(0.02)
                # The first read blocks, and the one that all other signals share.
                for _ in range(2):
                    line = await entry.next_line(RELOAD_LINES)
                    assert "not read within" in line["error"], line
                assert len(os.listdir(f"/proc/{entry.process.pid}/task")) <= threads + 2
                replace_by_file(entry.path, content.replace(b"seeds=", b"seeds=127.3.251.1:8166,"))
                entry.reload()
                line = await entry.next_line(RELOAD_LINES)
                assert line["message_type"] == "settings_reloaded", line
                assert line["contacts"][0] == "127.3.251.1:7720", line
                return await entry.stop()

        assert asyncio.run(main()) == 0

    def test_file_that_cannot_be_used_changes_nothing(self):
        """Guards against a process that loses its control members, or ends, by a bad settings file."""
        content = entry_settings()
        bad_files = {
            content.partition(b"listen.ready")[0]: "listen.ready",
            content.partition(b"seeds")[0]: "seeds",
            content.replace(b"seeds=", b"seeds=,;"): "seeds",
            content.replace(b":8166\n", b"\n"): "seeds",
            re.sub(b"seeds=.*", b"seeds=,", content): "seeds",
            content.replace(b"port_range=7720", b"port_range=x"): "port_range",
            content.replace(b"zone=z", b"zone=\xff"): "cannot be read",
        }

        async def fail_to_reload(entry, reason):
            entry.reload()
            line = await entry.next_line(RELOAD_LINES)
            assert line["message_type"] == "settings_reload_failed", line
            assert reason in line["error"], line

        async def main():
            async with EntryProcess() as entry, asyncio.timeout(SECONDS):
                replace_by_file(entry.path, content)
                await entry.start()
                await entry.next_line({"entry_started"})
                for bad, reason in bad_files.items():
                    replace_by_file(entry.path, bad)
                    await fail_to_reload(entry, reason)
                os.remove(entry.path)
                await fail_to_reload(entry, "No such file")
                os.mkdir(entry.path)
                await fail_to_reload(entry, "Is a directory")
                os.rmdir(entry.path)
                replace_by_file(entry.path, content)
                entry.reload()
                line = await entry.next_line(RELOAD_LINES)
                assert line["message_type"] == "settings_reloaded", line
                return await entry.stop()

        assert asyncio.run(main()) == 0
