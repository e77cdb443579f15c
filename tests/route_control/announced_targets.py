"""Fake targets that get their keys in the answers to their announcements, over a network with faults."""

import asyncio

from bench.routes.held_ranges import HeldRanges
from cranberrylever.errors import ControlUnavailableError, NotLeaderError
from cranberrylever.route_control import HeldKeys, KeyReport, ReleasedKeys
from cranberrylever.target_registry import TargetAnnouncement

ANNOUNCE_INTERVAL_S = 0.87
RELEASING_INTERVAL_S = 0.1
"""Longest time between two announcements while work on released keys goes on."""

ANSWER_TIMEOUT_S = 1.0
"""Time after which a target sends its next announcement and ignores the answer to the last one."""

MAX_WORK_S = 0.3
"""Longest time for which a target works on keys after it has released them."""


class AnnouncingTarget:
    """One incarnation of a target that announces itself until it is stopped.

    Args:
        target_id: Its id.
        started_ms: Its start.
        address: Its address.
        service: Name of its service.
        announce: Coroutine that delivers an announcement and returns the answer.
        rng: Random source.
        clock_factor: Time that its lease lasts relative to the stated one.
    """

    def __init__(self, target_id, started_ms, address, service, announce, rng, clock_factor=1.0):
        self.target_id = target_id
        self.started_ms = started_ms
        self.address = address
        self.service = service
        self.announce = announce
        self.rng = rng
        self.clock_factor = clock_factor
        self.holds = HeldRanges()
        self.finishing = []
        self.released = []
        self.sequence = 0
        self.draining = False
        self.domain = "a"

    def start(self):
        self.task = asyncio.get_running_loop().create_task(self._run())

    def stop(self):
        self.task.cancel()

    def holds_at(self, now):
        """Return the ranges that it holds or still works on."""
        return [*self.holds.at(now), *self.finishing]

    def announcement(self):
        self.sequence += 1
        return TargetAnnouncement(
            self.target_id,
            self.started_ms,
            self.sequence,
            self.service,
            self.address,
            self.domain,
            3,
            self.draining,
            0.0,
        )

    def report(self, now):
        held = tuple(HeldKeys(item.first, item.last, item.fence) for item in self.holds_at(now))
        return KeyReport(held, tuple(self.released))

    async def _run(self):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.rng.uniform(0.0, ANNOUNCE_INTERVAL_S))
        while True:
            sent_at = loop.time()
            released = list(self.released)
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    answer = await self.announce(self.announcement(), self.report(sent_at))
            except (TimeoutError, NotLeaderError, ControlUnavailableError):
                answer = None
            else:
                self.released = [item for item in self.released if item not in released]
            if answer is not None:
                self.apply(answer, sent_at)
            is_releasing = bool(self.finishing or self.released)
            await asyncio.sleep(RELEASING_INTERVAL_S if is_releasing else ANNOUNCE_INTERVAL_S)

    def apply(self, answer, sent_at):
        """Hold what an answer grants from the sending of the announcement, and release all other keys."""
        until = sent_at + answer.lease * self.clock_factor
        now = asyncio.get_running_loop().time()
        if until <= now:
            return
        for item in self.holds.at(now):
            self._release_left_out(item, answer.grants)
        for grant in answer.grants:
            self.holds.grant(grant.first, grant.last, grant.fence, until)

    def _release_left_out(self, item, grants):
        """Release the parts of a held range that no grant covers."""
        next_key = item.first
        for grant in sorted(grants, key=lambda grant: grant.first):
            if grant.last < next_key or item.last < grant.first:
                continue
            if next_key < grant.first:
                self._release(item, next_key, grant.first - 1)
            next_key = grant.last + 1
        if next_key <= item.last:
            self._release(item, next_key, item.last)

    def _release(self, item, first, last):
        self.holds.release(first, last)
        part = type(item)(first, last, item.fence, item.until)
        self.finishing.append(part)
        work = self.rng.uniform(0.0, MAX_WORK_S)
        asyncio.get_running_loop().call_later(work, self._finish, part)

    def _finish(self, part):
        """Report a release once the work has ended; a lease that has run out by then is not reported."""
        self.finishing.remove(part)
        if asyncio.get_running_loop().time() < part.until:
            self.released.append(ReleasedKeys(part.first, part.last, f"token-{part.fence}"))
