"""Grants, renews and releases the leases of targets on key ranges while this member leads."""

import asyncio
from collections.abc import Callable

import attrs

from cranberrylever.background_tasks import BackgroundTasks
from cranberrylever.keyspace import HELD, RELEASING, GrantCall, KeyRange, LeaseLedger
from cranberrylever.logs import Log
from cranberrylever.metrics import Metrics
from cranberrylever.route_control._grant_client import GRANT_TIMEOUT_S, GrantAnswer, GrantClient, KeyGrant
from cranberrylever.route_control._handover import HandoverTokens
from cranberrylever.target_registry import RegisteredTarget

LEASE_S = 2.5
"""Lifetime of a grant; the keys of a lost target can be assigned again this long after its last renewal."""

RENEW_INTERVAL_S = 0.8
"""Seconds between renewals; two may fail before the lease expires."""

LONG_LEASE_S = 4.0
LONG_RENEW_INTERVAL_S = 1.4
"""The same with many targets, whose renewals would otherwise take much of the leader's time."""

MANY_TARGETS = 100
"""Targets from which grants have the long lease."""

RETRY_INTERVAL_S = 0.25
"""Seconds between attempts of a grant or release that failed."""

RELEASE_DELAY_S = 0.02
"""Time for entries to learn that a range moves, so that few requests reach an owner that has released it."""

UNREACHABLE_AFTER_FAILURES = 2
"""Failed grants in a row after which a target counts as unreachable until a grant or a probe succeeds."""

PROBE_INTERVAL_S = 1.0

Incarnation = tuple[str, int]
RangeKey = tuple[Incarnation, int, int, int]
"""Incarnation, first key, last key and fence of an assigned range."""


@attrs.define
class _RenewalState:
    """When a held range is due for renewal, and whether a call for it is in progress."""

    due_at: float = 0.0
    is_running: bool = False


@attrs.define
class _ReleaseState:
    """Progress of the release of one range."""

    is_running: bool = False
    is_confirmed: bool = False
    retry_at: float = 0.0


class LeaseManager:
    """Sends grants, renewals and releases of all key ranges, and tracks what targets may hold.

    Args:
        grant_client: Calls to targets.
        is_serving: Returns whether this member leads and holds its lease.
        wake: Called after an answer that requires a step of the leader.
        metrics: Metrics of the process.
        log: Program log.

    Attributes:
        refused_ranges: Ranges whose target has seen a higher fence, so that they need a new one.
        change_count: Number of answers that changed something; it never decreases.
    """

    def __init__(
        self,
        grant_client: GrantClient,
        is_serving: Callable[[], bool],
        wake: Callable[[], None],
        metrics: Metrics,
        log: Log,
    ) -> None:
        self.grant_client = grant_client
        self.is_serving = is_serving
        self.wake = wake
        self.metrics = metrics
        self.log = log
        self.tasks = BackgroundTasks()
        self.change_count = 0
        self.start_term(0.0)

    def start_term(self, now: float, predecessor_lease: float | None = LEASE_S) -> None:
        """Reset all state for a new term.

        The calls of the leader before are unknown, so all keys count as held for one lease.

        Args:
            now: Loop time.
            predecessor_lease: Longest lifetime in seconds of a grant of the leader before, ``None`` if no
                leader has granted anything.
        """
        self.ledger = LeaseLedger(now, GRANT_TIMEOUT_S, predecessor_lease)
        self.renewals: dict[RangeKey, _RenewalState] = {}
        self.releases: dict[RangeKey, _ReleaseState] = {}
        self.tokens = HandoverTokens()
        self.granted_fences: set[int] = set()
        self.consecutive_failures: dict[Incarnation, int] = {}
        self.next_probe_at: dict[Incarnation, float] = {}
        self.refused_ranges: set[RangeKey] = set()
        self.addresses: dict[Incarnation, str] = {}

    async def close(self) -> None:
        """Cancel pending calls, which resets their connections, and close the client."""
        await self.tasks.close()
        await self.grant_client.close()

    def is_unreachable(self, incarnation: Incarnation) -> bool:
        """Return whether grants to a target keep failing; it gets no new keys then."""
        return self.consecutive_failures.get(incarnation, 0) >= UNREACHABLE_AFTER_FAILURES

    def is_granted(self, item: KeyRange) -> bool:
        """Return whether the target has acknowledged the assignment of a held range in this term."""
        return item.fence in self.granted_fences

    def is_released(self, item: KeyRange, now: float) -> bool:
        """Return whether no target can still hold a range whose phase is held or releasing."""
        return now >= self.ledger.held_until(item.incarnation, item.first, item.last)

    def may_still_hold(self, item: KeyRange, now: float) -> bool:
        """Return whether the last holder of a free range, or its successor, may still hold it.

        A call may have been sent after the range was proposed to be freed, by this leader or its predecessor.
        """
        was_held = item.fence > 0
        if was_held and now < self.ledger.predecessor_grants_until:
            return True
        return self.ledger.is_held_by_call(item.incarnation, item.first, item.last, now)

    def hold_bound(self, item: KeyRange, now: float) -> float:
        """Return the seconds for which the holder of a range may hold it; infinite during a call."""
        return max(0.0, self.ledger.held_until(item.incarnation, item.first, item.last) - now)

    def failures(self, incarnation: Incarnation) -> int:
        """Return the number of grants to a target that failed in a row."""
        return self.consecutive_failures.get(incarnation, 0)

    def step(
        self,
        ranges: list[KeyRange],
        targets: dict[Incarnation, RegisteredTarget],
        health_path: str,
        now: float,
    ) -> None:
        """Start the grant, release and probe calls that are due for the ranges of one service."""
        lease = LONG_LEASE_S if len(targets) >= MANY_TARGETS else LEASE_S
        for item in ranges:
            target = targets.get(item.incarnation)
            if target is None:
                continue
            if self.is_unreachable(item.incarnation):
                self._probe(target, health_path, now)
            elif item.phase == HELD:
                self._renew(item, target, lease, now)
            elif item.phase == RELEASING:
                self._release(item, target, now)

    def drop_removed_ranges(self, range_keys: set[RangeKey], now: float) -> None:
        """Drop the state of ranges that are in no table any more, and expired tokens and calls."""
        self.ledger.expire(now)
        self.addresses = {
            incarnation: address
            for incarnation, address in self.addresses.items()
            if incarnation in self.ledger.calls
        }
        self.renewals = {
            range_key: item for range_key, item in self.renewals.items() if range_key in range_keys
        }
        self.releases = {
            range_key: item for range_key, item in self.releases.items() if range_key in range_keys
        }
        self.refused_ranges &= range_keys
        self.granted_fences &= {range_key[3] for range_key in range_keys}
        self.tokens.expire(now)

    def _renew(self, item: KeyRange, target: RegisteredTarget, lease: float, now: float) -> None:
        range_key = range_key_of(item)
        renewal = self.renewals.setdefault(range_key, _RenewalState())
        if renewal.is_running or now < renewal.due_at or range_key in self.refused_ranges:
            return
        renewal.is_running = True
        self.addresses[item.incarnation] = target.address
        call = self.ledger.begin(item.incarnation, item.first, item.last, lease)
        token = "" if item.fence in self.granted_fences else self.tokens.find(item.first, item.last)
        grant = KeyGrant(item.first, item.last, item.fence, lease, token)
        self._start_task(self._send_grant(range_key, target, grant, renewal, call))

    async def _send_grant(
        self,
        range_key: RangeKey,
        target: RegisteredTarget,
        grant: KeyGrant,
        renewal: _RenewalState,
        call: GrantCall,
    ) -> None:
        loop = asyncio.get_running_loop()
        answer = GrantAnswer.LOST
        ledger = self.ledger
        started = loop.time()
        try:
            if not self.is_serving():
                # The process was paused after the call was recorded; another member may lead by now.
                answer = GrantAnswer.NOT_SENT
                return
            answer = await self.grant_client.grant(target, grant)
        finally:
            now = loop.time()
            renewal.is_running = False
            self.metrics.count(f"grants_{answer.name.lower()}")
            self.metrics.timing("grant_ms", (now - started) * 1000)
            self._record_answer(range_key, answer, renewal, call, ledger, now)
        if answer is not GrantAnswer.GRANTED:
            self.log.warning(
                "grant_failed",
                target=target.target_id,
                first=grant.first,
                last=grant.last,
                fence=grant.fence,
                answer=answer.value,
                failures=self.consecutive_failures.get(range_key[0], 0),
            )
            self.notify_change()

    def _record_answer(
        self,
        range_key: RangeKey,
        answer: GrantAnswer,
        renewal: _RenewalState,
        call: GrantCall,
        ledger: LeaseLedger,
        now: float,
    ) -> None:
        incarnation = range_key[0]
        if answer is GrantAnswer.GRANTED:
            ledger.finish(call, now, answered=True)
            self.consecutive_failures.pop(incarnation, None)
            self.mark_granted(range_key)
            renewal.due_at = now + (LONG_RENEW_INTERVAL_S if call.lease == LONG_LEASE_S else RENEW_INTERVAL_S)
            return
        renewal.due_at = now + RETRY_INTERVAL_S
        if answer is GrantAnswer.REFUSED:
            ledger.refuse(call)
            self.refused_ranges.add(range_key)
            return
        if answer in (GrantAnswer.NOT_SENT, GrantAnswer.MISDIRECTED):
            ledger.cancel(call)
        else:
            ledger.finish(call, now, answered=False)
        self.consecutive_failures[incarnation] = self.consecutive_failures.get(incarnation, 0) + 1

    def _release(self, item: KeyRange, target: RegisteredTarget, now: float) -> None:
        release = self.releases.setdefault(range_key_of(item), _ReleaseState(retry_at=now + RELEASE_DELAY_S))
        if release.is_running or release.is_confirmed or now < release.retry_at:
            return
        # A renewal that arrives after the release would grant the keys to the target again.
        if self.ledger.is_call_running(item.incarnation, item.first, item.last):
            return
        release.is_running = True
        self._start_task(self._send_release(item, target, release))

    async def _send_release(self, item: KeyRange, target: RegisteredTarget, release: _ReleaseState) -> None:
        if not self.is_serving():
            # The process was paused after the release was decided; another member may lead by now.
            release.is_running = False
            return
        token = None
        revoked = self.ledger.answered_calls(item.incarnation, item.first, item.last)
        try:
            token = await self.grant_client.release(target, item.first, item.last, item.fence)
        finally:
            release.is_running = False
            release.retry_at = asyncio.get_running_loop().time() + RETRY_INTERVAL_S
        if token is None:
            self.log.warning("release_failed", target=target.target_id, first=item.first, last=item.last)
            return
        release.is_confirmed = True
        for call in revoked:
            call.drop(item.first, item.last)
        self.tokens.add(item.first, item.last, token, asyncio.get_running_loop().time())
        self.notify_change()

    def _probe(self, target: RegisteredTarget, health_path: str, now: float) -> None:
        if now < self.next_probe_at.get(target.incarnation, 0.0):
            return
        self.next_probe_at[target.incarnation] = now + PROBE_INTERVAL_S
        self._start_task(self._send_probe(target, health_path))

    async def _send_probe(self, target: RegisteredTarget, health_path: str) -> None:
        answered_by = await self.grant_client.probe(target.address, health_path)
        if answered_by == target.target_id and self.consecutive_failures.pop(target.incarnation, 0):
            self.log.info("target_answers_again", target=target.target_id)
            self.notify_change()

    def mark_granted(self, range_key: RangeKey) -> None:
        """Record that a target holds a range under its present fence, so that entries may use it."""
        (target_id, _), first, last, fence = range_key
        if fence in self.granted_fences:
            return
        self.granted_fences.add(fence)
        self.log.info("keys_granted", target=target_id, first=first, last=last, fence=fence)
        self.notify_change()

    def notify_change(self) -> None:
        """Run the leader's next step immediately; a renewal that changes nothing does not call this."""
        self.change_count += 1
        self.wake()

    def _start_task(self, coroutine) -> None:  # noqa: ANN001 - a coroutine
        self.tasks.start(self._run_logged(coroutine))

    async def _run_logged(self, coroutine) -> None:  # noqa: ANN001
        try:
            await coroutine
        except Exception as error:
            self.log.failure("order_failed", error)


def range_key_of(item: KeyRange) -> RangeKey:
    """Return what identifies the assignment of a range."""
    return item.incarnation, item.first, item.last, item.fence
