"""Tests of answers that wait at their targets for memory, against scripted servers."""

import asyncio

import testtools

from cranberrylever.answer_memory import AnswerMemory
from cranberrylever.target_http import TargetPool
from tests.target_http.test_connection import REQUEST, ScriptedServer, answer

SIZE = 2_000_000


async def send_large(writer):
    writer.write(answer(b"r", b"b" * SIZE))
    await writer.drain()


class AnswerMemoryTest(testtools.TestCase):
    def run_exchanges(self, scenario):
        async def main():
            memory = AnswerMemory(SIZE)
            pool = TargetPool(memory=memory)
            async with asyncio.timeout(5.0), ScriptedServer(*[send_large] * 3) as server:
                first = await pool.exchange(server.address, b"GET", REQUEST)
                second = asyncio.create_task(pool.exchange(server.address, b"GET", REQUEST))
                while not memory.waiting:
                    await asyncio.sleep(0.005)
                result = await scenario(memory, first, second, server, pool)
                pool.close()
            return result

        return asyncio.run(main())

    def test_large_answer_waits_until_another_one_is_given(self):
        """Guards against answers that come at the same moment and do not fit into memory together."""

        async def scenario(memory, first, second, server, pool):
            await asyncio.sleep(0.1)
            is_waiting, held = not second.done(), memory.held
            first.place = None
            return is_waiting, held, len((await second).body)

        assert self.run_exchanges(scenario) == (True, SIZE, SIZE)

    def test_answer_that_nobody_waits_for_leaves_the_line(self):
        """Guards against a cancelled request whose answer keeps the next ones waiting."""

        async def scenario(memory, first, second, server, pool):
            third = asyncio.create_task(pool.exchange(server.address, b"GET", REQUEST))
            while len(memory.waiting) < 2:
                await asyncio.sleep(0.005)
            second.cancel()
            await asyncio.gather(second, return_exceptions=True)
            waiting = len(memory.waiting)
            first.place = None
            return waiting, len((await third).body)

        assert self.run_exchanges(scenario) == (1, SIZE)

    def test_answers_without_a_body_take_no_memory(self):
        """Guards against answers to HEAD, 204 and 304, whose length names a body that does not come."""

        def head_of(status):
            async def send(writer):
                writer.write(b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n" % (status, SIZE))

            return send

        async def main():
            held = []
            for method, status in ((b"HEAD", 200), (b"GET", 204), (b"GET", 304)):
                memory = AnswerMemory(SIZE)
                pool = TargetPool(memory=memory)
                async with asyncio.timeout(5.0), ScriptedServer(head_of(status)) as server:
                    answer = await pool.exchange(server.address, method, REQUEST.replace(b"GET", method))
                    held.append((answer.status, memory.held, len(memory.waiting)))
                    pool.close()
            return held

        assert asyncio.run(main()) == [(200, 0, 0), (204, 0, 0), (304, 0, 0)]
