"""The end of the stop of an entry while answers wait for their callers."""

import asyncio
import functools
import math
import types

import testtools

from cranberrylever.entry._app import EntryApp
from cranberrylever.entry._exchange import Exchange
from cranberrylever.entry._stats import ResponseStats
from cranberrylever.entry._tuning import EntryTuning

OUTCOME = b"cranberrylever-outcome"


class SilentDispatcher:
    """Sends a request to a target that never answers."""

    async def run(self, exchange):
        exchange.possible_runs += 1
        await asyncio.Event().wait()


class StreamingDispatcher:
    """Has a response whose body ends after a while."""

    async def run(self, exchange):
        body = asyncio.StreamReader()
        body.readany = functools.partial(body.read, 65_536)
        body.feed_data(b"first ")
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, body.feed_data, b"last")
        loop.call_later(0.11, body.feed_eof)
        return None, types.SimpleNamespace(
            status=200, raw_headers=(), headers={}, content=body, close=lambda: None
        )

    def finish(self, attempt):
        pass


class SlowCaller:
    """Connection that takes nothing until ``resume``, as its buffer still holds an earlier response."""

    def __init__(self):
        self.messages = []
        self.can_write = asyncio.Event()

    async def send(self, message):
        await self.can_write.wait()
        self.messages.append(message)

    async def receive(self):
        await asyncio.Event().wait()

    def body(self):
        """Return the body and whether it is complete."""
        parts = [message for message in self.messages if message["type"] == "http.response.body"]
        return b"".join(part["body"] for part in parts), not parts[-1]["more_body"]

    def outcome(self):
        """Return status and outcome of the response."""
        (head,) = [message for message in self.messages if message["type"] == "http.response.start"]
        return head["status"], dict(head["headers"]).get(OUTCOME)


def create_app(dispatcher, exchange, time_limit):
    async def read(scope, receive, now):
        exchange.deadline = now + time_limit
        return exchange

    reader = types.SimpleNamespace(read=read, buffered_bytes=0, idempotency_key=lambda headers: "")
    return EntryApp(None, reader, dispatcher, None, EntryTuning(), ResponseStats(), None)


class EndOfStopTest(testtools.TestCase):
    def test_request_that_ran_is_not_called_not_run_while_its_response_waits_for_the_caller(self):
        """Guards against a caller that repeats a request which has run."""

        async def main():
            exchange = Exchange(None, "POST", "/x", [], b"", math.inf, False, "1")
            app = create_app(SilentDispatcher(), exchange, 0.05)
            caller = SlowCaller()
            scope = {"type": "http", "path": "/x", "headers": []}
            request = asyncio.ensure_future(app(scope, caller.receive, caller.send))
            # The deadline has passed; the response to it waits for the caller.
            await asyncio.sleep(0.1)
            app.running.end_all()
            await asyncio.sleep(0.01)
            caller.can_write.set()
            await request
            return caller.outcome()

        assert asyncio.run(main()) == (504, b"unknown")

    def test_response_that_is_being_sent_is_not_cut_off_before_the_limit(self):
        """Guards against half a response whose rest comes before its entry closes the connection."""

        async def main():
            exchange = Exchange(None, "POST", "/x", [], b"", math.inf, False, "1")
            app = create_app(StreamingDispatcher(), exchange, 1.0)
            caller = SlowCaller()
            caller.can_write.set()
            scope = {"type": "http", "path": "/x", "headers": []}
            request = asyncio.ensure_future(app(scope, caller.receive, caller.send))
            await asyncio.sleep(0.05)
            app.running.end_all()
            await request
            return caller.body()

        assert asyncio.run(main()) == (b"first last", True)
