"""Requests at an entry that is asked to stop, over loopback."""

import asyncio
import socket

import testtools

from tests.caller_http.slow_reader import SlowReader
from tests.platform.running_system import RunningSystem

DRAIN_DELAY_S = 0.1
FINISH_TIMEOUT_S = 1.0
BODY_BYTES = 6_000_000


class RecordedLog:
    """Log that keeps the lines of a program."""

    def __init__(self):
        self.lines = []

    def info(self, name, **fields):
        self.lines.append((name, fields))

    warning = info


def post(request_id):
    """Return a request whose answer is as large as its body."""
    head = (
        "POST /desk/x HTTP/1.1\r\nHost: h.example\r\nCranberrylever-Deadline-Ms: 1500\r\n"
        f"Cranberrylever-Request-Id: {request_id}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    )
    return head.encode() + b"b" * BODY_BYTES


async def read_slowly(system, rate):
    """Stop an entry whose answers two callers read slowly, the second one that of a request passed on.

    Returns:
        The lengths of the bodies that they get, and the log lines of the entry.
    """
    entry = system.route_entries.pop()
    entry.log = entry.app.log = RecordedLog()
    addresses = [entry.settings.listen, entry.settings.peer_listen]
    readers = [SlowReader(address, post(f"s{n}"), rate) for n, address in enumerate(addresses)]
    for reader in readers:
        reader.start()
    async with asyncio.timeout(5.0):
        while sum(name == "request" for name, _ in entry.log.lines) < len(readers):
            await asyncio.sleep(0.01)
    await entry.close()
    for server in entry.servers:  # as at the end of the process
        for connection in list(server.state.connections):
            connection.transport.abort()
    await asyncio.to_thread(lambda: [reader.finish() for reader in readers])
    return [len(reader.body) for reader in readers], entry.log.lines


class PlannedStopTest(testtools.TestCase):
    def test_request_that_cannot_finish_before_the_stop_is_refused_at_once(self):
        """Guards against a request that is accepted during a stop and cut off without an answer."""

        async def main():
            async with RunningSystem() as system:
                await system.prepare()
                entry = system.route_entries[0]
                for _ in range(20):
                    entry.dispatcher.service_times.record("b", 4.0)
                loop = asyncio.get_running_loop()
                stop = loop.create_task(entry.close())
                await asyncio.sleep(DRAIN_DELAY_S / 2)
                started_at = loop.time()
                answer = await system.request("POST", "/desk/x")
                elapsed = loop.time() - started_at
                await stop
                system.route_entries.clear()
                return answer.status, elapsed

        status, elapsed = asyncio.run(main())
        assert status == 503
        assert elapsed < 0.3, elapsed

    def test_requests_that_are_cut_off_are_logged(self):
        """Guards against a lost answer whose cause the logs of the entry do not show."""

        async def main():
            async with RunningSystem() as system:
                await system.prepare()
                for target in system.targets:
                    target.work = 3.0
                entry = system.route_entries[0]
                entry.log = entry.app.log = RecordedLog()
                running = asyncio.ensure_future(system.request("POST", "/desk/x"))
                await asyncio.sleep(0.05)
                request_id = f"q{system.requests}"
                await entry.close()
                system.route_entries.clear()
                await asyncio.gather(running, return_exceptions=True)
                return request_id, entry.log.lines

        request_id, lines = asyncio.run(main())
        assert ("requests_cut_off", {"requests": 1, "ids": [request_id]}) in lines
        (line,) = [
            fields for name, fields in lines if name == "request" and fields["request_id"] == request_id
        ]
        assert line["outcome"] == "cut off"
        assert line["reason"] == "the time that an entry has to stop is over"
        stop_ms = (DRAIN_DELAY_S + FINISH_TIMEOUT_S) * 1000
        assert stop_ms <= line["stopping_ms"] < stop_ms + 300, line

    def test_request_is_answered_until_just_before_the_stop(self):
        """Guards against an entry that cuts off a request before the time that it has to finish."""

        async def main():
            async with RunningSystem() as system:
                await system.prepare()
                for target in system.targets:
                    target.work = DRAIN_DELAY_S + FINISH_TIMEOUT_S - 0.2
                running = asyncio.ensure_future(system.request("POST", "/desk/x"))
                await asyncio.sleep(0.05)
                await system.route_entries[0].close()
                system.route_entries.clear()
                return (await running).status

        assert asyncio.run(main()) == 200

    def test_stop_waits_until_slow_readers_have_their_answers(self):
        """Guards against an answer of which a part is in the send buffer when the process ends."""

        async def main():
            async with RunningSystem() as system:
                await system.prepare()
                return await read_slowly(system, rate=8_000_000.0)

        sizes, lines = asyncio.run(main())
        assert sizes == [BODY_BYTES + len("ran ")] * 2, sizes
        assert not [name for name, _ in lines if name.endswith("cut_off")]

    def test_answers_that_are_cut_off_are_logged(self):
        """Guards against a part of an answer whose cause the logs of the entry do not show."""

        async def main():
            async with RunningSystem() as system:
                await system.prepare()
                return await read_slowly(system, rate=500_000.0)

        sizes, lines = asyncio.run(main())
        assert max(sizes) < BODY_BYTES, sizes
        (line,) = [fields for name, fields in lines if name == "answers_cut_off"]
        assert (line["answers"], line["ids"]) == (2, ("s0", "s1"))
        assert line["unsent_bytes"] > 0

    def test_readiness_check_that_stays_connected_does_not_prolong_the_stop(self):
        """Guards against a stop that is killed while it waits for a connection that carries no request."""

        async def main():
            async with RunningSystem() as system:
                await system.prepare()
                entry = system.route_entries.pop()
                host, port = entry.settings.ready_listen.split(":")
                with socket.create_connection((host, int(port))) as connection:
                    connection.sendall(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                    await asyncio.sleep(0.05)
                    started = asyncio.get_running_loop().time()
                    await entry.close()
                    return asyncio.get_running_loop().time() - started

        elapsed = asyncio.run(main())
        assert elapsed < DRAIN_DELAY_S + 0.6, elapsed
