"""Tests of the log writer and of metrics."""

import json
import socket
import tempfile
import threading
import time

import testtools

from cranberrylever.errors import SettingError
from cranberrylever.logs import BufferedLogWriter, Log, install_log
from cranberrylever.metrics import NullMetrics, create_metrics
from cranberrylever.settings import LogSettings


class LogWriterTest(testtools.TestCase):
    def test_slow_reader_does_not_block_and_drops_are_counted(self):
        """Guards against an event loop that blocks on a log reader, and lines dropped without a count."""
        release = threading.Event()
        written = []

        def write(data: bytes) -> None:
            release.wait(10)
            written.append(data)

        writer = BufferedLogWriter(write, max_lines=10)
        writer({"number": -1})
        deadline = time.monotonic() + 5
        while writer.pending and time.monotonic() < deadline:
            time.sleep(0.01)
        started = time.monotonic()
        for number in range(1000):
            writer({"number": number})
        self.assertLess(time.monotonic() - started, 1.0)
        release.set()
        writer.close(5)
        lines = [json.loads(line) for line in b"".join(written).splitlines()]
        self.assertEqual(list(range(-1, 10)), [line["number"] for line in lines if "number" in line])
        self.assertEqual([990], [line["count"] for line in lines if "count" in line])

    def test_blocked_reader_does_not_hold_up_the_end_of_a_program(self):
        """Guards against a program that is killed while it waits for a reader of its log."""
        release = threading.Event()
        self.addCleanup(release.set)
        writer = BufferedLogWriter(lambda data: release.wait(10))
        writer({"number": 1})
        started = time.monotonic()
        writer.close()
        self.assertLess(time.monotonic() - started, 0.35)

    def test_decision_line_has_all_fields(self):
        """Guards against decision lines with missing fields, which cannot be traced to a view."""
        path = self.temporary_path()
        installed = install_log(LogSettings(path))
        Log("entry", "e1").decision("ledger", 7, "t1", "owner", 9, 12)
        Log("entry", "e1", "error").decision("ledger", 8, "t1", "owner", 9, 12)
        installed.close()
        with open(path, encoding="utf-8") as file:
            (line,) = [json.loads(line) for line in file]
        expected = {
            "service": "ledger",
            "key_hash": 7,
            "target": "t1",
            "reason": "owner",
            "fence": 9,
            "view_version": 12,
            "node": "e1",
            "message_type": "decision",
        }
        self.assertEqual(expected, {name: line[name] for name in expected})

    def test_wrong_destination_names_the_remedy(self):
        """Guards against a program that starts without a log, or fails with a bare OSError."""
        settings = LogSettings("/nonexistent/folder/entry.log")
        self.assertRaises(SettingError, install_log, settings)

    def temporary_path(self) -> str:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return f"{folder.name}/entry.log"


class MetricsTest(testtools.TestCase):
    def test_counts_reach_a_statsd_server(self):
        """Guards against metrics sent with a wrong name or to a wrong address."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(5)
            metrics = create_metrics(f"127.0.0.1:{server.getsockname()[1]}", "entry")
            metrics.count("retries")
            self.assertEqual(b"cranberrylever.entry.retries:1|c", server.recv(100))
            metrics.close()

    def test_no_address_sends_nothing_and_a_wrong_one_is_refused(self):
        """Guards against an entry that starts with an invalid address of the statsd server."""
        self.assertIsInstance(create_metrics("", "entry"), NullMetrics)
        self.assertRaises(SettingError, create_metrics, "localhost", "entry")
