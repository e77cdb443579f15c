"""What an entry may send to targets in cold start: permits that the leader has handed out.

It answers the start of a target, which bears a few requests a second from all entries together. An entry asks
when it has a request and uses the permits within their lifetime, counted from the sending of its wish.
"""

import contextlib
from collections.abc import Callable, Iterator

import attrs

from cranberrylever.settings import LimitRules
from cranberrylever.wire import PERMIT_LIFETIME_S, ColdPermits, PermitRequest

ANSWER_TIME_S = 0.03
"""Time that an answer of the leader usually takes."""

ASK_AGAIN_AFTER_S = 0.15
"""Time after which a wish without an answer is repeated."""

NO_ANSWER_DELAY_S = 1.0
"""Time until permits are expected when the leader does not answer: another one is elected."""

Incarnation = tuple[str, int]


@attrs.define
class _Account:
    """Permits for one life: until when each may be used, how many requests wait, when control was asked."""

    bound: float
    usable_until: list[float] = attrs.field(factory=list)
    waiting: int = 0
    asked_at: float | None = None
    unanswered_since: float | None = None
    none_before: float = 0.0

    def may_ask(self, now: float) -> bool:
        """Tell whether no wish is under way and permits may be there."""
        is_due = self.asked_at is None or now - self.asked_at > ASK_AGAIN_AFTER_S
        return is_due and now >= self.none_before

    def is_leader_silent(self, now: float) -> bool:
        """Tell whether wishes of late have had no answer; after a while the leader is asked again."""
        if self.unanswered_since is None or self.asked_at is None or now - self.asked_at > NO_ANSWER_DELAY_S:
            return False
        return now - self.unanswered_since > 2 * ASK_AGAIN_AFTER_S

    def begin_wish(self, now: float) -> None:
        """Note that the leader is asked; a wish long after the last one begins a new silence."""
        was_long_ago = self.asked_at is not None and now - self.asked_at > NO_ANSWER_DELAY_S
        if self.unanswered_since is None or was_long_ago:
            self.unanswered_since = now
        self.asked_at = now

    def missing(self, now: float) -> int:
        """Return how many requests wait for a permit that has not been given."""
        self.usable_until = [until for until in self.usable_until if until > now]
        return max(0, self.waiting - len(self.usable_until))


class PermitBook:
    """Permits of one entry; times are loop seconds.

    Args:
        rules: Limits over all entries.
        ask: Called when the leader should hear of a wish at once.
    """

    def __init__(self, rules: LimitRules, ask: Callable[[], None]) -> None:
        self.rules = rules
        self.ask = ask
        self.accounts: dict[Incarnation, _Account] = {}
        self.sent_at: dict[int, float] = {}

    def delay(self, incarnation: Incarnation, now: float) -> float:
        """Return the seconds until a request may be sent, as far as is known."""
        account = self.accounts.get(incarnation)
        if account is None:
            return ANSWER_TIME_S
        if any(until > now for until in account.usable_until):
            return 0.0
        if account.is_leader_silent(now):
            return NO_ANSWER_DELAY_S
        return max(ANSWER_TIME_S, account.none_before - now)

    def take(self, incarnation: Incarnation, now: float) -> bool:
        """Use a permit; returns whether there was one."""
        account = self.accounts.get(incarnation)
        if account is None:
            return False
        account.usable_until = [until for until in account.usable_until if until > now]
        if not account.usable_until:
            return False
        account.usable_until.pop(0)
        return True

    @contextlib.contextmanager
    def waiting(self, incarnation: Incarnation, rate: float, now: float) -> Iterator[None]:
        """Have a request wait for a permit of a target that bears ``rate`` requests a second."""
        bound = rate * self.rules.cold_factor + self.rules.cold_extra
        account = self.accounts.setdefault(incarnation, _Account(bound))
        account.bound = bound
        account.waiting += 1
        if account.may_ask(now):
            self.ask()
        try:
            yield
        finally:
            account.waiting -= 1

    def take_wishes(self, sequence: int, now: float) -> tuple[PermitRequest, ...]:
        """Return the wishes that go into the report ``sequence``."""
        wishes = []
        for (target_id, started_ms), account in self.accounts.items():
            missing = account.missing(now)
            if missing and account.may_ask(now):
                wishes.append(PermitRequest(target_id, started_ms, missing, account.bound))
                account.begin_wish(now)
        if wishes:
            self.sent_at[sequence] = now
        return tuple(wishes)

    def record(self, permits: tuple[ColdPermits, ...], sequence: int, now: float) -> None:
        """Take over the leader's answer to the wishes of a report."""
        sent_at = self.sent_at.pop(sequence, None)
        for item in permits:
            account = self.accounts.get((item.target_id, item.started_ms))
            if account is None or sent_at is None:
                continue
            account.asked_at = None
            account.unanswered_since = None
            account.usable_until.extend([sent_at + PERMIT_LIFETIME_S] * item.count)
            account.none_before = now + item.next_in
            if account.missing(now) and item.next_in == 0.0:
                self.ask()
        self.sent_at = {key: value for key, value in self.sent_at.items() if now - value < PERMIT_LIFETIME_S}

    def keep_only(self, incarnations: set[Incarnation]) -> None:
        """Forget all other lives."""
        self.accounts = {
            incarnation: account
            for incarnation, account in self.accounts.items()
            if incarnation in incarnations or account.waiting
        }
