"""HTTP/1.1 connection of a listener, which bounds what its caller sends and refuses what is ambiguous."""

import asyncio
from collections.abc import Callable

import httptools
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from cranberrylever import http_refusals
from cranberrylever.answer_memory import AnswerMemory
from cranberrylever.http_connections import find_longest_without_request
from cranberrylever.http_flow import ReadingControl
from cranberrylever.http_given_up import GivenUpConnections
from cranberrylever.http_limits import ListenerLimits
from cranberrylever.http_requests_ahead import ReadBudget, RequestsAhead
from cranberrylever.http_status import HTTP_VERSIONS
from cranberrylever.http_transport import MAX_LINGER_BYTES, AnswerTransport

_HOST = b"host"
_CONTENT_LENGTH = b"content-length"
_TRANSFER_ENCODING = b"transfer-encoding"

_PARSED_BYTES = 2_048
"""Bytes that are parsed at once; limits are checked between two such parts."""

_PARSED_BODY_BYTES = 16_384
"""Bytes of a body parsed at once, or up to HIGH_WATER_LIMIT of its stated rest, which is one request."""

_PROGRESS_BYTES = 65_536
"""Bytes of a body after whose arrival its limit in time starts again."""

_NOTHING = memoryview(b"")

_MAX_FRAMING_RATIO = 8
"""Limit on the bytes between chunks per byte of the body; chunks of one byte have five."""


class StrictHttpProtocol(HttpToolsProtocol):
    """Connection that refuses ambiguous requests and bounds what its caller sends.

    Refused by 400: invalid HTTP, another version than 1.0 or 1.1, a request of HTTP/1.1 without exactly one
    Host header, a body beside an Upgrade header, and too many bytes between chunks. A head that is too large
    is answered by 431, a body by 413. One that arrives too slowly ends the connection. Reading stops while
    too many requests wait behind the one that is answered. The connection ends in a way by which callers get
    each answer that was written before.
    """

    limits = ListenerLimits()
    memory = AnswerMemory()
    budget: ReadBudget["StrictHttpProtocol"] = ReadBudget(limits.read_memory)
    given_up: GivenUpConnections | None = None
    unparsed = _NOTHING
    is_paused = False
    is_rejected = False
    is_in_head = True
    head_bytes = 0
    bytes_after_head = 0
    """Bytes parsed since the end of the head: the body and what frames it."""

    body_bytes = 0
    dropped_bytes = 0
    """Bytes that came after the connection was rejected, or of a body after its answer."""

    body_left = 0
    """Bytes of the body that are known to come, as the head names its length."""

    arrival_timer: asyncio.TimerHandle | None = None
    answering: RequestResponseCycle | None = None
    """The request that runs; ``cycle`` is the last one whose head has arrived."""

    answered_scope: dict | None = None
    """Scope of the last request whose answer is complete, though it may not have left the process yet."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accept the connection."""
        super().connection_made(AnswerTransport(transport, self.loop, self.memory))
        self.flow = ReadingControl(self.transport, self._on_room)
        self.ahead = RequestsAhead(self.limits, self.budget)
        self.accepted_at = self.loop.time()
        self._start_arrival_timer()
        if len(self.connections) > self.limits.max_connections:
            surplus = find_longest_without_request(self.connections - {self}) or self
            surplus._end_without_answer("connections")

    def is_without_request(self) -> bool:
        """Return whether this connection is open and no request has arrived on it."""
        return self.cycle is None and not self.is_rejected and not self.transport.is_closing()

    def connection_lost(self, error: Exception | None) -> None:
        """End the request that runs and release what the connection holds."""
        super().connection_lost(error)
        self._stop_arrival_timer()
        self._drop_waiting()
        self.budget.forget(self)
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
            return
        if self.is_rejected:
            self._drop(len(data))
            return
        self.unparsed = memoryview(data)
        self._parse_received()

    def _drop(self, size: int) -> None:
        """Count bytes of a rejected connection that waits for its last answer; read on to see its end."""
        self.dropped_bytes += size
        if self.dropped_bytes > MAX_LINGER_BYTES:
            self._set_paused(True)

    def _on_room(self) -> None:
        if self.is_paused:
            self.loop.call_soon(self._parse_received)

    def _parse_received(self) -> None:
        """Parse what was received as far as there is room, and read on if there is."""
        if self.parser is None or self.is_rejected or self.transport.is_ending:
            return
        if self.unparsed:
            self._unset_keepalive_if_required()
        while self.unparsed and not self._must_wait() and not self.is_rejected:
            self.unparsed = self.unparsed[self._parse(self.unparsed[: self._part_size()]) :]
        if self.is_rejected:
            self.unparsed = _NOTHING
        else:
            self._set_paused(bool(self.unparsed) or self._must_wait())
            self._limit_arrival()
        self._count_waiting()

    def _part_size(self) -> int:
        if self.is_in_head:
            return _PARSED_BYTES
        return max(_PARSED_BODY_BYTES, min(self.body_left, HIGH_WATER_LIMIT))

    def _limit_arrival(self) -> None:
        """Limit the time for the rest of what is arriving, except while the listener itself does not read."""
        if self.is_paused:
            self._stop_arrival_timer()
        elif self._is_arrival_limited():
            self._start_arrival_timer()

    def _is_arrival_limited(self) -> bool:
        """Return whether what is arriving now has a limit in time that no application sets."""
        if self.is_in_head:
            return self.head_bytes > 0
        return self.cycle.response_complete or self.limits.max_body_bytes is not None

    def _must_wait(self) -> bool:
        """Return whether what follows has to wait for the application or for the end of an answer."""
        if self.cycle is None or self.cycle.response_complete:
            return False
        if len(self.cycle.body) > HIGH_WATER_LIMIT:
            return True
        return not self._is_body_arriving() and self.ahead.is_full()

    def _is_body_arriving(self) -> bool:
        """Return whether the body of the request that runs is still arriving."""
        return self.cycle is not None and self.cycle is self.answering and self.cycle.more_body

    def _set_paused(self, is_paused: bool) -> None:
        if is_paused == self.is_paused:
            return
        self.is_paused = is_paused
        if is_paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _count_waiting(self) -> None:
        # A body that has its turn is not held here but by the application.
        received = 0 if self._is_body_arriving() else len(self.unparsed)
        excessive = self.budget.record(self, received + self.ahead.total)
        while excessive is not None:
            excessive.give_up_waiting()
            excessive = self.budget.record(excessive, excessive.ahead.total)

    def give_up_waiting(self) -> None:
        """Drop the requests that wait for their turn, which have not run, and close after the answer."""
        self._drop_waiting()
        self.cycle = self.answering
        if self.is_rejected and self.cycle is not None:
            self.cycle.keep_alive = False
        self.reject(http_refusals.NO_MEMORY, "memory")

    def _drop_waiting(self) -> None:
        self.unparsed = _NOTHING
        self.pipeline.clear()
        self.ahead.keep_only(1)

    def _parse(self, data: memoryview) -> int:
        """Parse a part of what was received and return the number of bytes that were taken."""
        size = len(data)
        if self.is_in_head:
            self.head_bytes += size
        else:
            self.bytes_after_head += size
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            # The upgrade is not taken up, and the next request follows.
            size = upgrade.args[0] or size
        except httptools.HttpParserError:
            self.reject(http_refusals.INVALID, "invalid")
        if self.is_in_head and self.head_bytes > self.limits.max_head_bytes:
            self.reject(http_refusals.HEAD_TOO_LARGE, "head")
        elif not self.is_in_head and self._has_too_much_framing():
            self.reject(http_refusals.FRAMING_TOO_LARGE, "framing")
        return size

    def _has_too_much_framing(self) -> bool:
        """Return whether chunk sizes, chunk extensions and trailers are out of proportion."""
        framing = self.bytes_after_head - self.body_bytes
        return framing > self.limits.max_head_bytes + _MAX_FRAMING_RATIO * self.body_bytes

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; a trailer, which comes after the request has started, is dropped."""
        if self.is_in_head and not self.is_rejected:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start the request unless it is rejected."""
        if self.is_rejected:
            return
        self._stop_arrival_timer()
        # The counted bytes may include a part of the body, or leave out what came with an earlier request.
        size = len(self.url) + sum(len(name) + len(value) for name, value in self.headers)
        if size > self.limits.max_head_bytes:
            self.reject(http_refusals.HEAD_TOO_LARGE, "head")
            return
        version = self.parser.get_http_version()
        if version not in HTTP_VERSIONS:
            self.reject(http_refusals.BAD_VERSION, "version")
            return
        hosts = sum(name == _HOST for name, _ in self.headers)
        if hosts != 1 and version == "1.1":
            self.reject(http_refusals.bad_host(hosts), "host")
            return
        self.body_left = next((int(value) for name, value in self.headers if name == _CONTENT_LENGTH), 0)
        has_body = self.body_left or any(name == _TRANSFER_ENCODING for name, _ in self.headers)
        if has_body and self.parser.should_upgrade():
            # The parser would take the body for the next request.
            self.reject(http_refusals.BODY_BEFORE_UPGRADE, "upgrade")
            return
        super().on_headers_complete()
        self.ahead.add(size)
        self.is_in_head = False
        self.bytes_after_head = self.body_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on to the application."""
        if self.body_bytes // _PROGRESS_BYTES < (self.body_bytes + len(body)) // _PROGRESS_BYTES:
            self._stop_arrival_timer()
        self.body_bytes += len(body)
        self.body_left = max(0, self.body_left - len(body))
        if self.is_rejected:
            return
        if self.cycle.response_complete:
            self._drop_body(len(body))
            return
        if self.cycle is not self.answering or self.limits.max_body_bytes is not None:
            self.ahead.grow_last(len(body))
        if self.limits.max_body_bytes is not None and self.body_bytes > self.limits.max_body_bytes:
            self.reject(http_refusals.BODY_TOO_LARGE, "body")
            return
        super().on_body(body)

    def _drop_body(self, size: int) -> None:
        self.dropped_bytes += size
        if self.dropped_bytes > self.limits.max_dropped_bytes:
            self.reject(b"", "dropped_body")

    def on_message_complete(self) -> None:
        """End the body of the request and prepare for the head of the next one."""
        if self.is_rejected:
            return
        self.is_in_head = True
        self.head_bytes = self.body_left = self.dropped_bytes = 0
        self._stop_arrival_timer()
        super().on_message_complete()
        if self.cycle.response_complete and not self.transport.is_closing():
            self._unset_keepalive_if_required()
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Callable) -> None:
        self.answering = cycle
        super()._start_asgi_task(cycle, app)

    def on_response_complete(self) -> None:
        """Start the next request, if there is one."""
        self.answered_scope = self.answering.scope
        self.ahead.remove_first()
        super().on_response_complete()
        if self.transport.is_closing():
            self._drop_waiting()
        elif not self.is_in_head:
            self._limit_arrival()
        if self.budget.sizes:
            self._count_waiting()

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

    def _start_arrival_timer(self) -> None:
        if self.arrival_timer is None and not self.is_rejected:
            self.arrival_timer = self.loop.call_later(self.limits.arrival_time, self._on_slow_arrival)

    def _stop_arrival_timer(self) -> None:
        if self.arrival_timer is not None:
            self.arrival_timer.cancel()
            self.arrival_timer = None

    def _on_slow_arrival(self) -> None:
        """End a connection whose head or body comes too slowly; complete requests get their answers first."""
        if self.cycle is None:
            self._end_without_answer("slow")
        else:
            self.reject(b"", "slow")

    def _end_without_answer(self, reason: str) -> None:
        self.is_rejected = True
        self._stop_arrival_timer()
        self._record_given_up(reason)
        self.transport.end()

    def _record_given_up(self, reason: str) -> None:
        if self.given_up is not None:
            self.given_up.record(reason, self.loop.time())

    def reject(self, answer: bytes, reason: str) -> None:
        """Send ``answer`` and close; while earlier requests wait for theirs, close after these instead."""
        if self.is_rejected:
            return
        self.is_rejected = True
        self._record_given_up(reason)
        self.unparsed = _NOTHING
        self._stop_arrival_timer()
        # The end of the connection has to be seen.
        self._set_paused(False)
        if self.transport.is_closing():
            return
        last = self._drop_incomplete_request()
        if last is not None:
            last.keep_alive = False
            return
        if self.cycle is not None and not self.cycle.response_complete:
            self._abandon(self.cycle)
        if self.is_in_head or not self.cycle.response_started:
            self.transport.write(answer)
        self.transport.close()

    def _drop_incomplete_request(self) -> RequestResponseCycle | None:
        """Drop the last request if it is incomplete and has not begun; return the last complete one."""
        if self.cycle is None or self.cycle.response_complete:
            return None
        if self.cycle.more_body and self.pipeline:
            self.pipeline.popleft()
            self.ahead.keep_only(len(self.pipeline) + 1)
            self.cycle = self.pipeline[0][0] if self.pipeline else self.answering
        return None if self.cycle.more_body else self.cycle

    @staticmethod
    def _abandon(cycle: RequestResponseCycle) -> None:
        """Tell the application that the rest of a request will not arrive."""
        cycle.disconnected = True
        cycle.message_event.set()
