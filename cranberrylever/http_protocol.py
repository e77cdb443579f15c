"""HTTP/1.1 connection of a listener that refuses requests whose recipient is ambiguous."""

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

_HOST = b"host"


class StrictHttpProtocol(HttpToolsProtocol):
    """Connection that answers a request without a Host header, or with two, by 400, and closes."""

    is_rejected = False

    def data_received(self, data: bytes) -> None:
        """Parse data; the rest of a rejected connection is dropped."""
        if not self.is_rejected:
            super().data_received(data)

    def on_headers_complete(self) -> None:
        """Start the request unless it is rejected."""
        if self.is_rejected:
            return
        hosts = sum(name == _HOST for name, _ in self.headers)
        if hosts != 1 and self.parser.get_http_version() == "1.1":
            self.reject(_bad_host_answer(hosts))
            return
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on to the application."""
        if not self.is_rejected:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """End the body of the request."""
        if not self.is_rejected:
            super().on_message_complete()

    def reject(self, answer: bytes) -> None:
        """Send ``answer`` and close; while earlier requests wait for theirs, close after these instead."""
        self.is_rejected = True
        if self.transport.is_closing():
            return
        if self.cycle is not None and not self.cycle.response_complete:
            self.cycle.keep_alive = False
            return
        self.transport.write(answer)
        self.transport.close()


def _bad_host_answer(hosts: int) -> bytes:
    body = b'{"error": "%d Host headers", "remedy": "send exactly one"}' % hosts
    head = (
        "HTTP/1.1 400 Bad Request\r\ncranberrylever-outcome: not-run\r\ncontent-type: application/json\r\n"
        f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
    )
    return head.encode() + body
