"""Deadline of a request and an answer at the same moment."""

import asyncio
import time

import testtools

from cranberrylever.caller_http import RequestGuard


class RequestGuardTest(testtools.TestCase):
    def test_answer_that_is_read_together_with_the_deadline_is_not_dropped(self):
        """Guards against a busy entry that answers 504 though it has the answer of a target."""

        async def main():
            loop = asyncio.get_running_loop()
            answer = loop.create_future()
            deadline = loop.time() + 0.05
            guard = RequestGuard(asyncio.Event().wait, deadline, 0.01)
            # The loop is busy while the answer comes and the deadline passes, then sees both at once.
            loop.call_at(deadline - 0.01, time.sleep, 0.02)
            loop.call_at(deadline - 0.005, answer.set_result, "answer")
            try:
                return await answer
            except asyncio.CancelledError:
                guard.suppress_cancellation()
                return guard.reason
            finally:
                guard.close()

        assert asyncio.run(main()) == "answer"
