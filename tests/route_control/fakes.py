"""Fake targets that apply grants, and a check that no two of them hold the same key."""

import asyncio
import itertools

from bench.routes.held_ranges import HeldRanges
from cranberrylever.route_control import GrantAnswer, GrantClient, KeyGrant

SLOW_TRANSIT_S = 0.45
"""Longest time until a grant arrives on a slow connection; its call ends within its time limit."""

FLAKY_LOST_RATIO = 0.6
"""Share of grants to a flaky target whose connection is reset before they are applied."""


SLOWEST_CLOCK_FACTOR = 1.02
"""Time that a lease lasts at a target whose clock is as slow as it may be, relative to its lifetime."""


class FakeTarget:
    """One incarnation of a target; its leases last ``clock_factor`` times their lifetime."""

    def __init__(self, target_id, started_ms, clock_factor=1.0):
        self.target_id = target_id
        self.started_ms = started_ms
        self.clock_factor = clock_factor
        self.holds = HeldRanges()

    def grant(self, grant, arrived_at):
        until = arrived_at + grant.lease * self.clock_factor
        is_accepted = self.holds.grant(grant.first, grant.last, grant.fence, until)
        return GrantAnswer.GRANTED if is_accepted else GrantAnswer.REFUSED

    def release(self, first, last):
        self.holds.release(first, last)

    def holds_at(self, now):
        return self.holds.at(now)


class FakeGrantClient(GrantClient):
    """Calls to fake targets with random losses and delays."""

    def __init__(self, rng, lost_ratio=0.0, delayed_ratio=0.0):
        self.rng = rng
        self.slow_ratio = 0.0
        self.lost_ratio = lost_ratio
        self.delayed_ratio = delayed_ratio
        self.targets = {}
        self.unreachable = set()
        self.flaky = set()
        self.grants = 0
        self.violations = []

    async def grant(self, registered, grant: KeyGrant):
        self.grants += 1
        address = registered.address
        await asyncio.sleep(self.rng.uniform(0.0005, 0.004))
        target = self.targets.get(address)
        if target is None:
            return GrantAnswer.NOT_SENT
        if target.target_id != registered.target_id:
            return GrantAnswer.MISDIRECTED
        if address in self.unreachable:
            await asyncio.sleep(0.5)
            return GrantAnswer.LOST
        if self.slow_ratio and self.rng.random() < self.slow_ratio:
            await asyncio.sleep(self.rng.uniform(0.0, SLOW_TRANSIT_S))
        if address in self.flaky and self.rng.random() < FLAKY_LOST_RATIO:
            return GrantAnswer.LOST
        arrived_at = asyncio.get_running_loop().time()
        if self.rng.random() < self.delayed_ratio:
            # The grant is applied late, but its lease counts from the arrival.
            delay = self.rng.uniform(0.2, 6.0)
            asyncio.get_running_loop().call_later(delay, self._grant_delayed, target, grant, arrived_at)
            await asyncio.sleep(0.5)
            return GrantAnswer.LOST
        answer = target.grant(grant, arrived_at)
        self.check_holders()
        await asyncio.sleep(self.rng.uniform(0.0005, 0.004))
        if self.rng.random() < self.lost_ratio:
            await asyncio.sleep(0.5)
            return GrantAnswer.LOST
        return answer

    def _grant_delayed(self, target, grant, arrived_at):
        if arrived_at + grant.lease * target.clock_factor > asyncio.get_running_loop().time():
            target.grant(grant, arrived_at)
            self.check_holders()

    async def release(self, registered, first, last, fence):
        address = registered.address
        await asyncio.sleep(self.rng.uniform(0.0005, 0.004))
        target = self.targets.get(address)
        if target is None or address in self.unreachable or target.target_id != registered.target_id:
            await asyncio.sleep(0.5)
            return None
        target.release(first, last)
        await asyncio.sleep(self.rng.uniform(0.001, 0.05))
        return None if self.rng.random() < self.lost_ratio else f"token-{first}"

    async def probe(self, address, health_path):
        target = self.targets.get(address)
        return target.target_id if target is not None and address not in self.unreachable else None

    async def close(self):
        """Do nothing."""

    def check_holders(self):
        """Record each pair of targets that hold the same key at the same time."""
        now = asyncio.get_running_loop().time()
        held = sorted(
            (hold.first, hold.last, address)
            for address, target in self.targets.items()
            for hold in target.holds_at(now)
        )
        for (_, last, holder), (first, _, other_holder) in itertools.pairwise(held):
            if holder != other_holder and last >= first:
                self.violations.append(f"{holder} and {other_holder} hold key {first} at {now:.3f}")
