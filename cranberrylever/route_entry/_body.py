"""Reading of request bodies: within the memory for them, until a deadline, and until the entry stops."""

import asyncio
import collections
import math
from collections.abc import Awaitable, Callable

from cranberrylever.body_memory import MIN_RETRY_AFTER_S, BodyMemory
from cranberrylever.memory_limit import MIN_COUNTED_BYTES, MemoryPlace
from cranberrylever.metrics import Metrics, NullMetrics
from cranberrylever.route_entry._answered import AnsweredError
from cranberrylever.route_entry._body_arrival import BodyArrival
from cranberrylever.route_entry._format import Headers

Receive = Callable[[], Awaitable[dict]]

FIRST_GROWTH_BYTES = 65_536
"""Memory that a body without a stated length takes first; it doubles when the body needs more."""

WATCHED_BYTES = 65_536
"""Bytes of a waiting body that are read to notice whether its caller leaves; its reading pauses then."""


class CallerGoneError(Exception):
    """The caller of a waiting body has disconnected."""


class BodyRead:
    """The body of one request, and the memory that it holds until its request has ended.

    Args:
        memory: Limit on the memory of bodies.
        arrival: What is known of the body.
        metrics: Metrics of the process.

    Attributes:
        reading_time: Seconds from the request's headers to the end of its body.
        wait_time: Seconds of it for which the body waited for memory.
    """

    def __init__(self, memory: BodyMemory, arrival: BodyArrival, metrics: Metrics) -> None:
        self.memory = memory
        self.arrival = arrival
        self.metrics = metrics
        self.place: MemoryPlace | None = None
        self.reserved_at: float | None = None
        self.reading_time = 0.0
        self.wait_time = 0.0
        self.deadline = math.inf
        self.is_waiting = False
        self._timeout: asyncio.Timeout | None = None
        self._receive: Receive | None = None
        self._watched: collections.deque[dict] = collections.deque()

    async def run(self, receive: Receive, deadline: float, max_bytes: int) -> bytes | None:
        """Return the complete body, ``None`` when the caller disconnects.

        Args:
            receive: ASGI ``receive`` of the request.
            deadline: Loop time at which the caller gives up.
            max_bytes: Limit on the bytes of the body.

        Raises:
            AnsweredError: The body is too large, too slow, or there is no memory for it in time.
        """
        started_at = _now()
        self.deadline = deadline
        self._receive = receive
        try:
            async with asyncio.timeout_at(min(deadline, self.arrival.must_end_by)) as self._timeout:
                return await self._read(max_bytes)
        except CallerGoneError:
            return None
        except TimeoutError:
            raise self._timeout_error() from None
        finally:
            self._timeout = None
            self.reading_time = _now() - started_at

    def limit_to_stop(self, stops_at: float) -> None:
        """Give the body the time until the entry stops; end its reading now if that is too short."""
        self.arrival.stops_at = stops_at
        if self._timeout is None or self._timeout.expired():
            return
        now = _now()
        is_too_late = self._is_too_late_for_stop(now)
        self._timeout.reschedule(now if is_too_late else min(self.deadline, self.arrival.must_end_by))

    def _is_too_late_for_stop(self, now: float) -> bool:
        if self.is_waiting and not self.place.is_reserved:
            wait = self.memory.expected_wait_of(self.place)
            return now + wait + self.memory.holding_time > self.arrival.stops_at
        return self.arrival.is_too_slow_for_stop(now)

    def release(self) -> None:
        """Give the memory back once the request has ended."""
        if self.place is None:
            return
        if self.reserved_at is not None:
            self.memory.record_holding_time(_now() - self.reserved_at)
        self.memory.cancel(self.place)
        self.place.release()
        self.place = None
        self.metrics.gauge("body_bytes", self.memory.held)

    # Reading -----------------------------------------------------------------------------------------

    async def _read(self, max_bytes: int) -> bytes | None:
        length = self.arrival.length
        if length is not None:
            _check_size(length, max_bytes)
            await self._hold(length)
        parts: list[bytes] = []
        while True:
            message = self._watched.popleft() if self._watched else await self._receive()
            if message["type"] == "http.disconnect":
                return None
            parts.append(message["body"])
            self.arrival.received += len(message["body"])
            _check_size(self.arrival.received, max_bytes)
            if not message["more_body"]:
                return b"".join(parts)
            self._check_stop()
            if length is None:
                await self._hold(self.arrival.received)

    def _check_stop(self) -> None:
        if self.arrival.is_too_slow_for_stop(_now()):
            raise self._stop_error()

    # Memory ------------------------------------------------------------------------------------------

    async def _hold(self, size: int) -> None:
        """Hold memory for at least ``size`` bytes; small bodies do not count."""
        if size < MIN_COUNTED_BYTES:
            return
        if size > self.memory.largest:
            raise self._too_large_error(size)
        if self.place is None:
            await self._reserve(size if self.arrival.length is not None else max(size, FIRST_GROWTH_BYTES))
        elif size > self.place.size:
            await self._grow(min(max(size, 2 * self.place.size), self.memory.largest) - self.place.size)

    async def _reserve(self, size: int) -> None:
        started_at = _now()
        retry_after = self.memory.refusal_delay(size, self.deadline - started_at)
        if retry_after is not None:
            raise self._full_error(retry_after)
        admitted = asyncio.Event()
        self.place = self.memory.reserve(size, admitted.set)
        if not self.place.is_reserved:
            await self._wait_in_time(admitted)
        self.reserved_at = self.arrival.began_at = _now()
        self.metrics.gauge("body_bytes", self.memory.held)

    async def _grow(self, size: int) -> None:
        admitted = asyncio.Event()
        if not self.memory.grow(self.place, size, admitted.set):
            await self._wait(admitted)
        self.metrics.gauge("body_bytes", self.memory.held)

    async def _wait_in_time(self, admitted: asyncio.Event) -> None:
        """Wait for memory until the body and its answer are no longer expected before the deadline."""
        try:
            async with asyncio.timeout_at(self.deadline - self.memory.holding_time):
                await self._wait(admitted)
        except TimeoutError:
            raise self._late_error() from None

    async def _wait(self, admitted: asyncio.Event) -> None:
        started_at = _now()
        self.metrics.count("bodies_waited")
        self.is_waiting = True
        watcher = asyncio.create_task(self._watch_caller(admitted))
        try:
            await admitted.wait()
        finally:
            watcher.cancel()
            self.wait_time += _now() - started_at
        self.is_waiting = False
        if self._is_caller_gone():
            raise CallerGoneError

    async def _watch_caller(self, admitted: asyncio.Event) -> None:
        """End the wait when the caller disconnects; keep what it sends meanwhile, and stop at a limit."""
        while self.place.received < WATCHED_BYTES:
            message = await self._receive()
            self._watched.append(message)
            if self._is_caller_gone():
                admitted.set()
                return
            self.place.received += len(message["body"])

    def _is_caller_gone(self) -> bool:
        return bool(self._watched) and self._watched[-1]["type"] == "http.disconnect"

    # Refusals ----------------------------------------------------------------------------------------

    def _timeout_error(self) -> AnsweredError:
        if _now() < self.deadline:
            return self._stop_error()
        if self.is_waiting:
            return self._late_error()
        return AnsweredError(408, "refused", "the body did not arrive in time", 0.0)

    def _late_error(self) -> AnsweredError:
        return self._full_error(max(MIN_RETRY_AFTER_S, self.memory.expected_wait_of(self.place)))

    def _full_error(self, retry_after: float) -> AnsweredError:
        self.metrics.count("bodies_refused")
        return AnsweredError(503, "refused", self.memory.refusal(), retry_after)

    def _too_large_error(self, size: int) -> AnsweredError:
        self.metrics.count("bodies_refused")
        message = f"a body of {size} bytes needs more memory than this entry has; use one with more memory"
        return AnsweredError(503, "refused", message)

    @staticmethod
    def _stop_error() -> AnsweredError:
        return AnsweredError(
            503, "refused", "this entry stops before the rest of the body and an answer are expected", 0.0
        )


class BodyReader:
    """Reads the bodies of the requests of one entry.

    Args:
        memory: Limit on the memory of bodies.
        metrics: Metrics of the process.
    """

    def __init__(self, memory: BodyMemory | None = None, metrics: Metrics | None = None) -> None:
        self.memory = memory or BodyMemory()
        self.metrics = metrics or NullMetrics()
        self.stops_at = math.inf
        self.reads: set[BodyRead] = set()

    def start(self, headers: Headers, service_time: float) -> BodyRead | None:
        """Return the body of a request that is to be read, ``None`` if the request has no body.

        Args:
            headers: Headers of the request.
            service_time: Seconds from the last byte of the body until an answer is expected.
        """
        if not any(name in (b"content-length", b"transfer-encoding") for name, _ in headers):
            return None
        arrival = BodyArrival(stated_length(headers), _now(), service_time, self.stops_at)
        read = BodyRead(self.memory, arrival, self.metrics)
        self.reads.add(read)
        return read

    def end(self, read: BodyRead) -> None:
        """Release a body whose request has ended."""
        self.reads.discard(read)
        read.release()

    def start_draining(self, stops_at: float) -> None:
        """Limit the reading of all bodies to the time until the entry stops."""
        self.stops_at = stops_at
        for read in self.reads:
            read.limit_to_stop(stops_at)


def stated_length(headers: Headers) -> int | None:
    """Return the length that the headers state, ``None`` for a body in chunks."""
    if any(name == b"transfer-encoding" for name, _ in headers):
        return None
    value = next(value for name, value in headers if name == b"content-length")
    return int(value) if value.isdigit() else None


def _check_size(size: int, max_bytes: int) -> None:
    if size > max_bytes:
        raise AnsweredError(413, "invalid", f"the body exceeds {max_bytes} bytes")


def _now() -> float:
    return asyncio.get_running_loop().time()
