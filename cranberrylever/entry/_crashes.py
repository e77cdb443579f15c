"""Detection of target crashes after lost connections, and limits on the requests that cause them."""

import asyncio
import json
from collections.abc import Callable

from cranberrylever.entry._exchange import Attempt, Exchange
from cranberrylever.entry._inflight import InFlightAttempts
from cranberrylever.errors import NotRunError
from cranberrylever.limits import BLOCKING_CRASHES, SuspectTable
from cranberrylever.logs import Log
from cranberrylever.settings import split_address
from cranberrylever.wire import SuspectRecord

PROBE_TIMEOUT_S = 0.5
"""Time to wait for a health response; a frozen target sends none and does not count as crashed."""

LATE_CRASH_S = 5.0
"""Time after a lost connection in which a new incarnation in the view counts as a crash."""

ADMIT_POLL_S = 0.02
"""Interval at which a waiting request checks again whether it may be sent."""


class CrashDetector:
    """Requests suspected of crashing their targets, by fingerprint.

    Args:
        in_flight: All attempts in flight at this entry.
        on_crash: Called for each newly detected crash, to report it to control without delay.
        propagation_seconds: Seconds until control has passed a crash on to every entry.
        log: Program log.
    """

    def __init__(
        self, in_flight: InFlightAttempts, on_crash: Callable[[], None], propagation_seconds: float, log: Log
    ) -> None:
        self.in_flight = in_flight
        self.on_crash = on_crash
        self.propagation_seconds = propagation_seconds
        self.log = log
        self.table = SuspectTable()
        self.probes: dict[tuple[str, str], asyncio.Task[bool]] = {}
        self.unresolved_losses: dict[str, int] = {}
        self.recent_losses: list[tuple[float, Attempt]] = []
        self.exclusive_exchanges: dict[str, Exchange] = {}

    async def admit(self, exchange: Exchange) -> None:
        """Wait until the request may be sent.

        After the first crash for a fingerprint, this entry has at most one request with that fingerprint in
        flight.

        Raises:
            NotRunError: Requests with this fingerprint crashed too many targets, or the deadline passed.
        """
        if not self.table.suspects and not self.unresolved_losses:
            return
        loop = asyncio.get_running_loop()
        fingerprint = exchange.fingerprint
        while loop.time() < exchange.deadline:
            crashes = self.table.crashes(fingerprint, loop.time())
            if crashes >= BLOCKING_CRASHES:
                raise NotRunError(
                    f"requests identical to this one crashed {crashes} targets",
                    "fix the request or retry in 10 minutes",
                )
            if crashes == 0 and fingerprint not in self.unresolved_losses:
                return
            if self._can_run_exclusively(exchange):
                self.exclusive_exchanges[fingerprint] = exchange
                return
            await asyncio.sleep(ADMIT_POLL_S)
        raise NotRunError("an identical request, suspected of a crash, is still in flight", "retry later")

    def release(self, exchange: Exchange) -> None:
        """End the exclusive admission that ``admit`` granted.

        An attempt whose response is incomplete is still in flight and delays the next identical request.
        """
        if self.exclusive_exchanges and self.exclusive_exchanges.get(exchange.cached_fingerprint) is exchange:
            del self.exclusive_exchanges[exchange.cached_fingerprint]

    def may_send(self, exchange: Exchange) -> bool:
        """Return whether an admitted request may still be sent; checked just before its first byte."""
        return (
            self.is_unsuspected(exchange)
            or self.exclusive_exchanges.get(exchange.cached_fingerprint) is exchange
        )

    def is_unsuspected(self, exchange: Exchange) -> bool:
        """Return whether the request has no known crash and no lost connection under examination."""
        if not self.table.suspects and not self.unresolved_losses:
            return True
        fingerprint = exchange.fingerprint
        now = asyncio.get_running_loop().time()
        return fingerprint not in self.unresolved_losses and self.table.crashes(fingerprint, now) == 0

    def _can_run_exclusively(self, exchange: Exchange) -> bool:
        fingerprint = exchange.fingerprint
        if (
            fingerprint in self.unresolved_losses
            or self.exclusive_exchanges.get(fingerprint, exchange) is not exchange
        ):
            return False
        return not any(self.in_flight.find_by_fingerprint(fingerprint))

    def record_connection_loss(self, attempt: Attempt) -> asyncio.Task[bool] | None:
        """Start a crash probe after a connection was lost with a request in flight.

        Returns:
            The probe, or ``None`` when the entry closed the connection itself, the attempt went through
            another entry, or nothing was sent.
        """
        if attempt.aborted or attempt.state is None or not attempt.sent:
            return None
        loop = asyncio.get_running_loop()
        self.recent_losses = [loss for loss in self.recent_losses if loop.time() - loss[0] < LATE_CRASH_S]
        self.recent_losses.append((loop.time(), attempt))
        target = (attempt.target_id, attempt.incarnation)
        probe = self.probes.get(target)
        if probe is None:
            probe = self.probes[target] = loop.create_task(has_exited(attempt.address, attempt.incarnation))
            probe.add_done_callback(lambda _: self.probes.pop(target, None))
        fingerprint = attempt.exchange.fingerprint
        self.unresolved_losses[fingerprint] = self.unresolved_losses.get(fingerprint, 0) + 1
        probe.add_done_callback(lambda done: self._handle_probe_result(attempt, done))
        return probe

    async def wait_for_probe(self, probe: asyncio.Task[bool] | None) -> None:
        """Wait for a probe and, after a crash, until every entry knows of it.

        Otherwise a resend through an entry that does not know of the crash yet could crash a third target.
        """
        if probe is not None and await asyncio.shield(probe):
            await asyncio.sleep(self.propagation_seconds)

    def apply_incarnations(self, incarnations: dict[str, str], now: float) -> None:
        """Record recent connection losses as crashes when the view has a new incarnation of the target."""
        for lost_at, attempt in self.recent_losses:
            current = incarnations.get(attempt.target_id, attempt.incarnation)
            if current != attempt.incarnation and now - lost_at < LATE_CRASH_S:
                self._record_crash(attempt)

    def merge(self, records: tuple[SuspectRecord, ...], now: float) -> None:
        """Add the suspects of all entries, as sent by control."""
        self.table.expire(now)
        for record in records:
            self.table.merge(record.fingerprint, record.crashed, now)

    def suspect_records(self, now: float) -> tuple[SuspectRecord, ...]:
        """Return the crashes observed by this entry, for a report."""
        return tuple(SuspectRecord(fingerprint, crashes) for fingerprint, crashes in self.table.observed(now))

    def _handle_probe_result(self, attempt: Attempt, probe: asyncio.Task[bool]) -> None:
        fingerprint = attempt.exchange.fingerprint
        self.unresolved_losses[fingerprint] -= 1
        if not self.unresolved_losses[fingerprint]:
            del self.unresolved_losses[fingerprint]
        if not probe.cancelled() and probe.result():
            self._record_crash(attempt)

    def _record_crash(self, attempt: Attempt) -> None:
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


async def has_exited(address: str, incarnation: str) -> bool:
    """Return whether the target process with ``incarnation`` at ``address`` has exited.

    A live target may have closed an idle connection just as a request was sent on it. It still answers the
    health request with the same incarnation.
    """
    host, port = split_address(address)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(
                    f"GET /-/health HTTP/1.0\r\nHost: {address}\r\nConnection: close\r\n\r\n".encode()
                )
                response = await reader.read()
            finally:
                writer.transport.abort()
    except TimeoutError:
        return False
    except OSError:
        return True
    _, _, body = response.partition(b"\r\n\r\n")
    try:
        health = json.loads(body)
    except ValueError:
        return False
    return isinstance(health, dict) and health.get("incarnation", incarnation) != incarnation
