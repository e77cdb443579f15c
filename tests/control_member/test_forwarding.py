"""Requests that a member forwards to the leader, over loopback."""

import asyncio

import testtools
from starlette.requests import Request

from cranberrylever.control_member import LeaderForwarder


class ForwardingTest(testtools.TestCase):
    def test_query_is_forwarded(self):
        """Guards against a plan that the leader refuses because its base is lost on the way."""

        async def main():
            lines = []

            async def serve(reader, writer):
                head = await reader.readuntil(b"\r\n\r\n")
                lines.append(head.split(b"\r\n")[0])
                writer.write(b"HTTP/1.1 200 X\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")
                writer.close()
                await writer.wait_closed()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            forwarder = LeaderForwarder(lambda member: f"127.0.0.1:{port}")
            for query in (b"base=3", b""):
                scope = {
                    "type": "http",
                    "method": "PUT",
                    "path": "/v1/plan",
                    "raw_path": b"/v1/plan",
                    "query_string": query,
                    "headers": [],
                }
                response = await forwarder.forward(Request(scope), b"{}", "leader")
                assert response.status_code == 200
            await forwarder.close()
            server.close()
            await server.wait_closed()
            return lines

        expected = [b"PUT /v1/plan?base=3 HTTP/1.1", b"PUT /v1/plan HTTP/1.1"]
        assert asyncio.run(main()) == expected
