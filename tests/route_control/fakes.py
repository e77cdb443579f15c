"""Targets in memory that keep the rules of grants, and a check that no key has two holders."""

import asyncio
import itertools

from bench.routes.held_ranges import Holds
from cranberrylever.route_control import GrantAnswer, GrantClient, KeyGrant


class FakeTarget:
    """One process of a target at an address."""

    def __init__(self, target_id, started_ms):
        self.target_id = target_id
        self.started_ms = started_ms
        self.holds = Holds()

    def grant(self, grant, arrived):
        is_taken = self.holds.grant(grant.first, grant.last, grant.fence, arrived + grant.lease)
        return GrantAnswer.GRANTED if is_taken else GrantAnswer.REFUSED

    def release(self, first, last):
        self.holds.release(first, last)

    def holds_at(self, now):
        return self.holds.at(now)


class FakeOrders(GrantClient):
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
