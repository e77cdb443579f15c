"""Tests of requests whose headers are ambiguous, at the listeners of all programs."""

import asyncio

import attrs
import testtools

from cranberrylever.caller_http import CallerServer
from cranberrylever.http_server import HttpServer
from cranberrylever.route_entry import RouteEntryTuning

GOOD = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"
WITHOUT_HOST = b"GET /b HTTP/1.1\r\naccept: */*\r\n\r\n"
TWO_HOSTS = b"POST /c HTTP/1.1\r\nhost: x\r\nhost: y\r\ncontent-length: 3\r\n\r\nabc"
LARGE = b"GET /d HTTP/1.1\r\nhost: x\r\nname: " + b"v" * 70_000 + b"\r\n\r\n"
INVALID = b"no request\r\n\r\n"
SLOW_S = 0.1
ARRIVAL_S = 0.3


class RecordingApp:
    """Application that answers each request with its path, those for ``/a`` slowly."""

    def __init__(self):
        self.paths = []

    async def __call__(self, scope, receive, send):
        self.paths.append(scope["path"])
        await receive()
        if scope["path"] == "/a":
            await asyncio.sleep(SLOW_S)
        body = scope["path"].encode() + b"".join(name for name, _ in scope["headers"] if name == b"name")
        headers = [(b"content-length", str(len(body)).encode())]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": body, "more_body": False})


class StrictHttpTest(testtools.TestCase):
    def exchange(self, create_server, data):
        """Return all bytes that a listener answers to ``data``, and the paths that the application saw."""

        async def main():
            app = RecordingApp()
            server = create_server(app)
            await server.start()
            host, _, port = server.bound_address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            try:
                async with asyncio.timeout(3.0):
                    answer = await reader.read()
            finally:
                writer.close()
                if isinstance(server, HttpServer):
                    await server.close()
                else:
                    server.stop_accepting()
                    await server.wait_finished(asyncio.get_running_loop().time() + 1.0)
                    await server.close()
            return answer, app.paths

        return asyncio.run(main())

    def servers(self):
        yield lambda app: CallerServer(app, "127.0.0.1:0", RouteEntryTuning())
        yield lambda app: HttpServer(app, "127.0.0.1:0")

    def test_request_without_one_host_is_refused(self):
        """Guards against a request whose recipient two programs read differently."""
        for create_server in self.servers():
            for data in (WITHOUT_HOST, TWO_HOSTS):
                answer, paths = self.exchange(create_server, data)
                assert answer.startswith(b"HTTP/1.1 400 "), answer
                assert b"connection: close" in answer
                assert answer.count(b"HTTP/1.1") == 1
                assert paths == []

    def test_refusal_does_not_overtake_the_answer_to_an_earlier_request(self):
        """Guards against a caller that takes the refusal of its second request for the first one's answer."""
        for create_server in self.servers():
            for data in (WITHOUT_HOST, TWO_HOSTS, INVALID):
                answer, paths = self.exchange(create_server, GOOD + data)
                assert answer.startswith(b"HTTP/1.1 200 "), answer
                assert answer.endswith(b"/a")
                assert paths == ["/a"]

    def test_refusal_of_large_headers_does_not_overtake_either(self):
        """Guards against the same with headers that are too large."""
        create_server = next(self.servers())
        answer, paths = self.exchange(create_server, GOOD + LARGE)
        assert answer.startswith(b"HTTP/1.1 200 "), answer
        assert paths == ["/a"]
        answer, paths = self.exchange(create_server, LARGE)
        assert answer.startswith(b"HTTP/1.1 431 "), answer
        assert paths == []

    def test_refusal_of_large_headers_holds_at_the_listeners_of_all_programs(self):
        """Guards against a listener that reads a head without a bound."""
        for create_server in self.servers():
            answer, paths = self.exchange(create_server, LARGE)
            assert answer.startswith(b"HTTP/1.1 431 "), answer
            assert paths == []

    def test_request_behind_one_that_asks_for_an_upgrade_is_served(self):
        """Guards against the rest of an upgrade that is read as the middle of a request."""
        upgrade = GOOD.replace(b"\r\n\r\n", b"\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n")
        last = b"GET /e HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
        answer, paths = self.exchange(next(self.servers()), upgrade + last)
        assert paths == ["/a", "/e"], (paths, answer)

    def test_trailers_are_no_headers(self):
        """Guards against a trailer that an application takes for a header, and trailers without an end."""
        chunked = b"POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"
        for create_server in self.servers():
            last = b"name: 1\r\n\r\n" + GOOD.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n")
            answer, paths = self.exchange(create_server, chunked + last)
            assert answer.count(b"HTTP/1.1 200 ") == 2, answer
            assert b"name" not in answer
            answer, _ = self.exchange(create_server, chunked + b"name: 1\r\n" * 10_000)
            assert answer.startswith(b"HTTP/1.1 400 "), answer
            assert answer.count(b"HTTP/1.1") == 1


class SlowHeadTest(testtools.TestCase):
    def test_head_that_arrives_byte_by_byte_ends_its_connection(self):
        """Guards against callers that hold descriptors by a byte from time to time."""

        async def main():
            tuning = attrs.evolve(RouteEntryTuning(), header_timeout=ARRIVAL_S)
            server = CallerServer(RecordingApp(), "127.0.0.1:0", tuning)
            await server.start()
            host, _, port = server.bound_address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET / HTTP/1.1\r\n")
            bytes_sent = 0
            while not (reader.at_eof() or reader.exception()) and bytes_sent < 100:
                writer.write(b"a")
                bytes_sent += 1
                await asyncio.sleep(ARRIVAL_S / 10)
            writer.close()
            server.stop_accepting()
            await server.wait_finished(asyncio.get_running_loop().time() + 1.0)
            await server.close()
            return bytes_sent

        assert asyncio.run(main()) < 100


class ConnectionsTest(testtools.TestCase):
    def test_connections_without_a_request_make_room_for_an_ordinary_caller(self):
        """Guards against callers that take all connections and send nothing, or a part of a head."""

        async def main():
            tuning = attrs.evolve(RouteEntryTuning(), max_connections=4)
            server = CallerServer(RecordingApp(), "127.0.0.1:0", tuning)
            await server.start()
            host, _, port = server.bound_address.rpartition(":")
            silent = [await asyncio.open_connection(host, int(port)) for _ in range(20)]
            for _, writer in silent:
                writer.write(b"GET / HTTP/1.1\r\n")
            await asyncio.sleep(0.1)
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(GOOD)
            async with asyncio.timeout(3.0):
                answer = await reader.read(12)
            kept = sum(not (reader.at_eof() or reader.exception()) for reader, _ in silent)
            for _, silent_writer in [*silent, (reader, writer)]:
                silent_writer.close()
            server.stop_accepting()
            await server.wait_finished(asyncio.get_running_loop().time() + 1.0)
            await server.close()
            return answer, kept

        assert asyncio.run(main()) == (b"HTTP/1.1 200", 3)
