"""Keeps grants alive and carries out releases while this member leads."""

import asyncio
from collections.abc import Callable

import attrs

from cranberrylever.keyspace import HELD, RELEASING, GrantCall, KeyRange, LeaseLedger
from cranberrylever.logs import Log
from cranberrylever.metrics import Metrics
from cranberrylever.route_control._grant_client import GrantAnswer, GrantClient, KeyGrant
from cranberrylever.target_registry import RegisteredTarget

LEASE_S = 2.5
"""Lifetime of a grant: keys of a lost target are free this long after its last renewal."""

RENEW_INTERVAL_S = 0.8
"""Seconds between renewals; two may fail before the lease ends."""

RETRY_INTERVAL_S = 0.25
RELEASE_DELAY_S = 0.02
"""Time for entries to learn that a range moves, so that few requests meet an owner that has given it up."""

FAILURES_TO_SUSPECT = 2
PROBE_INTERVAL_S = 1.0
TOKEN_LIFETIME_S = 4.0

Incarnation = tuple[str, int]
Place = tuple[Incarnation, int, int, int]


@attrs.define
class _Renewal:
    """State of one granted range: when to renew it, and whether a call is on its way."""

    due_at: float = 0.0
    is_running: bool = False


@attrs.frozen
class _Token:
    """Handover token of keys that were given up at a loop time."""

    first: int
    last: int
    text: str
    given_at: float


@attrs.define
class _Release:
    """State of one range that is taken back."""

    is_running: bool = False
    is_confirmed: bool = False
    retry_at: float = 0.0


class Granter:
    """Grants, renewals and releases of all key ranges.

    Args:
        grant_client: Calls to targets.
        is_serving: Tells whether this member leads and holds its lease.
        wake: Called after an answer that changed something.
        metrics: Metrics of the process.
        log: Program log.

    Attributes:
        refused: Ranges whose target has seen a higher fence and that need a new one.
        news: Number of answers that changed something; it never falls.
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
        self.tasks: set[asyncio.Task[None]] = set()
        self.news = 0
        self.start_term(0.0)

    def start_term(self, now: float) -> None:
        """Forget everything; all keys count as held for one lease."""
        self.ledger = LeaseLedger(LEASE_S, now)
        self.renewals: dict[Place, _Renewal] = {}
        self.releases: dict[Place, _Release] = {}
        self.tokens: list[_Token] = []
        self.granted_fences: set[int] = set()
        self.failures: dict[Incarnation, int] = {}
        self.probe_at: dict[Incarnation, float] = {}
        self.refused: set[Place] = set()
        self.addresses: dict[Incarnation, str] = {}

    async def close(self) -> None:
        """Cancel what is under way; a cancelled call resets its connection."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.grant_client.close()

    def is_suspect(self, incarnation: Incarnation) -> bool:
        """Tell whether calls to a target fail, so that it gets no new keys."""
        return self.failures.get(incarnation, 0) >= FAILURES_TO_SUSPECT

    def is_granted(self, item: KeyRange) -> bool:
        """Tell whether the holder has acknowledged the assignment of a held range under this leader."""
        return item.fence in self.granted_fences

    def is_released(self, item: KeyRange, now: float) -> bool:
        """Tell whether nobody can hold a range any more that is held or being released."""
        if now >= self.ledger.held_until(item.incarnation, item.first, item.last):
            return True
        release = self.releases.get(_place(item))
        is_confirmed = release is not None and release.is_confirmed
        return is_confirmed and now >= self.ledger.uncertain_until(item.incarnation, item.first, item.last)

    def may_still_hold(self, item: KeyRange, is_alive: bool, now: float) -> bool:
        """Tell whether the last holder of a free range may hold it because of a call of this leader.

        A call that is answered after its target has started again was answered by the new process, which
        knows nothing of fences before; so each call to a life that has ended counts, answered or not.
        """
        was_held = item.fence > 0
        if was_held and not is_alive and now < self.ledger.inherited_until:
            return True
        return any(
            item.overlaps(call.first, call.last) and call.ends_by > now and not (is_alive and call.answered)
            for call in self.ledger.calls.get(item.incarnation, ())
        )

    def step(
        self,
        ranges: list[KeyRange],
        targets: dict[Incarnation, RegisteredTarget],
        health_path: str,
        now: float,
    ) -> None:
        """Send what is due for the ranges of one service."""
        for item in ranges:
            target = targets.get(item.incarnation)
            if target is None:
                continue
            if self.is_suspect(item.incarnation):
                self._probe(target, health_path, now)
            elif item.phase == HELD:
                self._renew(item, target, now)
            elif item.phase == RELEASING:
                self._release(item, target, now)

    def forget_others(self, places: set[Place], now: float) -> None:
        """Drop the state of ranges that no table holds any more."""
        self.ledger.expire(now)
        self.addresses = {
            incarnation: where
            for incarnation, where in self.addresses.items()
            if incarnation in self.ledger.calls
        }
        self.renewals = {place: item for place, item in self.renewals.items() if place in places}
        self.releases = {place: item for place, item in self.releases.items() if place in places}
        self.refused &= places
        self.granted_fences &= {place[3] for place in places}
        self.tokens = [token for token in self.tokens if now < token.given_at + TOKEN_LIFETIME_S]

    def _renew(self, item: KeyRange, target: RegisteredTarget, now: float) -> None:
        place = _place(item)
        renewal = self.renewals.setdefault(place, _Renewal())
        if renewal.is_running or now < renewal.due_at or place in self.refused:
            return
        renewal.is_running = True
        self.addresses[item.incarnation] = target.address
        call = self.ledger.begin(item.incarnation, item.first, item.last)
        token = "" if item.fence in self.granted_fences else self._token_for(item)
        grant = KeyGrant(item.first, item.last, item.fence, LEASE_S, token)
        self._start(self._send_grant(place, target, grant, renewal, call))

    async def _send_grant(
        self, place: Place, target: RegisteredTarget, grant: KeyGrant, renewal: _Renewal, call: GrantCall
    ) -> None:
        loop = asyncio.get_running_loop()
        answer = GrantAnswer.LOST
        ledger = self.ledger
        started = loop.time()
        try:
            if not self.is_serving():
                # The process stood still since the call was begun; another member may lead by now.
                answer = GrantAnswer.NOT_SENT
                return
            answer = await self.grant_client.grant(target.address, grant)
        finally:
            now = loop.time()
            renewal.is_running = False
            self.metrics.count(f"grants_{answer.name.lower()}")
            self.metrics.timing("grant_ms", (now - started) * 1000)
            self._record(place, answer, renewal, call, ledger, now)
        if answer is not GrantAnswer.GRANTED:
            self.log.warning(
                "grant_failed",
                target=target.target_id,
                first=grant.first,
                last=grant.last,
                fence=grant.fence,
                answer=answer.value,
                failures=self.failures.get(place[0], 0),
            )
            self._tell_news()

    def _record(
        self,
        place: Place,
        answer: GrantAnswer,
        renewal: _Renewal,
        call: GrantCall,
        ledger: LeaseLedger,
        now: float,
    ) -> None:
        incarnation = place[0]
        if answer is GrantAnswer.GRANTED:
            ledger.finish(call, now, answered=True)
            self.failures.pop(incarnation, None)
            if place[3] not in self.granted_fences:
                self.granted_fences.add(place[3])
                self.log.info(
                    "keys_granted", target=incarnation[0], first=place[1], last=place[2], fence=place[3]
                )
                self._tell_news()
            renewal.due_at = now + RENEW_INTERVAL_S
            return
        renewal.due_at = now + RETRY_INTERVAL_S
        if answer is GrantAnswer.REFUSED:
            ledger.refuse(call)
            self.refused.add(place)
            return
        if answer is GrantAnswer.NOT_SENT:
            ledger.cancel(call)
        else:
            ledger.finish(call, now, answered=False)
        self.failures[incarnation] = self.failures.get(incarnation, 0) + 1

    def _release(self, item: KeyRange, target: RegisteredTarget, now: float) -> None:
        release = self.releases.setdefault(_place(item), _Release(retry_at=now + RELEASE_DELAY_S))
        if release.is_running or release.is_confirmed or now < release.retry_at:
            return
        # A renewal that arrives after the release would give the keys back to the target.
        if self.ledger.is_call_running(item.incarnation, item.first, item.last):
            return
        release.is_running = True
        self._start(self._send_release(item, target, release))

    async def _send_release(self, item: KeyRange, target: RegisteredTarget, release: _Release) -> None:
        token = None
        try:
            token = await self.grant_client.release(target.address, item.first, item.last, item.fence)
        finally:
            release.is_running = False
            release.retry_at = asyncio.get_running_loop().time() + RETRY_INTERVAL_S
        if token is None:
            self.log.warning("release_failed", target=target.target_id, first=item.first, last=item.last)
            return
        release.is_confirmed = True
        if token:
            given_at = asyncio.get_running_loop().time()
            self.tokens.append(_Token(item.first, item.last, token, given_at))
        self._tell_news()

    def _token_for(self, item: KeyRange) -> str:
        """Return the handover token of the keys of a new assignment, empty without one."""
        for token in reversed(self.tokens):
            if token.first <= item.first and item.last <= token.last:
                return token.text
        return ""

    def _probe(self, target: RegisteredTarget, health_path: str, now: float) -> None:
        if now < self.probe_at.get(target.incarnation, 0.0):
            return
        self.probe_at[target.incarnation] = now + PROBE_INTERVAL_S
        self._start(self._send_probe(target, health_path))

    async def _send_probe(self, target: RegisteredTarget, health_path: str) -> None:
        answered_by = await self.grant_client.probe(target.address, health_path)
        if answered_by == target.target_id and self.failures.pop(target.incarnation, 0):
            self.log.info("target_answers_again", target=target.target_id)
            self._tell_news()

    def _tell_news(self) -> None:
        """Have the leader's next step run at once; a renewal that changes nothing needs none."""
        self.news += 1
        self.wake()

    def _start(self, work) -> None:  # noqa: ANN001 - a coroutine
        task = asyncio.get_running_loop().create_task(self._guard(work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _guard(self, work) -> None:  # noqa: ANN001
        try:
            await work
        except Exception as error:
            self.log.failure("order_failed", error)


def _place(item: KeyRange) -> Place:
    return item.incarnation, item.first, item.last, item.fence
