"""Helpers for tests of the command line."""

import contextlib
import http.server
import io
import json
import threading

import attrs

from cranberrylever.cli import main


@attrs.frozen
class Result:
    """Exit code and output of one command."""

    code: int
    out: str
    err: str


def run_cli(*arguments):
    """Run the command line in this process."""
    out, err = io.StringIO(), io.StringIO()
    code = 0
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            main(list(arguments))
        except SystemExit as stop:
            code = stop.code or 0
    return Result(int(code), out.getvalue(), err.getvalue())


class FakeControl:
    """HTTP server with scripted responses: (status, content), or ``None`` to close the connection."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        fake = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def respond(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0))).decode()
                token = self.headers.get("Authorization")
                fake.requests.append((self.command, self.path, body, token))
                answer = fake.answers.pop(0) if len(fake.answers) > 1 else fake.answers[0]
                if answer is None:
                    self.close_connection = True
                    return
                content = json.dumps(answer[1]).encode()
                # send_response() writes a status below 100 with fewer than three digits.
                self.wfile.write(b"HTTP/1.0 %03d X\r\n" % answer[0])
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

            do_GET = do_POST = respond  # noqa: N815

            def log_message(self, *arguments):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_port}"
        self.thread = threading.Thread(target=self.server.serve_forever, kwargs={"poll_interval": 0.02})

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *error):
        self.server.shutdown()
        self.thread.join()
        self.server.server_close()


def unused_address():
    """Return a loopback address on which nothing listens."""
    server = http.server.HTTPServer(("127.0.0.1", 0), http.server.BaseHTTPRequestHandler)
    port = server.server_port
    server.server_close()
    return f"127.0.0.1:{port}"
