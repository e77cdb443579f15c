"""Memory of an entry process whose callers read slowly; ``bench/slow_readers.py`` takes longer."""

import asyncio
import os
import signal
import tempfile

import testtools

from bench.slow_readers import CLUSTER_ID, Load, entry_process, measure
from tests.caller_http.slow_reader import SlowReader
from tests.platform.running_system import RunningSystem

SECONDS = 6.0
MAX_RESIDENT_BYTES = 200_000_000

ANSWER_BYTES = 6_000_000
READ_RATE = 3_000_000.0
REQUEST = (
    b"POST /desk/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\nCranberrylever-Deadline-Ms: 2000\r\n"
    b"Cranberrylever-Request-Id: s%d\r\n\r\n"
)
REQUEST_AFTER_S = 1.0
"""Time between SIGTERM and the requests, whose answers come when the listener closes, after 2.2 s."""

WORK_S = 1.3


class SlowReadersTest(testtools.TestCase):
    def test_many_slow_readers_of_large_answers_are_bounded_in_memory(self):
        """Guards against an entry whose memory fills with answers that callers have not read."""
        figures = asyncio.run(measure(Load(200, 50_000.0, 1_000_000, SECONDS)))
        assert figures.peak < MAX_RESIDENT_BYTES, figures
        assert figures.statuses[200] >= 60, figures
        assert set(figures.statuses) <= {200, 503}, figures
        assert figures.last_status == 200, figures

    def test_slow_readers_get_their_answers_from_an_entry_that_ends(self):
        """Guards against an answer that is in the send buffer when the process ends (issue 41)."""

        async def main():
            async with RunningSystem(cluster_id=CLUSTER_ID) as system:
                await system.prepare()
                with tempfile.TemporaryDirectory() as folder:
                    async with entry_process(system, folder) as (address, pid):
                        await system.until(self.is_served, system, address)
                        for target in system.targets:
                            target.work, target.padding = WORK_S, b"b" * ANSWER_BYTES
                        os.kill(pid, signal.SIGTERM)
                        await asyncio.sleep(REQUEST_AFTER_S)
                        readers = [SlowReader(address, REQUEST % n, READ_RATE) for n in range(4)]
                        for reader in readers:
                            reader.start()
                        await asyncio.to_thread(lambda: [reader.join() for reader in readers])
                        return [len(reader.body) for reader in readers]

        assert asyncio.run(main()) == [ANSWER_BYTES + len("ran ")] * 4

    @staticmethod
    async def is_served(system, address):
        try:
            return (await system.request("POST", "/desk/x", entry=address)).status
        except Exception:
            return 0
