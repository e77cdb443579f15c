"""Tests of queues, the request guard and hedging on a loop with simulated time."""

import asyncio

import testtools

from cranberrylever.caller_http import CALLER_GONE, DEADLINE, RequestGuard
from cranberrylever.entry._hedging import HedgedSend
from cranberrylever.entry._queues import WaitQueue
from cranberrylever.errors import NotRunError
from tests.support import run_in_simulated_time


class WaitQueueTest(testtools.TestCase):
    def test_requests_are_resumed_in_order(self):
        """Guards against a later request that overtakes an earlier one."""

        async def main():
            queue = WaitQueue()
            order = []

            async def wait(number):
                await queue.wait(10, False)
                order.append(number)

            tasks = [asyncio.create_task(wait(number)) for number in range(4)]
            await asyncio.sleep(0)
            queue.wake(1)
            await asyncio.sleep(0.1)
            self.assertEqual([0], order)
            queue.wake_all()
            await asyncio.gather(*tasks)
            self.assertEqual([0, 1, 2, 3], order)

        run_in_simulated_time(main)

    def test_cancelled_request_passes_its_wake_up_to_the_next(self):
        """Guards against unused capacity while requests wait, after the resumed request was cancelled."""

        async def main():
            queue = WaitQueue()
            first = asyncio.create_task(queue.wait(10, False))
            second = asyncio.create_task(queue.wait(10, False))
            await asyncio.sleep(0)
            queue.wake(1)
            first.cancel()
            self.assertTrue(await second)
            self.assertLess(asyncio.get_running_loop().time(), 1)
            self.assertTrue(first.cancelled())
            self.assertEqual(0, len(queue))

        run_in_simulated_time(main)

    def test_timeout_removes_the_request_from_the_queue(self):
        """Guards against resuming a request that has already timed out."""

        async def main():
            queue = WaitQueue()
            self.assertFalse(await queue.wait(1.0, False))
            self.assertEqual((0, 1.0), (len(queue), asyncio.get_running_loop().time()))

        run_in_simulated_time(main)


class GuardTest(testtools.TestCase):
    def guarded(self, disconnect_at: float, deadline: float, seconds: float) -> tuple[str, float]:
        """Return the cancellation reason and end time of a guarded sleep of ``seconds``."""

        async def receive():
            await asyncio.sleep(disconnect_at)
            return {"type": "http.disconnect"}

        async def main():
            guard = RequestGuard(receive, deadline, 0.01)
            try:
                await asyncio.sleep(seconds)
            except asyncio.CancelledError:
                self.assertTrue(guard.suppress_cancellation())
            finally:
                guard.close()
            await asyncio.sleep(0)
            return guard.reason, round(asyncio.get_running_loop().time(), 3)

        return run_in_simulated_time(main)

    def test_cancellation_reasons(self):
        """Guards against requests that outlive their deadline or caller, and requests cancelled too early."""
        self.assertEqual((DEADLINE, 1.0), self.guarded(9, 1.0, 5))
        self.assertEqual((DEADLINE, 0.005), self.guarded(9, 0.005, 5))
        self.assertEqual((CALLER_GONE, 0.51), self.guarded(0.5, 1.0, 5))
        self.assertEqual(("", 0.3), self.guarded(0.5, 1.0, 0.3))


class FakeSend:
    """Fake of the send and discard functions; each attempt takes the given time or fails after 0.3 s."""

    def __init__(self, times: dict[str, float | Exception]) -> None:
        self.times = times
        self.cancelled: list[str] = []
        self.discarded: list[str] = []

    async def send(self, attempt: str) -> str:
        time = self.times[attempt]
        try:
            await asyncio.sleep(0.3 if isinstance(time, Exception) else time)
        except asyncio.CancelledError:
            self.cancelled.append(attempt)
            raise
        if isinstance(time, Exception):
            raise time
        return f"answer of {attempt}"

    def discard(self, attempt: str, answer: str | None) -> None:
        self.discarded.append(attempt)

    def start(self, second: str | None = "b") -> HedgedSend:
        return HedgedSend(self.send, lambda: second, self.discard)


class HedgedSendTest(testtools.TestCase):
    def hedge(self, times: dict[str, float | Exception], cancel_at: float | None = None):
        """Return the result or error of a hedged send, its end time and the fake."""
        fake = FakeSend(times)

        async def main():
            loop = asyncio.get_running_loop()
            task = asyncio.create_task(self.run_hedged(fake))
            if cancel_at is not None:
                loop.call_later(cancel_at, task.cancel)
            await asyncio.wait({task})
            ended = round(loop.time(), 3)
            await asyncio.sleep(5)
            if task.cancelled():
                return "cancelled", ended
            return task.exception() or task.result(), ended

        return *run_in_simulated_time(main), fake

    async def run_hedged(self, fake: FakeSend):
        return await fake.start().run("a", 0.1)

    def test_first_answer_wins(self):
        """Guards against a replaced attempt that is not cancelled, and waiting for the slower response."""
        result, ended, fake = self.hedge({"a": 0.05, "b": 9})
        self.assertEqual((("a", "answer of a"), 0.05, []), (result, ended, fake.cancelled))
        result, ended, fake = self.hedge({"a": 0.3, "b": 9})
        self.assertEqual((("a", "answer of a"), 0.3, ["b"]), (result, ended, fake.cancelled))
        result, ended, fake = self.hedge({"a": 9, "b": 0.2})
        self.assertEqual((("b", "answer of b"), 0.3, ["a"]), (result, ended, fake.cancelled))

    def test_failed_first_attempt_waits_for_the_hedge(self):
        """Guards against returning an error while the other attempt is still running."""
        error = NotRunError("refused", "retry")
        result, ended, _ = self.hedge({"a": error, "b": 0.5})
        self.assertEqual((("b", "answer of b"), 0.6), (result, ended))
        result, _, _ = self.hedge({"a": error, "b": error})
        self.assertIs(error, result)

    def test_failed_hedge_leaves_the_first_attempt(self):
        """Guards against a failed hedge that ends the request while the first attempt is running."""
        result, ended, _ = self.hedge({"a": 0.8, "b": NotRunError("refused", "retry")})
        self.assertEqual((("a", "answer of a"), 0.8), (result, ended))

    def test_cancellation_ends_both(self):
        """Guards against an attempt that keeps running after the request was cancelled."""
        result, ended, fake = self.hedge({"a": 9, "b": 9}, cancel_at=0.5)
        self.assertEqual(("cancelled", 0.5, ["a", "b"]), (result, ended, sorted(fake.cancelled)))

    def test_cancellation_coinciding_with_the_hedge(self):
        """Guards against a lost cancellation or an unclosed response.

        The request is cancelled at the time at which the hedge starts, or at which it is answered.
        """
        for cancel_at in (0.1, 0.3):
            result, _, fake = self.hedge({"a": 9, "b": 0.2}, cancel_at=cancel_at)
            ended = {*fake.cancelled, *fake.discarded}
            self.assertEqual("cancelled", result)
            self.assertIn("a", ended)
            self.assertTrue("b" in ended or cancel_at == 0.1)
