"""Calls about keys to targets that repeat answers, and to an address that another target has got."""

import asyncio
import importlib

import testtools

from cranberrylever.route_control import GrantAnswer, KeyGrant
from cranberrylever.target_registry import RegisteredTarget
from tests.platform.fakes import FakeTarget

grant_client = importlib.import_module("grant_client")

WORK_S = 0.2
"""Time for which the target works on keys after their release has arrived."""

REPEATED_ANSWER = b"HTTP/1.1 200 X\r\ncontent-length: 0\r\n\r\n"
RELEASE_ANSWER = b"HTTP/1.1 200 X\r\ncranberrylever-handover: t\r\ncontent-length: 0\r\n\r\n"


async def read_call(reader):
    """Read a call with its body; return its head in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    length = int(head.partition("content-length: ")[2].partition("\r\n")[0])
    await reader.readexactly(length)
    return head


class RepeatingTarget:
    """A target that sends the answer to a grant once more when the next call arrives on the connection."""

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def close(self):
        self.server.close()
        await self.server.wait_closed()

    async def _serve(self, reader, writer):
        has_granted = False
        try:
            while True:
                head = await read_call(reader)
                if has_granted:
                    writer.write(REPEATED_ANSWER)
                if "/release" in head:
                    await asyncio.sleep(WORK_S)
                    writer.write(RELEASE_ANSWER)
                else:
                    has_granted = True
                    writer.write(REPEATED_ANSWER)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class RejectingTarget(RepeatingTarget):
    """A target that rejects the first grant, and repeats that answer when the next call arrives on it."""

    def __init__(self, status):
        self.rejection = b"HTTP/1.1 %d X\r\ncontent-length: 0\r\n\r\n" % status
        self.has_rejected = False

    async def _serve(self, reader, writer):
        late = b""
        try:
            while True:
                await read_call(reader)
                answer = REPEATED_ANSWER if self.has_rejected else self.rejection
                writer.write(late + answer)
                late = answer if not self.has_rejected else b""
                self.has_rejected = True
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class GrantClientTest(testtools.TestCase):
    def test_repeated_answer_to_a_grant_does_not_confirm_a_release(self):
        """Guards against keys that get another owner while their target still works on them."""

        async def main():
            server = RepeatingTarget()
            target = RegisteredTarget("i-1", 1, "ledger", await server.start(), "z", 3)
            client = grant_client.PlatformGrantClient()
            loop = asyncio.get_running_loop()
            assert await client.grant(target, KeyGrant(0, 9, 1, 2.5)) is GrantAnswer.GRANTED
            started_at = loop.time()
            token = await client.release(target, 0, 9, 1)
            assert token == "t", token
            assert loop.time() - started_at >= 0.9 * WORK_S
            await client.close()
            await server.close()

        asyncio.run(main())

    def test_repeated_rejection_does_not_reject_a_later_grant(self):
        """Guards against keys that count as free, and get a second holder, while their target holds them."""

        async def main():
            for rejection, first in ((409, GrantAnswer.REFUSED), (421, GrantAnswer.MISDIRECTED)):
                server = RejectingTarget(rejection)
                target = RegisteredTarget("i-1", 1, "ledger", await server.start(), "z", 3)
                client = grant_client.PlatformGrantClient()
                assert await client.grant(target, KeyGrant(0, 9, 1, 2.5)) is first
                assert await client.grant(target, KeyGrant(10, 19, 2, 2.5)) is GrantAnswer.GRANTED
                await client.close()
                await server.close()

        asyncio.run(main())

    def test_grant_for_a_target_whose_address_another_one_has(self):
        """Guards against a second target that holds keys under the fence of the first one at its address."""

        async def main():
            successor = FakeTarget("i-2", "ledger", "z", 2)
            await successor.start()
            ended = RegisteredTarget("i-1", 1, "ledger", successor.address, "z", 3)
            client = grant_client.PlatformGrantClient()
            assert await client.grant(ended, KeyGrant(0, 9, 1, 2.5)) is GrantAnswer.MISDIRECTED
            assert await client.release(ended, 0, 9, 1) is None
            assert successor.holds == []
            await client.close()
            await successor.close()

        asyncio.run(main())
