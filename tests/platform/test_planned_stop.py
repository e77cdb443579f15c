"""Requests at an entry that is asked to stop, over loopback."""

import asyncio
import functools
import socket
import tempfile

import testtools

from tests.caller_http.slow_reader import SlowReader
from tests.platform.entry_process import EntryProcess
from tests.platform.fakes import configuration
from tests.platform.running_system import RunningSystem

DRAIN_DELAY_S = 0.1
FINISH_TIMEOUT_S = 1.0
BODY_BYTES = 6_000_000
START_TIMEOUT_S = 15.0
SILENT_S = 30.0
LATE_WORK_S = 0.5


def refuse_first_request_late(targets, seconds):
    """Let one target refuse the first request after a while; return the list that gets its id."""
    refusals = []
    for target in targets:
        target.work = LATE_WORK_S
        target.ran.clear()
        target._answer = functools.partial(_refuse_or_answer, target, target._answer, refusals, seconds)
    return refusals


async def _refuse_or_answer(target, answer, refusals, seconds, method, path, headers, body):
    if refusals or not path.startswith("/desk"):
        return await answer(method, path, headers, body)
    refusals.append(target.target_id)
    await asyncio.sleep(seconds)
    request_id = headers["cranberrylever-request-id"]
    return 503, {"Cranberrylever-Request-Id": request_id, "Cranberrylever-Not-Executed": "1"}, b""


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
    entry.log = entry.app.request_log.log = RecordedLog()
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


async def stop_with_a_long_request(is_answered):
    """Stop an entry with a request that lasts longer, and keep it from answering that itself if asked to.

    Returns:
        The id of the request, and the log lines of the entry.
    """
    async with RunningSystem() as system:
        await system.prepare()
        for target in system.targets:
            target.work = 3.0
        entry = system.route_entries[0]
        entry.log = entry.app.request_log.log = RecordedLog()
        if not is_answered:
            entry.app.running.end_all = lambda: 0
        running = asyncio.ensure_future(system.request("POST", "/desk/x", deadline_ms=2000))
        await asyncio.sleep(0.05)
        request_id = f"q{system.requests}"
        await entry.close()
        system.route_entries.clear()
        (answer,) = await asyncio.gather(running, return_exceptions=True)
        assert not (is_answered and isinstance(answer, Exception)), answer
        return request_id, entry.log.lines


def request_line(lines, request_id):
    """Return the fields of the log line of a request."""
    (line,) = [fields for name, fields in lines if name == "request" and fields["request_id"] == request_id]
    return line


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
        request_id, lines = asyncio.run(stop_with_a_long_request(is_answered=False))
        assert ("requests_cut_off", {"requests": 1, "ids": [request_id]}) in lines
        line = request_line(lines, request_id)
        assert line["outcome"] == "cut off"
        assert line["reason"] == "the time that an entry has to stop is over"
        stop_ms = (DRAIN_DELAY_S + FINISH_TIMEOUT_S) * 1000
        assert stop_ms <= line["stopping_ms"] < stop_ms + 300, line

    def test_requests_that_the_stop_ends_are_logged(self):
        """Guards against an answer of the entry whose cause its logs do not show."""
        request_id, lines = asyncio.run(stop_with_a_long_request(is_answered=True))
        assert ("requests_ended", {"requests": 1, "ids": [request_id]}) in lines
        line = request_line(lines, request_id)
        assert (line["outcome"], line["status"]) == ("unknown", 504)
        assert line["reason"].startswith("the entry stops"), line
        assert line["stopping_ms"] < (DRAIN_DELAY_S + FINISH_TIMEOUT_S) * 1000, line

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

    def test_request_at_a_silent_target_is_answered_before_the_stop(self):
        """Guards against a connection that an entry closes at its stop without an answer to its request."""

        async def main():
            async with RunningSystem() as system:
                await system.prepare()
                for target in system.targets:
                    target.work = SILENT_S
                running = asyncio.ensure_future(system.request("POST", "/desk/x"))
                await asyncio.sleep(0.05)
                await system.route_entries[0].close()
                system.route_entries.clear()
                return await running

        answer = asyncio.run(main())
        assert answer.status == 504, answer
        assert answer.header(b"connection") == b"close"

    def test_request_whose_body_is_still_coming_is_refused_before_the_stop(self):
        """Guards against a caller that sends a long body and never learns that it has not run."""

        async def main():
            async with RunningSystem() as system:
                await system.prepare()
                host, port = system.entry.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"POST /desk/x HTTP/1.1\r\nhost: h.example\r\ncontent-length: 9\r\n\r\nbody")
                await asyncio.sleep(0.05)
                await system.route_entries[0].close()
                system.route_entries.clear()
                answer = await reader.read()
                writer.close()
                await writer.wait_closed()
                return answer

        assert asyncio.run(main()).startswith(b"HTTP/1.1 503 ")

    def test_request_whose_body_ends_too_late_for_an_answer_is_not_sent(self):
        """Guards against a request that is sent to a target just before the stop breaks it off."""

        async def main():
            async with RunningSystem() as system:
                await system.prepare()
                for target in system.targets:
                    target.work = LATE_WORK_S
                    target.ran.clear()
                entry = system.route_entries[0]
                for _ in range(20):
                    entry.dispatcher.service_times.record("b", LATE_WORK_S)
                host, port = system.entry.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"POST /desk/x HTTP/1.1\r\nhost: h.example\r\ncontent-length: 9\r\n\r\nbody")
                await asyncio.sleep(0.05)
                stop = asyncio.ensure_future(entry.close())
                await asyncio.sleep(DRAIN_DELAY_S + FINISH_TIMEOUT_S - LATE_WORK_S / 2)
                writer.write(b" ends")
                answer = await reader.read()
                await stop
                system.route_entries.clear()
                writer.close()
                await writer.wait_closed()
                return answer, [target.ran for target in system.targets if target.ran]

        answer, ran = asyncio.run(main())
        assert answer.startswith(b"HTTP/1.1 503 "), answer
        assert not ran, ran

    def test_request_refused_late_by_a_target_is_not_sent_to_another(self):
        """Guards against a retry that the stop breaks off, so that its caller may not send it again."""

        async def main():
            async with RunningSystem() as system:
                await system.prepare()
                entry = system.route_entries[0]
                for _ in range(20):
                    entry.dispatcher.service_times.record("b", LATE_WORK_S)
                refused_after = DRAIN_DELAY_S + FINISH_TIMEOUT_S - LATE_WORK_S / 2
                refusals = refuse_first_request_late(system.targets, refused_after)
                running = asyncio.ensure_future(system.request("POST", "/desk/x", deadline_ms=5000))
                await asyncio.sleep(0.05)
                await entry.close()
                system.route_entries.clear()
                ran = [target.ran for target in system.targets if target.ran]
                return (await running).status, refusals, ran

        status, refusals, ran = asyncio.run(main())
        assert len(refusals) == 1, refusals
        assert not ran, ran
        assert status == 503

    def test_process_with_running_requests_ends_before_it_is_killed(self):
        """Guards against a stop that takes longer than the grace period, with its log and answers lost."""

        async def main():
            async with RunningSystem(cluster_id="cranberrylever") as system:
                await system.prepare()
                assert await system.put(configuration(4, "ledger", "desk", timeout=SILENT_S), 3) == 200
                with tempfile.TemporaryDirectory() as folder:
                    entry = EntryProcess(system, folder)
                    await entry.start()

                    async def is_served():
                        try:
                            answer = await system.request("POST", "/desk/x", entry=entry.address)
                        except Exception:
                            return False
                        return answer.status

                    await system.until(is_served, seconds=START_TIMEOUT_S)
                    for target in system.targets:
                        target.work = SILENT_S
                    request = system.request("POST", "/desk/x", entry=entry.address, deadline_ms=10_000)
                    running = asyncio.ensure_future(request)
                    await asyncio.sleep(0.05)
                    status = await entry.stop()
                    (answer,) = await asyncio.gather(running, return_exceptions=True)
                    return status, answer

        status, answer = asyncio.run(main())
        assert status == 0, (status, answer)
        assert getattr(answer, "status", None) == 504, answer

    def test_request_after_the_listener_has_closed_is_refused_at_once(self):
        """Guards against a request on a connection that the stop did not see, which is then cut off."""

        async def main():
            async with RunningSystem() as system:
                await system.prepare()
                for target in system.targets:
                    target.work = SILENT_S
                entry = system.route_entries[0]
                # As if the connection were set up only after the listener has closed.
                entry.servers[0]._close_idle = lambda: None
                # The stop lasts as long as this request runs.
                running = asyncio.ensure_future(system.request("POST", "/desk/x"))
                host, port = system.entry.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                await asyncio.sleep(0.05)
                stop = asyncio.ensure_future(entry.close())
                await asyncio.sleep(DRAIN_DELAY_S + 0.2)
                writer.write(b"POST /desk/x HTTP/1.1\r\nhost: h.example\r\ncontent-length: 0\r\n\r\n")
                started_at = asyncio.get_running_loop().time()
                answer = await reader.read()
                elapsed = asyncio.get_running_loop().time() - started_at
                await stop
                await asyncio.gather(running, return_exceptions=True)
                system.route_entries.clear()
                writer.close()
                await writer.wait_closed()
                return answer, elapsed

        answer, elapsed = asyncio.run(main())
        assert answer.startswith(b"HTTP/1.1 503 "), answer
        assert elapsed < 0.3, elapsed

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
