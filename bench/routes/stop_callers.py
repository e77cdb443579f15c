"""Callers that use their connections up to the end of an entry, and record how each request ends."""

import asyncio
import random

import attrs

from bench.routes.caller_connection import CallerAnswer, CallerConnection, open_caller_connection
from bench.routes.callers import KEY_COUNT, REFUSAL_STATUS_CODES
from bench.routes.cluster import SoakCluster
from bench.routes.lost import SentRequest
from bench.routes.plans import HOST, LONG_TIMEOUT_S, ROUTES, stop_routes
from bench.routes.work import Work, answer_body

CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.1
GIVE_UP_AFTER_S = 0.5
"""Time after its time limit for which a caller still waits for an answer."""

# Each pair is the range from which a random time is drawn.
UNUSED_TIME_S = (0.0, 1.5)
THINK_TIME_S = (0.0, 0.6)
SHORT_WORK_S = (0.01, 0.1)
LONG_WORK_S = (0.5, 3.2)
SEND_TIME_S = (0.2, 1.0)
READ_TIME_S = (0.5, 1.8)

LONG_DEADLINE_S = 6.0
SHORT_DEADLINE_S = 0.8
LARGE_ANSWER_BYTES = 6_000_000
"""More than the kernel buffers for a connection, so that the rest waits in the entry."""

LONG_WORK_SHARES = (0.0, 0.2, 0.7)
"""Shares of requests with long work from which one is drawn for a run; without any, entries end early."""

SLOW_READER_SHARE = 0.06
SLOW_SENDER_SHARE = 0.15
BODY_PARTS = 5
PART_BYTES = 400


@attrs.frozen
class Call:
    """One request to send: its parts and how its caller behaves."""

    record: SentRequest
    parts: list[bytes]
    pause: float
    read_time: float
    answer_bytes: int
    give_up_at: float


@attrs.define(eq=False)
class StopCallers:
    """Callers that each send about one request a second, one at a time.

    Attributes:
        long_work_share: Share of requests with long work among those whose time limit allows it.
        is_calm: Whether all requests are short and fast, for the check that the cluster serves again.
        requests: Requests whose end a caller has seen.
        non_idempotent: Ids of requests that may run at most once.
        refused: Ids whose answer states that the request has not run.
        problems: Descriptions of answers that belong to another request.
    """

    cluster: SoakCluster
    random: random.Random
    long_work_share: float = attrs.field()
    is_calm: bool = False
    sent: int = 0
    served: int = 0
    requests: list[SentRequest] = attrs.field(factory=list)
    non_idempotent: set[str] = attrs.field(factory=set)
    refused: set[str] = attrs.field(factory=set)
    problems: list[str] = attrs.field(factory=list)

    @long_work_share.default
    def _draw_long_work_share(self) -> float:
        return self.random.choice(LONG_WORK_SHARES)

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(self.cluster.options.callers):
                group.create_task(self._run_caller())

    async def close(self) -> None:
        """Do nothing; callers close their connections when they are cancelled."""

    async def send_to(self, address: str, route: str) -> int | None:
        """Send a request to one entry; returns the status, ``None`` without an answer."""
        entry = next(process.name for process, listen in self.cluster.entries if listen == address)
        connection = await self._connect(address, False)
        if connection is None:
            return None
        try:
            return await self._send(connection, self._build(entry, route, Work(0.0), LONG_DEADLINE_S)) or None
        finally:
            connection.close()

    async def _run_caller(self) -> None:
        while True:
            process, address = self.random.choice(self.cluster.entries)
            is_slow_reader = not self.is_calm and self.random.random() < SLOW_READER_SHARE
            connection = await self._connect(address, is_slow_reader)
            if connection is None:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                if not self.is_calm and self.random.random() < 0.5:
                    await asyncio.sleep(self.random.uniform(*UNUSED_TIME_S))
                while connection.is_open and not connection.is_ended():
                    await self._send(connection, self._draw_call(process.name, is_slow_reader))
                    await asyncio.sleep(self.random.uniform(*THINK_TIME_S))
            finally:
                connection.close()

    @staticmethod
    async def _connect(address: str, is_slow_reader: bool) -> CallerConnection | None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await open_caller_connection(address, is_slow_reader)
        except (OSError, TimeoutError):
            return None

    def _draw_call(self, entry: str, is_slow_reader: bool) -> Call:
        """Return a random request; slow callers ask for short work, so that a stop leaves time for it."""
        rng = self.random
        if self.is_calm:
            return self._build(entry, rng.choice(list(ROUTES)), Work(0.01), SHORT_DEADLINE_S)
        name, (_, timeout) = rng.choice(list(stop_routes().items()))
        is_slow_sender = not is_slow_reader and rng.random() < SLOW_SENDER_SHARE
        is_long = timeout == LONG_TIMEOUT_S and rng.random() < self.long_work_share
        is_long = is_long and not (is_slow_reader or is_slow_sender)
        work = Work(rng.uniform(*(LONG_WORK_S if is_long else SHORT_WORK_S)))
        if is_slow_reader:
            work = attrs.evolve(work, answer_bytes=LARGE_ANSWER_BYTES)
        deadline = rng.choice((None, LONG_DEADLINE_S, LONG_DEADLINE_S, SHORT_DEADLINE_S))
        if is_slow_reader or is_slow_sender:
            deadline = rng.choice((None, LONG_DEADLINE_S))
        return self._build(entry, name, work, deadline, is_slow_sender, is_slow_reader)

    def _build(
        self,
        entry: str,
        route: str,
        work: Work,
        deadline: float | None,
        is_slow_sender: bool = False,
        is_slow_reader: bool = False,
    ) -> Call:
        self.sent += 1
        request_id = f"q{self.sent}"
        like, timeout = stop_routes().get(route, (route, 2.0))
        is_idempotent = like not in ROUTES or ROUTES[like][1]
        if not is_idempotent:
            self.non_idempotent.add(request_id)
        method = "GET" if is_idempotent else "POST"
        lines = [f"{method} /{route}/{work.path} HTTP/1.1", f"host: {HOST}"]
        lines += [f"cranberrylever-request-id: {request_id}"]
        lines += [f"cranberrylever-key: {self.random.randrange(KEY_COUNT)}"]
        if deadline is not None:
            lines.append(f"cranberrylever-deadline-ms: {deadline * 1000:.0f}")
        body_parts = [b"." * PART_BYTES] * BODY_PARTS if is_slow_sender else []
        lines.append(f"content-length: {PART_BYTES * len(body_parts)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        now = asyncio.get_running_loop().time()
        limit = now + min(timeout, deadline or timeout)
        return Call(
            SentRequest(request_id, entry, now, limit),
            [head, *body_parts],
            self.random.uniform(*SEND_TIME_S) / BODY_PARTS,
            self.random.uniform(*READ_TIME_S),
            work.answer_bytes,
            limit + GIVE_UP_AFTER_S + (READ_TIME_S[1] if is_slow_reader else 0.0),
        )

    async def _send(self, connection: CallerConnection, call: Call) -> int:
        """Send a request and record its end; returns the status, 0 without an answer."""
        record = call.record
        try:
            async with asyncio.timeout_at(call.give_up_at):
                answer = await connection.exchange(call.parts, call.pause, call.read_time)
        except TimeoutError:
            connection.close()
            answer = CallerAnswer()
        record.opened_at = connection.opened_at
        record.sent_at = connection.sent_at
        record.ended_at = asyncio.get_running_loop().time()
        record.status = answer.status
        record.is_complete = answer.is_complete
        record.is_from_target = "cranberrylever-request-id" in answer.headers
        self.requests.append(record)
        self._check_answer(record.request_id, answer, call.answer_bytes)
        return answer.status

    def _check_answer(self, request_id: str, answer: CallerAnswer, answer_bytes: int) -> None:
        if not answer.is_complete:
            return
        if answer.status == 200:
            self.served += 1
            if answer.body != answer_body(request_id, answer_bytes):
                self.problems.append(f"{request_id} received the answer {answer.body!r:.60}")
        elif answer.status in REFUSAL_STATUS_CODES:
            self.refused.add(request_id)
