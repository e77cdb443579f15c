"""HTTP/1.1 connection of a listener that refuses requests whose recipient is ambiguous."""

import asyncio
from collections.abc import Callable

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from cranberrylever.answer_memory import AnswerMemory
from cranberrylever.http_transport import AnswerTransport

_HOST = b"host"


class StrictHttpProtocol(HttpToolsProtocol):
    """Connection that answers a request without a Host header, or with two, by 400, and closes.

    It ends in a way by which callers get each answer that was written before.
    """

    memory = AnswerMemory()
    is_rejected = False
    answering: RequestResponseCycle | None = None
    answered_scope: dict | None = None
    """Scope of the last request whose answer is complete, though it may not have left the process yet."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accept the connection."""
        super().connection_made(AnswerTransport(transport, self.loop, self.memory))

    def connection_lost(self, error: Exception | None) -> None:
        """End the request that runs and release what the connection holds."""
        super().connection_lost(error)
        self.transport.on_lost()

    def pause_writing(self) -> None:
        """Hold back further answers until the last byte of this one has left the process."""
        super().pause_writing()
        self.transport.on_full()

    def resume_writing(self) -> None:
        """Go on after the last byte of an answer has left the process."""
        super().resume_writing()
        self.transport.on_empty()

    def data_received(self, data: bytes) -> None:
        """Parse data; the rest of a rejected connection and of one that ends is dropped."""
        if self.transport.is_ending:
            self.transport.drop(data)
        elif not self.is_rejected:
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

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Callable) -> None:
        self.answering = cycle
        super()._start_asgi_task(cycle, app)

    def on_response_complete(self) -> None:
        """Start the next request, if there is one."""
        self.answered_scope = self.answering.scope
        super().on_response_complete()

    def shutdown(self) -> None:
        """Close the connection once the requests that it has read are answered."""
        if self.cycle is None:
            self.transport.end()
        else:
            super().shutdown()

    def timeout_keep_alive_handler(self) -> None:
        """Close a connection that is idle for too long; one without an answer loses none by it."""
        if self.cycle is None:
            self.transport.end()
        else:
            super().timeout_keep_alive_handler()

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
