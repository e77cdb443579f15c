"""Targets in memory that keep the rules of grants, and a check that no key has two holders."""

import asyncio
import itertools

import attrs

from cranberrylever.steering import GrantAnswer, KeyGrant, TargetOrders


@attrs.define
class Hold:
    """One grant that a target has applied; ``until`` is a loop time."""

    first: int
    last: int
    fence: int
    until: float


class FakeTarget:
    """One process of a target at an address."""

    def __init__(self, target_id, started_ms):
        self.target_id = target_id
        self.started_ms = started_ms
        self.holds = []
        self.highest = {}

    def grant(self, grant, arrived):
        seen = [
            fence
            for (first, last), fence in self.highest.items()
            if first <= grant.last and grant.first <= last
        ]
        if any(fence > grant.fence for fence in seen):
            return GrantAnswer.REFUSED
        self.highest[grant.first, grant.last] = grant.fence
        self.release(grant.first, grant.last)
        self.holds.append(Hold(grant.first, grant.last, grant.fence, arrived + grant.lease))
        return GrantAnswer.GRANTED

    def release(self, first, last):
        kept = []
        for hold in self.holds:
            if hold.last < first or last < hold.first:
                kept.append(hold)
                continue
            if hold.first < first:
                kept.append(attrs.evolve(hold, last=first - 1))
            if last < hold.last:
                kept.append(attrs.evolve(hold, first=last + 1))
        self.holds = kept

    def holds_at(self, now):
        return [hold for hold in self.holds if hold.until > now]


class FakeOrders(TargetOrders):
    """Calls to fake targets with losses and late deliveries drawn by a random source."""

    def __init__(self, rng, lost=0.0, late=0.0):
        self.rng = rng
        self.lost = lost
        self.late = late
        self.targets = {}
        self.cut = set()
        self.grants = 0
        self.violations = []

    async def grant(self, address, grant: KeyGrant):
        self.grants += 1
        await asyncio.sleep(self.rng.uniform(0.0005, 0.004))
        target = self.targets.get(address)
        if target is None:
            return GrantAnswer.NOT_SENT
        if address in self.cut:
            await asyncio.sleep(0.5)
            return GrantAnswer.LOST
        arrived = asyncio.get_running_loop().time()
        if self.rng.random() < self.late:
            # Carried out late, though its time counts from the arrival.
            delay = self.rng.uniform(0.2, 6.0)
            asyncio.get_running_loop().call_later(delay, self._grant_late, target, grant, arrived)
            await asyncio.sleep(0.5)
            return GrantAnswer.LOST
        answer = target.grant(grant, arrived)
        self.check()
        await asyncio.sleep(self.rng.uniform(0.0005, 0.004))
        if self.rng.random() < self.lost:
            await asyncio.sleep(0.5)
            return GrantAnswer.LOST
        return answer

    def _grant_late(self, target, grant, arrived):
        if arrived + grant.lease > asyncio.get_running_loop().time():
            target.grant(grant, arrived)
            self.check()

    async def release(self, address, first, last, fence):
        await asyncio.sleep(self.rng.uniform(0.0005, 0.004))
        target = self.targets.get(address)
        if target is None or address in self.cut:
            await asyncio.sleep(0.5)
            return None
        target.release(first, last)
        await asyncio.sleep(self.rng.uniform(0.001, 0.05))
        return None if self.rng.random() < self.lost else f"token-{first}"

    async def probe(self, address, health_path):
        target = self.targets.get(address)
        return target.target_id if target is not None and address not in self.cut else None

    async def close(self):
        """Do nothing."""

    def check(self):
        """Note each pair of targets that hold one key at the same time."""
        now = asyncio.get_running_loop().time()
        held = sorted(
            (hold.first, hold.last, address)
            for address, target in self.targets.items()
            for hold in target.holds_at(now)
        )
        for (_, last, one), (first, _, other) in itertools.pairwise(held):
            if one != other and last >= first:
                self.violations.append(f"{one} and {other} hold key {first} at {now:.3f}")
