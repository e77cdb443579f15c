"""Whether an entry can open connections to targets at all, from the outcomes of its new connections.

Connections that are open already say little: after a network cut some stay silent, others still work while
new ones are refused. A single target that cannot be reached may be down; several in a row, without any that
can, mean that the entry has lost its links.
"""

import asyncio
import random
from collections.abc import Callable

from cranberrylever.logs import Log
from cranberrylever.target_http import TargetPool

MIN_FAILED_TARGETS = 4
"""Different targets that cannot be reached, without one that can, after which links count as lost."""

MIN_FAILED_TARGETS_OF_FEW = 2
"""The same where there are few targets; one target alone may be down."""

RESTORING_CONNECTIONS = 2
"""Connections in a row, without a failed one, after which the links count as restored."""

PROBE_INTERVAL_S = 0.2
"""Time between two connections that test whether lost links are back."""


class TargetReachability:
    """Links of one entry to the targets.

    Args:
        target_count: Returns the number of targets that may receive work.
        on_lost: Called when the links are lost.
        log: Program log.
    """

    def __init__(self, target_count: Callable[[], int], on_lost: Callable[[], None], log: Log) -> None:
        self.target_count = target_count
        self.on_lost = on_lost
        self.log = log
        self.failed_addresses: set[str] = set()
        self.lost_at: float | None = None
        self.connections = 0

    @property
    def is_lost(self) -> bool:
        """Whether no target can be reached."""
        return self.lost_at is not None

    def record(self, address: str, is_connected: bool) -> None:
        """Record the outcome of a new connection to a target."""
        now = asyncio.get_running_loop().time()
        if is_connected:
            self.failed_addresses.clear()
            self.connections += 1
            if self.lost_at is not None and self.connections >= RESTORING_CONNECTIONS:
                self.log.info("targets_reachable", address=address, lost_for=round(now - self.lost_at, 3))
                self.lost_at = None
            return
        self.connections = 0
        self.failed_addresses.add(address)
        if self.lost_at is None and len(self.failed_addresses) >= self._min_failed_targets():
            self.lost_at = now
            self.log.warning("targets_unreachable", addresses=sorted(self.failed_addresses))
            self.on_lost()

    def _min_failed_targets(self) -> int:
        return max(MIN_FAILED_TARGETS_OF_FEW, min(MIN_FAILED_TARGETS, self.target_count()))


async def probe_until_reachable(
    reachability: TargetReachability, pool: TargetPool, addresses: Callable[[], list[str]]
) -> None:
    """Open connections to random targets until the links are back.

    Args:
        reachability: Links to the targets; it gets the outcomes from the pool.
        pool: Connections to targets.
        addresses: Returns the addresses of the targets that may receive work.
    """
    while reachability.is_lost:
        candidates = addresses()
        if candidates:
            await pool.probe(random.choice(candidates))
        await asyncio.sleep(PROBE_INTERVAL_S)
