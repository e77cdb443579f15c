"""HTTP/1.1 connection to a target: one request at a time, answers are matched by request id."""

import asyncio
import socket
import struct

import attrs
import httptools

from cranberrylever.answer_memory import AnswerMemory
from cranberrylever.http_status import HTTP_VERSIONS, STATUS_WITHOUT_BODY, is_final, is_interim
from cranberrylever.memory_limit import MIN_COUNTED_BYTES, MemoryPlace
from cranberrylever.target_http._budget import BufferBudget, BufferingConnection

MAX_ANSWER_BYTES = 16 * 1_048_576
"""Limit on the body of an answer, since complete answers are held in memory."""

MAX_HEAD_BYTES = 64 * 1_024
"""Limit on the bytes of an answer that are not its body, without those between chunks."""

MAX_FRAMING_RATIO = 8
"""Limit on the bytes between chunks per byte of the body; chunks of one byte have five."""

MAX_SKIPPED_ANSWERS = 16
"""Limit on interim answers and answers to other requests before the one that is expected."""

MAX_REQUEST_IDS = 256
"""Ids of requests after which a connection is closed, because it remembers all of them."""

UNACKNOWLEDGED_TIMEOUT_MS = 3_000
"""Time for which sent bytes may stay unacknowledged before the kernel closes the connection."""


_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger: enabled, 0 s


class NotSentError(Exception):
    """No byte of the request was sent."""


class AnswerLostError(Exception):
    """A byte of the request may have been sent and there is no complete answer to it.

    Args:
        reason: What happened to the connection.
        is_disconnect: Whether the connection was lost; ``False`` after an answer that is invalid.
    """

    def __init__(self, reason: str, is_disconnect: bool = True) -> None:
        super().__init__(reason)
        self.is_disconnect = is_disconnect


@attrs.define
class TargetAnswer:
    """A complete answer of a target; header names are lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""
    place: MemoryPlace | None = attrs.field(default=None, eq=False, repr=False)

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header by its lower-case name."""
        return next((value for key, value in self.headers if key == name), None)


class TargetConnection(asyncio.Protocol, BufferingConnection):
    """Connection to the address of a target.

    A target may send bytes that are no answer, and never end. The connection is reset once they exceed a
    limit.

    Args:
        id_header: Lower-case name of the header in which a target repeats the request id; empty when the
            answers on this connection need no id.
        budget: Limit on the bytes of unfinished answers without a place in memory, over several connections.
        memory: Limit on the memory of answers.
    """

    def __init__(
        self,
        id_header: bytes = b"",
        budget: BufferBudget | None = None,
        memory: AnswerMemory | None = None,
    ) -> None:
        self.memory = memory
        self._place: MemoryPlace | None = None
        self.id_header = id_header
        self.budget = budget or BufferBudget()
        self.transport: asyncio.Transport | None = None
        self.is_closed = False
        self.keep_alive_s: float | None = None
        self.idle_since = 0.0
        self.use_count = 0
        self.carried_ids: set[bytes] = set()
        self._waiter: asyncio.Future[TargetAnswer] | None = None
        self._request_id = b""
        self._method = b""
        self._has_failed = False
        self._skipped_answers = 0
        self._parser = httptools.HttpResponseParser(self)
        self._reset_message()

    # Requests ----------------------------------------------------------------------------------------

    async def exchange(self, method: bytes, request: bytes, request_id: bytes = b"") -> TargetAnswer:
        """Send a request and return its answer; cancellation resets the connection.

        Raises:
            NotSentError: The connection is closed already.
            AnswerLostError: The connection was lost, or its bytes are no answer to this request.
        """
        if self.is_closed or self.transport is None or self.transport.is_closing():
            raise NotSentError("the connection is closed")
        self._method = method
        self._request_id = request_id
        self._skipped_answers = 0
        self._waiter = asyncio.get_running_loop().create_future()
        self.use_count += 1
        if request_id:
            self.carried_ids.add(request_id)
        self.transport.write(request)
        try:
            return await self._waiter
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._waiter = None

    @property
    def is_reusable(self) -> bool:
        """Whether another request may follow: the connection is open and no partial answer is pending."""
        return not self.is_closed and not self._in_message and len(self.carried_ids) < MAX_REQUEST_IDS

    def has_carried(self, request_id: bytes) -> bool:
        """Return whether a request with this id was sent on the connection before."""
        return request_id in self.carried_ids

    def abort(self) -> None:
        """Reset the connection; bytes in transit are lost."""
        self.is_closed = True
        self._release()
        if self.transport is not None:
            self.transport.abort()

    def _release(self) -> None:
        """Give back what the answer that is received takes."""
        self.budget.release(self)
        place, self._place = self._place, None
        if place is not None:
            self.memory.cancel(place)

    # Protocol callbacks ------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the timeout for unacknowledged bytes, and make a close reset the connection."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
            # Otherwise the kernel delivers bytes that were sent before an abort, even seconds later.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer; bytes without a pending request reset the connection."""
        if self._waiter is None or self._waiter.done():
            self.abort()
            return
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Not an HttpParserError; raised after the callbacks for an answer that switches the protocol.
            self.give_up_answer("the answer switches to another protocol")
            return
        except httptools.HttpParserError as error:
            self.give_up_answer(f"the answer is not valid HTTP: {error}")
            return
        if self._received - self._size > MAX_HEAD_BYTES + MAX_FRAMING_RATIO * self._size:
            self.give_up_answer(f"the answer has more than {MAX_HEAD_BYTES} bytes that are not its body")

    def eof_received(self) -> bool:
        """Complete an answer without a length, which ends when the target closes the connection."""
        if self._in_message and self._has_headers and not self._has_length:
            self.is_closed = True
            self.on_message_complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the pending request."""
        self.is_closed = True
        self._fail(
            AnswerLostError(f"the connection was lost: {error!r}" if error else "the connection was closed")
        )

    def give_up_answer(self, reason: str) -> None:
        """Fail the pending request for an invalid answer, drop it and reset the connection."""
        self._has_failed = True
        self._body.clear()
        self._fail(AnswerLostError(reason, is_disconnect=False))

    def _fail(self, error: AnswerLostError) -> None:
        self.is_closed = True
        self._release()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    # Parser callbacks --------------------------------------------------------------------------------

    def _reset_message(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = 0
        self._received = 0
        self._release()
        self._length = 0
        self._in_message = False
        self._has_headers = False
        self._has_length = False

    def on_message_begin(self) -> None:
        """Start an answer."""
        received = self._received
        self._reset_message()
        self._received = received
        self._in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header."""
        name = name.lower()
        if name in (b"content-length", b"transfer-encoding"):
            self._has_length = True
            if name == b"content-length" and value.isdigit():
                self._length = int(value)
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Record whether the connection may be used again; give up an answer whose first line is invalid."""
        self._has_headers = True
        status = self._parser.get_status_code()
        if not (is_interim(status) or is_final(status)):
            self.give_up_answer(f"the answer has the status {status:03d}, which does not exist")
            return
        version = self._parser.get_http_version()
        if version not in HTTP_VERSIONS:
            self.give_up_answer(f"the answer has the HTTP version {version}")
            return
        if not self._parser.should_keep_alive():
            self.is_closed = True
        if self._method == b"HEAD" and is_final(status):
            # The parser does not know the request and waits for the body that the length names. The
            # connection ends with this answer.
            self.is_closed = True
            self.on_message_complete()
        elif (
            self.memory is not None
            and MIN_COUNTED_BYTES <= self._length <= MAX_ANSWER_BYTES
            and status not in STATUS_WITHOUT_BODY
        ):
            self._place = self.memory.reserve(self._length, self.transport.resume_reading)
            if not self._place.is_reserved:
                self.transport.pause_reading()

    def on_body(self, body: bytes) -> None:
        """Record a part of the body."""
        if self._has_failed:
            return
        self._size += len(body)
        if self._size > MAX_ANSWER_BYTES:
            self.give_up_answer(f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
            return
        self._body.append(body)
        if self._place is None or not self._place.is_reserved:
            self.budget.add(self, len(body))

    def on_message_complete(self) -> None:
        """Deliver an answer to the pending request, unless it answers another one."""
        if self._has_failed:
            return
        status = self._parser.get_status_code()
        if self._place is not None and not self._place.is_reserved:
            self.memory.admit_complete(self._place)
            self.transport.resume_reading()
        answer = TargetAnswer(status, self._headers, b"".join(self._body), self._place)
        self._place = None
        self._reset_message()
        if is_interim(status) or self._is_for_other_request(answer):
            self._skip_answer()
            return
        self.keep_alive_s = _parse_keep_alive(answer.header(b"keep-alive"))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(answer)

    def _is_for_other_request(self, answer: TargetAnswer) -> bool:
        """Return whether an answer repeats that to an earlier request; the expected one may follow."""
        return bool(self._request_id and self.id_header and answer.header(self.id_header) != self._request_id)

    def _skip_answer(self) -> None:
        self._skipped_answers += 1
        if self._skipped_answers > MAX_SKIPPED_ANSWERS:
            self.give_up_answer(f"more than {MAX_SKIPPED_ANSWERS} answers came before the expected one")


def _parse_keep_alive(value: bytes | None) -> float | None:
    """Return the timeout in a ``Keep-Alive`` header in seconds, ``None`` if there is none."""
    for item in (value or b"").split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None
