"""Tells crashes of targets from lost connections, and holds back requests that cause crashes."""

import asyncio
import json
from collections.abc import Callable

from cranberrylever.entry._exchange import Attempt, Exchange
from cranberrylever.entry._inflight import InFlight
from cranberrylever.errors import NotRunError
from cranberrylever.limits import BLOCKING_CRASHES, SuspectTable
from cranberrylever.logs import Log
from cranberrylever.settings import split_address
from cranberrylever.wire import SuspectRecord

PROBE_TIMEOUT = 0.5
"""Seconds for a health answer; a frozen target gives none and is no crashed one."""

LATE_CRASH_TIME = 5.0
"""Seconds after a lost connection in which a new incarnation in the view shows that it was a crash."""

GATE_POLL_INTERVAL = 0.02


class CrashWatch:
    """Crash suspects of this entry.

    Args:
        in_flight: All attempts of this entry.
        on_crash: Called at each newly found crash, so that control hears of it at once.
        spread_time: Seconds until every entry has heard of a crash from control.
        log: Program log.
    """

    def __init__(
        self, in_flight: InFlight, on_crash: Callable[[], None], spread_time: float, log: Log
    ) -> None:
        self.in_flight = in_flight
        self.on_crash = on_crash
        self.spread_time = spread_time
        self.log = log
        self.table = SuspectTable()
        self.probes: dict[tuple[str, str], asyncio.Task[bool]] = {}
        self.unclear: dict[str, int] = {}
        self.losses: list[tuple[float, Attempt]] = []
        self.reserved: dict[str, Exchange] = {}

    async def admit(self, exchange: Exchange) -> None:
        """Wait until the request may be sent.

        While a fingerprint has one crash, only one such request at a time may be in flight here.

        Raises:
            NotRunError: The request crashed too many targets, or its deadline passes.
        """
        if not self.table.suspects and not self.unclear:
            return
        loop = asyncio.get_running_loop()
        fingerprint = exchange.fingerprint
        while loop.time() < exchange.deadline:
            crashes = self.table.crashes(fingerprint, loop.time())
            if crashes >= BLOCKING_CRASHES:
                raise NotRunError(
                    f"requests like this one crashed {crashes} targets",
                    "fix the request or retry in 10 minutes",
                )
            if crashes == 0 and fingerprint not in self.unclear:
                return
            if self._may_reserve(exchange):
                self.reserved[fingerprint] = exchange
                return
            await asyncio.sleep(GATE_POLL_INTERVAL)
        raise NotRunError("another request like this one runs after a crash", "retry later")

    def leave(self, exchange: Exchange) -> None:
        """Give up the turn that ``admit`` gave; an answered attempt stays in flight until it is complete."""
        if self.reserved and self.reserved.get(exchange.own_fingerprint) is exchange:
            del self.reserved[exchange.own_fingerprint]

    def may_send(self, exchange: Exchange) -> bool:
        """Tell whether a request that was admitted earlier may still be sent, just before its first byte."""
        return self.is_clear(exchange) or self.reserved.get(exchange.own_fingerprint) is exchange

    def is_clear(self, exchange: Exchange) -> bool:
        """Tell whether no crash is known or suspected for a request."""
        if not self.table.suspects and not self.unclear:
            return True
        fingerprint = exchange.fingerprint
        now = asyncio.get_running_loop().time()
        return fingerprint not in self.unclear and self.table.crashes(fingerprint, now) == 0

    def _may_reserve(self, exchange: Exchange) -> bool:
        fingerprint = exchange.fingerprint
        if fingerprint in self.unclear or self.reserved.get(fingerprint, exchange) is not exchange:
            return False
        return not any(self.in_flight.with_fingerprint(fingerprint))

    def note_loss(self, attempt: Attempt) -> asyncio.Task[bool] | None:
        """Examine a connection that was lost with a request in flight.

        Returns:
            The examination, or ``None`` when the entry itself broke the connection.
        """
        if attempt.aborted or attempt.state is None or not attempt.sent:
            return None
        loop = asyncio.get_running_loop()
        self.losses = [loss for loss in self.losses if loop.time() - loss[0] < LATE_CRASH_TIME]
        self.losses.append((loop.time(), attempt))
        target = (attempt.target_id, attempt.incarnation)
        probe = self.probes.get(target)
        if probe is None:
            probe = self.probes[target] = loop.create_task(is_crashed(attempt.address, attempt.incarnation))
            probe.add_done_callback(lambda _: self.probes.pop(target, None))
        fingerprint = attempt.exchange.fingerprint
        self.unclear[fingerprint] = self.unclear.get(fingerprint, 0) + 1
        probe.add_done_callback(lambda done: self._conclude(attempt, done))
        return probe

    async def hold(self, probe: asyncio.Task[bool] | None) -> None:
        """Wait for an examination, and after a crash until every entry knows of it.

        A request that is resent through another entry, which does not know of the crash yet, would otherwise
        take down a third target.
        """
        if probe is not None and await asyncio.shield(probe):
            await asyncio.sleep(self.spread_time)

    def apply_incarnations(self, incarnations: dict[str, str], now: float) -> None:
        """Count recent losses as crashes when the view shows a new incarnation of their target."""
        for lost_at, attempt in self.losses:
            current = incarnations.get(attempt.target_id, attempt.incarnation)
            if current != attempt.incarnation and now - lost_at < LATE_CRASH_TIME:
                self._record(attempt)

    def merge(self, records: tuple[SuspectRecord, ...], now: float) -> None:
        """Take over the suspects of all entries."""
        self.table.expire(now)
        for record in records:
            self.table.merge(record.fingerprint, record.crashed, now)

    def records(self, now: float) -> tuple[SuspectRecord, ...]:
        """Return what this entry has to report."""
        return tuple(SuspectRecord(fingerprint, crashes) for fingerprint, crashes in self.table.observed(now))

    def _conclude(self, attempt: Attempt, probe: asyncio.Task[bool]) -> None:
        fingerprint = attempt.exchange.fingerprint
        self.unclear[fingerprint] -= 1
        if not self.unclear[fingerprint]:
            del self.unclear[fingerprint]
        if not probe.cancelled() and probe.result():
            self._record(attempt)

    def _record(self, attempt: Attempt) -> None:
        crash = f"{attempt.target_id}/{attempt.incarnation}"
        now = asyncio.get_running_loop().time()
        if self.table.record_crash(attempt.exchange.fingerprint, crash, now):
            self.log.warning(
                "crash_suspect",
                service=attempt.exchange.service.name,
                fingerprint=attempt.exchange.fingerprint,
                target=attempt.target_id,
                crashes=self.table.crashes(attempt.exchange.fingerprint, now),
            )
            self.on_crash()


async def is_crashed(address: str, incarnation: str) -> bool:
    """Tell whether the target process that listened on ``address`` has ended.

    A target may also have closed an idle connection just as a request was sent on it; it then still answers.
    """
    host, port = split_address(address)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(
                    f"GET /-/health HTTP/1.0\r\nHost: {address}\r\nConnection: close\r\n\r\n".encode()
                )
                answer = await reader.read()
            finally:
                writer.transport.abort()
    except TimeoutError:
        return False
    except OSError:
        return True
    _, _, body = answer.partition(b"\r\n\r\n")
    try:
        health = json.loads(body)
    except ValueError:
        return False
    return isinstance(health, dict) and health.get("incarnation", incarnation) != incarnation
