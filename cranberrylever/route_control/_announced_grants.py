"""Grants in the answers to announcements, for targets that are not called.

Such a target states with each announcement which keys it holds and which it has released. The answer lists
all keys that it is to hold for one lease, which runs from the sending of the announcement. So an answer that
is lost, late or repeated never extends what the ledger records when the answer is built. The target releases
whatever an answer leaves out, and reports it once the work on these keys has ended.
"""

import asyncio
from collections.abc import Iterable

import attrs

from cranberrylever.keyspace import HELD, KEY_SPACE_SIZE, RELEASING, KeyRange
from cranberrylever.logs import Log
from cranberrylever.route_control._grant_client import KeyGrant
from cranberrylever.route_control._lease_manager import LeaseManager, RangeKey, range_key_of
from cranberrylever.target_registry import RegisteredTarget

ANNOUNCED_LEASE_S = 3.5
"""Lifetime of a grant; it outlasts two announcements in a row that reach no leader."""

DELIVERY_TIME_S = 0.005
"""Time after which the target has received an answer, so that entries may use what it grants."""

MAX_ANSWER_DELAY_S = 0.4
"""Longest time for which an answer waits for edits under way; a target waits for a second."""

MAX_GRANTS_PER_ANSWER = 60
"""Limit on the ranges in an answer, as targets accept answers of up to 4 KiB."""

MAX_UNCONFIRMED_ANSWERS = 3
"""Answers with a range that the target does not state afterwards, from which it counts as refused."""


@attrs.frozen
class HeldKeys:
    """Keys ``first`` to ``last`` that a target holds under ``fence``, or on which it still works."""

    first: int
    last: int
    fence: int


@attrs.frozen
class ReleasedKeys:
    """Keys ``first`` to ``last`` that a target has released, and its token for their next owner, if any."""

    first: int
    last: int
    handover: str = ""


@attrs.frozen
class KeyReport:
    """Keys that a target holds, and those released since the last announcement that was answered."""

    held: tuple[HeldKeys, ...] = ()
    released: tuple[ReleasedKeys, ...] = ()

    def holds(self, item: KeyRange) -> bool:
        """Return whether the target holds all keys of a range under its present fence."""
        next_key = item.first
        for held in sorted(self.held, key=lambda held: held.first):
            if held.fence == item.fence and held.first <= next_key <= held.last:
                next_key = held.last + 1
        return next_key > item.last

    def holds_any(self, first: int, last: int) -> bool:
        """Return whether the target holds, or works on, one of the keys ``first`` to ``last``."""
        return any(held.first <= last and first <= held.last for held in self.held)

    def find_error(self) -> str:
        """Return why the report cannot be true, empty if it can."""
        for item in (*self.held, *self.released):
            if not 0 <= item.first <= item.last < KEY_SPACE_SIZE:
                return f"keys {item.first} to {item.last} are no range of keys"
        if any(held.fence < 0 for held in self.held):
            return "a fence is negative"
        return ""


@attrs.frozen
class AnsweredGrants:
    """All ranges that a target is to hold for ``lease`` seconds from the sending of its announcement."""

    grants: tuple[KeyGrant, ...]
    lease: float


class AnnouncedGranter:
    """Builds the answers to the announcements of targets that hold keys.

    Args:
        lease_manager: Ledger of all grants of this leader.
        log: Program log.
    """

    def __init__(self, lease_manager: LeaseManager, log: Log) -> None:
        self.lease_manager = lease_manager
        self.log = log
        self.start_term(())

    def start_term(self, ranges: Iterable[KeyRange]) -> None:
        """Reset all state for a new term; the leader before may have ended the ranges that are releasing."""
        self.ended: set[RangeKey] = {range_key_of(item) for item in ranges if item.phase == RELEASING}
        self.unconfirmed_answers: dict[RangeKey, int] = {}

    def is_ended(self, item: KeyRange) -> bool:
        """Return whether an answer may have left out a range that is releasing."""
        return range_key_of(item) in self.ended

    def awaits_edits(self, ranges: Iterable[KeyRange], target: RegisteredTarget, report: KeyReport) -> bool:
        """Return whether keys are moving and the answer would not yet tell the target anything new.

        Its next announcement comes most of a second later, and nobody serves the keys until then.
        """
        ranges = list(ranges)
        own = _ranges_of(ranges, target)
        if target.leaving:
            is_moving = any(item.phase == HELD for item in own)
        else:
            is_moving = any(item.phase != HELD for item in ranges)
        return is_moving and not self._has_news(own, report)

    def _has_news(self, own: Iterable[KeyRange], report: KeyReport) -> bool:
        """Return whether the answer to a target would change something about its ``own`` ranges."""
        for item in own:
            if item.phase == HELD and not report.holds(item):
                return True
            if item.phase == RELEASING and not self.is_ended(item):
                return True
        return False

    def end_releasing(self, ranges: Iterable[KeyRange], target: RegisteredTarget) -> bool:
        """Note that the next answer to a target leaves out its releasing ranges.

        Returns:
            Whether there are any that no earlier answer has left out, so that entries may use them still.
        """
        keys = {range_key_of(item) for item in _ranges_of(ranges, target) if item.phase == RELEASING}
        has_new = not keys <= self.ended
        if has_new:
            self.ended |= keys
            self.lease_manager.notify_change()
        return has_new

    def record_report(
        self, ranges: Iterable[KeyRange], target: RegisteredTarget, report: KeyReport, now: float
    ) -> None:
        """Record what a target states: released keys are held no more, and held ones were delivered."""
        for released in report.released:
            self._record_release(target, report, released, now)
        for item in _ranges_of(ranges, target):
            if item.phase == HELD:
                self._record_delivery(item, report)

    def build_answer(
        self, ranges: Iterable[KeyRange], target: RegisteredTarget, report: KeyReport, now: float
    ) -> AnsweredGrants:
        """Return the grants for a target, which the ledger counts as held from now on."""
        held = [item for item in _ranges_of(ranges, target) if item.phase == HELD]
        if len(held) > MAX_GRANTS_PER_ANSWER:
            self.log.warning("too_many_ranges", target=target.target_id, ranges=len(held))
            held = sorted(held, key=lambda item: not report.holds(item))[:MAX_GRANTS_PER_ANSWER]
        grants = tuple(self._grant(item, target, report, now) for item in held)
        return AnsweredGrants(grants, ANNOUNCED_LEASE_S)

    def drop_removed_ranges(self, range_keys: set[RangeKey]) -> None:
        """Drop the state of ranges that are in no table any more."""
        self.ended &= range_keys
        self.unconfirmed_answers = {
            range_key: count
            for range_key, count in self.unconfirmed_answers.items()
            if range_key in range_keys
        }

    def _record_release(
        self, target: RegisteredTarget, report: KeyReport, released: ReleasedKeys, now: float
    ) -> None:
        manager = self.lease_manager
        if report.holds_any(released.first, released.last):
            # The keys were granted again since; the release belongs to the earlier grant.
            return
        if not manager.ledger.is_held_by_call(target.incarnation, released.first, released.last, now):
            return
        manager.ledger.drop(target.incarnation, released.first, released.last)
        manager.tokens.add(released.first, released.last, released.handover, now)
        self.log.info("keys_released", target=target.target_id, first=released.first, last=released.last)
        manager.notify_change()

    def _record_delivery(self, item: KeyRange, report: KeyReport) -> None:
        manager = self.lease_manager
        range_key = range_key_of(item)
        if report.holds(item):
            self.unconfirmed_answers.pop(range_key, None)
            manager.mark_granted(range_key)
            return
        answers = self.unconfirmed_answers.get(range_key, 0)
        if answers and manager.is_granted(item):
            manager.granted_fences.discard(item.fence)
            self.log.warning(
                "grant_failed",
                target=item.target_id,
                first=item.first,
                last=item.last,
                fence=item.fence,
                answer="not held after the answer",
                failures=answers,
            )
            manager.notify_change()
        if answers >= MAX_UNCONFIRMED_ANSWERS:
            manager.refused_ranges.add(range_key)

    def _grant(self, item: KeyRange, target: RegisteredTarget, report: KeyReport, now: float) -> KeyGrant:
        manager = self.lease_manager
        range_key = range_key_of(item)
        manager.addresses[item.incarnation] = target.address
        manager.ledger.record_answer_grant(item.incarnation, item.first, item.last, ANNOUNCED_LEASE_S, now)
        token = ""
        if not report.holds(item):
            token = manager.tokens.find(item.first, item.last)
            self.unconfirmed_answers[range_key] = self.unconfirmed_answers.get(range_key, 0) + 1
            asyncio.get_running_loop().call_later(DELIVERY_TIME_S, self._mark_delivered, range_key)
        return KeyGrant(item.first, item.last, item.fence, ANNOUNCED_LEASE_S, token)

    def _mark_delivered(self, range_key: RangeKey) -> None:
        if self.unconfirmed_answers.get(range_key):
            self.lease_manager.mark_granted(range_key)


def _ranges_of(ranges: Iterable[KeyRange], target: RegisteredTarget) -> list[KeyRange]:
    return [item for item in ranges if item.incarnation == target.incarnation]
