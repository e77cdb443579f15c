"""Tests of the load generator against a stand-in target."""

import asyncio

import testtools
from starlette.applications import Starlette
from starlette.responses import JSONResponse, PlainTextResponse
from starlette.routing import Route

from bench.load import DONE, FAILED, MIXED_UP, NOT_RUN, LoadGenerator, LoadRequest
from cranberrylever.http_server import HttpServer
from cranberrylever.settings import TargetSettings
from cranberrylever.target import create_target


async def answer_other(request):
    return JSONResponse({"path": "/other", "target_id": "t"})


async def refuse(request):
    return PlainTextResponse("full", 503, headers={"Cranberrylever-Outcome": "not-run"})


class LoadGeneratorTest(testtools.TestCase):
    def test_open_and_closed_load_is_served(self):
        """Guards against a generator that drops requests and so reports too high a served share."""

        async def main():
            target = create_target(TargetSettings("t", "s", "127.0.0.1:0", (), "a", service_time_ms=1))
            await target.start()
            generator = LoadGenerator(
                [target.bound_address], lambda number: LoadRequest("GET", f"/s/a?n={number}")
            )
            result = await generator.run_open(rate=200, seconds=0.25)
            opened = result.outcomes[DONE]
            await generator.run_closed(workers=2, seconds=0.1)
            await target.stop()
            return opened, result.outcomes, len(target.record.runs)

        opened, outcomes, runs = asyncio.run(main())
        self.assertEqual(50, opened)
        self.assertEqual({DONE: runs}, dict(outcomes))
        self.assertTrue(runs > 50)

    def test_wrong_refused_and_missing_answers_are_distinguished(self):
        """Guards against counting the answer to another request as served, which hides a violation."""

        async def main():
            routes = [Route("/s/other", answer_other), Route("/s/full", refuse)]
            server = HttpServer(Starlette(routes=routes), "127.0.0.1:0")
            await server.start()
            paths = ["/s/other", "/s/full"]
            generator = LoadGenerator(
                [server.bound_address], lambda number: LoadRequest("GET", paths[number % 2])
            )
            await generator.run_open(rate=100, seconds=0.02)
            await server.close()
            await generator.run_open(rate=100, seconds=0.01)
            return [sample.outcome for sample in generator.result.samples]

        self.assertEqual([MIXED_UP, NOT_RUN, FAILED], asyncio.run(main()))
