"""Tests of the embedded HTTP server."""

import asyncio

import aiohttp
import testtools
from starlette.applications import Starlette
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from cranberrylever.http_server import HttpServer


class HttpServerTest(testtools.TestCase):
    def test_ipv6_address(self):
        """Guards against a listener that treats the brackets of an IPv6 address as part of the host."""

        async def main():
            async def answer(request):
                return PlainTextResponse("ok")

            server = HttpServer(Starlette(routes=[Route("/", answer)]), "[::1]:0")
            await server.start()
            url = f"http://{server.bound_address}/"
            async with aiohttp.ClientSession() as session, session.get(url) as response:
                text = await response.text()
            await server.close()
            return text

        self.assertEqual("ok", asyncio.run(main()))
