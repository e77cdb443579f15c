"""Processes whose callers send what no limit allows.

Each test checks what does not depend on speed: the process lives, its memory and descriptors stay under a
bound, and one ordinary request is answered afterwards.
"""

import asyncio
import contextlib
import os
import tempfile
from http import HTTPStatus

import testtools

from bench.processes import free_address
from bench.slow_readers import resident_bytes
from cranberrylever.target_http import AnswerLostError, NotSentError
from tests.platform.fakes import Caller, configuration
from tests.platform.running_system import RunningSystem
from tests.process.hostile_crowd import Kind, run_crowd
from tests.process.limited_process import limited_process

CLUSTER_ID = "test"
MAX_RESIDENT_BYTES = 120_000_000
"""A process takes about 50 MB at rest; the limits below allow 16 MB more."""

MAX_DESCRIPTORS = 100
WAIT_S = 20.0

LIMITS = {
    "LISTENER_READ_MEMORY": "8388608",
    "LISTENER_REQUESTS_AHEAD": "16",
    "LISTENER_DROPPED_BODY": "8388608",
    "BODY_MEMORY": "2097152",
}

HEAD = b"Host: h.example\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
POST = b"POST /desk/x HTTP/1.1\r\n"
UNKNOWN = b"POST /nowhere HTTP/1.1\r\n"
EMPTY_LINES = b"\r\n" * 32_768
HEAD_LINES = b"name: " + b"v" * 58 + b"\r\n"
CHUNK = b"8000\r\n" + b"b" * 32_768 + b"\r\n"

ENDLESS_HEAD = Kind(POST + HEAD, HEAD_LINES * 1_000)
ENDLESS_VALUE = Kind(POST + HEAD + b"name: ", b"v" * 65_536)
LARGE_HEADS = Kind(b"", POST + HEAD + HEAD_LINES * 1_000 + b"\r\n")
EMPTY = Kind(b"", EMPTY_LINES)
TRAILERS = Kind(POST + CHUNKED + b"0\r\n", HEAD_LINES * 1_000)
TRAILERS_OF_UNKNOWN = Kind(UNKNOWN + CHUNKED + b"0\r\n", b"a: b\r\n" * 10_000)
EXTENSIONS = Kind(POST + CHUNKED + b"1", b";name=value" * 6_000)
REQUESTS = Kind(b"", (POST + HEAD + b"Content-Length: 0\r\n\r\n") * 1_000)
UNKNOWN_REQUESTS = Kind(b"", (b"GET / HTTP/1.1\r\nHost:x\r\n\r\n") * 2_000)
INVALID_BEHIND_REQUEST = Kind(POST + HEAD + b"\r\n" + b"no request\r\n\r\n", b"b" * 65_536)
BODY_OF_UNKNOWN = Kind(UNKNOWN + CHUNKED, CHUNK)
BODY_BEHIND_REQUESTS = Kind((POST + HEAD + b"\r\n") * 20 + POST + CHUNKED, CHUNK)


class HostileCallersTest(testtools.TestCase):
    """The listener of an entry for callers."""

    def check_entry(self, kind, listener="LISTEN", path=""):
        """Check an entry after a crowd at one of its listeners, and ``path`` there."""

        async def main():
            async with RunningSystem(cluster_id=CLUSTER_ID) as system:
                await system.prepare()
                settings = entry_settings(system)
                async with limited_process("entry", settings) as process:
                    request = system.request, "POST", "/desk/x"
                    await until_answered(*request, entry=settings["LISTEN"])
                    await asyncio.to_thread(run_crowd, settings[listener], kind)
                    await until_answered(*request, entry=settings["LISTEN"])
                    if path:
                        await until_answered(system.caller.call, settings[listener], "GET", path)
                    check_process(self, process)

        asyncio.run(main())

    def test_head_without_an_end(self):
        """Guards against lines of a head that take memory without a bound."""
        self.check_entry(ENDLESS_HEAD)

    def test_line_of_a_head_without_an_end(self):
        """Guards against the same in one line."""
        self.check_entry(ENDLESS_VALUE)

    def test_heads_over_the_limit(self):
        """Guards against complete heads that are too large."""
        self.check_entry(LARGE_HEADS)

    def test_empty_lines_without_an_end_before_a_request(self):
        """Guards against bytes that belong to no head yet."""
        self.check_entry(EMPTY)

    def test_trailers_without_an_end(self):
        """Guards against lines behind a chunked body, which take memory like those of a head."""
        self.check_entry(TRAILERS)

    def test_trailers_without_an_end_of_a_request_that_is_answered(self):
        """Guards against the same after the answer, when no deadline ends the request."""
        self.check_entry(TRAILERS_OF_UNKNOWN)

    def test_chunk_extensions_without_an_end(self):
        """Guards against bytes of a chunked body that are neither body nor head."""
        self.check_entry(EXTENSIONS)

    def test_many_requests_ahead_with_unread_answers(self):
        """Guards against a queue of parsed requests without a bound."""
        self.check_entry(REQUESTS)

    def test_many_requests_ahead_to_an_unknown_route_with_unread_answers(self):
        """Guards against the same with requests that the entry answers itself, at once."""
        self.check_entry(UNKNOWN_REQUESTS)

    def test_bytes_behind_an_invalid_request(self):
        """Guards against a connection that is given up and goes on."""
        self.check_entry(INVALID_BEHIND_REQUEST)

    def test_body_without_an_end_of_a_request_that_is_answered(self):
        """Guards against a body that nobody waits for."""
        self.check_entry(BODY_OF_UNKNOWN)

    def test_body_without_an_end_behind_other_requests(self):
        """Guards against a body that waits in the process for its turn."""
        self.check_entry(BODY_BEHIND_REQUESTS)


class OtherListenersTest(testtools.TestCase):
    """The other listeners of an entry."""

    check_entry = HostileCallersTest.check_entry

    def test_readiness_and_head_without_an_end(self):
        """Guards against the same at the listener for readiness checks."""
        self.check_entry(ENDLESS_HEAD, "READY_LISTEN", "/readyz")

    def test_readiness_and_requests_ahead(self):
        """Guards against the same with many requests."""
        self.check_entry(UNKNOWN_REQUESTS, "READY_LISTEN", "/readyz")

    def test_metrics_and_trailers_without_an_end(self):
        """Guards against the same at the listener for metrics."""
        self.check_entry(TRAILERS_OF_UNKNOWN, "METRICS_LISTEN", "/metrics")

    def test_passed_on_requests_and_requests_ahead(self):
        """Guards against the same at the listener for requests that other entries pass on."""
        self.check_entry(UNKNOWN_REQUESTS, "PEER_LISTEN")


class ControlTest(testtools.TestCase):
    """The listener of a control member for operators and targets."""

    def check_control(self, kind):
        async def main():
            with tempfile.TemporaryDirectory() as folder:
                settings = control_settings(folder)
                async with limited_process("control", settings) as process:
                    caller = Caller()
                    plan = configuration(1, "ledger", "desk")
                    put = caller.call, settings["HTTP"], "POST", "/Config.Put", plan
                    await until_answered(*put, Cranberrylever_Base_Version="r0")
                    await asyncio.to_thread(run_crowd, settings["HTTP"], kind)
                    await until_answered(caller.call, settings["HTTP"], "GET", "/Config.Get")
                    caller.close()
                    check_process(self, process)

        asyncio.run(main())

    def test_head_without_an_end(self):
        """Guards against lines of a head that take memory without a bound."""
        self.check_control(ENDLESS_HEAD)

    def test_requests_ahead(self):
        """Guards against a queue of parsed requests without a bound."""
        self.check_control(UNKNOWN_REQUESTS)

    def test_trailers_without_an_end(self):
        """Guards against lines behind a chunked body."""
        self.check_control(TRAILERS_OF_UNKNOWN)

    def test_body_without_an_end(self):
        """Guards against a body that nobody limits."""
        self.check_control(Kind(b"POST /Config.Put HTTP/1.1\r\n" + CHUNKED, CHUNK))


def entry_settings(system):
    return {
        "CLUSTER_ID": CLUSTER_ID,
        "ENTRY_ID": "hostile",
        "LISTEN": free_address(),
        "READY_LISTEN": free_address(),
        "METRICS_LISTEN": free_address(),
        "PEER_LISTEN": free_address(),
        "CONTROL_RPC": system.rpc,
        "FAILURE_DOMAIN": "puget",
        "DRAIN_DELAY": "0.1",
        "FINISH_TIMEOUT": "1",
        **LIMITS,
    }


def control_settings(folder):
    rpc = free_address()
    return {
        "CLUSTER_ID": CLUSTER_ID,
        "RPC": rpc,
        "HTTP": free_address(),
        "DATA_DIR": f"{folder}/data",
        "CONTROL_RPC": rpc,
        "FOUNDERS": rpc,
        "BOOTSTRAP": "true",
        "FINISH_TIMEOUT": "1",
        **LIMITS,
    }


async def until_answered(call, *arguments, **options):
    """Repeat an ordinary request until its status is 200."""
    async with asyncio.timeout(WAIT_S):
        while True:
            with contextlib.suppress(NotSentError, AnswerLostError):
                if (await call(*arguments, **options)).status == HTTPStatus.OK:
                    return
            await asyncio.sleep(0.05)


def check_process(test, process):
    """Check that a process lives and has stayed within its bounds."""
    test.assertIsNone(process.returncode)
    peak = resident_bytes(process.pid, "VmHWM")
    descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
    print(f"peak {peak / 1e6:.0f} MB, {descriptors} descriptors")
    test.assertLess(peak, MAX_RESIDENT_BYTES)
    test.assertLess(descriptors, MAX_DESCRIPTORS)
