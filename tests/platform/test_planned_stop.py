"""Requests at an entry that is asked to stop, over loopback."""

import asyncio

import testtools

from tests.platform.running_system import RunningSystem

DRAIN_DELAY_S = 0.1
FINISH_TIMEOUT_S = 1.0


class RecordedLog:
    """Log that keeps the lines of a program."""

    def __init__(self):
        self.lines = []

    def info(self, name, **fields):
        self.lines.append((name, fields))

    warning = info


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
