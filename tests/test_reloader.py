"""Tests of the reload of changed settings."""

import asyncio
import threading
import unittest.mock

import testtools

from cranberrylever import reloader as reloader_module
from cranberrylever.errors import SettingError
from cranberrylever.reloader import MAX_BLOCKED_READS, Reloader
from tests.test_task_errors import RecordingLog

READ_TIMEOUT_S = 0.05


class FakeFile:
    """Settings whose reads a test ends one by one, with the content that it chooses."""

    def __init__(self):
        self.reads = []

    def read(self):
        read = BlockedRead()
        self.reads.append(read)
        assert read.ended.wait(20)
        if isinstance(read.outcome, Exception):
            raise read.outcome
        return read.outcome


class BlockedRead:
    """One read that waits for its outcome."""

    def __init__(self):
        self.ended = threading.Event()

    def end(self, outcome):
        self.outcome = outcome
        self.ended.set()


class ReloaderTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        patch = unittest.mock.patch.object(reloader_module, "READ_TIMEOUT_S", READ_TIMEOUT_S)
        patch.start()
        self.addCleanup(patch.stop)
        self.file = FakeFile()
        self.applied = []
        self.log = RecordingLog()

    def run_scenario(self, scenario):
        async def main():
            reloader = Reloader(self.file.read, self.applied.append, self.log)
            try:
                async with asyncio.timeout(20):
                    await scenario(reloader)
            finally:
                for read in self.file.reads:
                    read.end("the end")

        asyncio.run(main())

    async def until(self, condition):
        while not condition():
            await asyncio.sleep(0.005)

    def errors(self):
        return [fields.get("error") or error for _, error, fields in self.log.lines]

    def test_requests_during_a_read_share_the_next_one(self):
        """Guards against a change during a read that is lost, and against a read for each of many signals."""

        async def scenario(reloader):
            reloader.request()
            await self.until(lambda: len(self.file.reads) == 1)
            for _ in range(10):
                reloader.request()
            self.file.reads[0].end("old")
            await self.until(lambda: len(self.file.reads) == 2)
            self.file.reads[1].end("new")
            await self.until(lambda: self.applied == ["old", "new"])
            await asyncio.sleep(READ_TIMEOUT_S)

        self.run_scenario(scenario)
        assert len(self.file.reads) == 2
        assert self.log.lines == []

    def test_failure_is_logged_and_the_settings_stay(self):
        """Guards against settings that are lost, or a program that ends, by a file that cannot be used."""

        async def scenario(reloader):
            for number, error in enumerate((SettingError("no seeds", "check it"), ValueError("odd"))):
                reloader.request()
                await self.until(lambda number=number: len(self.file.reads) > number)
                self.file.reads[number].end(error)
                await self.until(lambda number=number: len(self.log.lines) > number)

        self.run_scenario(scenario)
        assert self.applied == []
        assert self.errors() == ["no seeds; check it", "ValueError('odd')"]

    def test_settings_that_cannot_be_applied_are_logged(self):
        """Guards against an error of the program in the settings that goes unnoticed."""

        async def scenario(reloader):
            reloader.apply = lambda settings: 1 // 0
            reloader.request()
            await self.until(lambda: self.file.reads)
            self.file.reads[0].end("settings")
            await self.until(lambda: self.log.lines)

        self.run_scenario(scenario)
        assert "ZeroDivisionError" in self.errors()[0]

    def test_settings_that_come_late_are_applied(self):
        """Guards against a change that is dropped because the file system hung for a while."""

        async def scenario(reloader):
            reloader.request()
            await self.until(lambda: self.log.lines)
            assert self.applied == []
            self.file.reads[0].end("late")
            await self.until(lambda: self.applied == ["late"])

        self.run_scenario(scenario)
        assert "not read within" in self.errors()[0]

    def test_newest_settings_win_over_a_blocked_read(self):
        """Guards against old settings that replace newer ones, as their read took longer."""

        async def scenario(reloader):
            reloader.request()
            await self.until(lambda: self.log.lines)
            reloader.request()
            await self.until(lambda: len(self.file.reads) == 2)
            self.file.reads[1].end("new")
            await self.until(lambda: self.applied == ["new"])
            self.file.reads[0].end("old")
            await self.until(lambda: reloader.blocked_reads == 0)
            await asyncio.sleep(READ_TIMEOUT_S)

        self.run_scenario(scenario)
        assert self.applied == ["new"]

    def test_blocked_reads_are_limited_and_the_request_is_kept(self):
        """Guards against a thread for each signal while a file system hangs, and a change lost after that."""

        async def scenario(reloader):
            for _ in range(MAX_BLOCKED_READS * 3):
                reloader.request()
                await asyncio.sleep(READ_TIMEOUT_S)
            await self.until(lambda: reloader.blocked_reads == MAX_BLOCKED_READS)
            reloader.request()
            assert len(self.file.reads) == MAX_BLOCKED_READS
            self.file.reads[0].end("old")
            await self.until(lambda: len(self.file.reads) == MAX_BLOCKED_READS + 1)
            self.file.reads[-1].end("new")
            await self.until(lambda: self.applied[-1:] == ["new"])

        self.run_scenario(scenario)
        assert "earlier reads" in self.errors()[-1]
