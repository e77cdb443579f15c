"""Current routing view of an entry and its lease."""

import asyncio
import math

from cranberrylever.caller_http import wait_with_timeout
from cranberrylever.errors import NotRunError
from cranberrylever.invariants import check
from cranberrylever.routing import RoutingTable
from cranberrylever.wire import ViewAnswer


class ViewStore:
    """Current view; its version never decreases and its lease expires.

    Args:
        lifetime: Seconds of the lease, counted from the time at which the answered poll was sent.
    """

    def __init__(self, lifetime: float) -> None:
        self.lifetime = lifetime
        self.table: RoutingTable | None = None
        self.valid_until = -math.inf
        self.waiters: set[asyncio.Future[None]] = set()

    @property
    def version(self) -> int:
        """Version of the current view, 0 before the first view."""
        return self.table.version if self.table is not None else 0

    def is_valid(self, now: float) -> bool:
        """Return whether the lease of the view is valid at ``now``."""
        return now < self.valid_until

    def current(self, now: float) -> RoutingTable:
        """Return the current view.

        Raises:
            NotRunError: There is no view or it has expired.
        """
        if self.table is None or now >= self.valid_until:
            raise NotRunError("this entry has no valid routing view", "use another entry or retry later")
        return self.table

    def offer(self, answer: ViewAnswer, poll_sent_at: float) -> bool:
        """Apply an answer of the control leader to the poll sent at ``poll_sent_at``.

        An answer with an older version does not extend the lease, since it may predate the current view. A
        view of the same version replaces the current one, because changes to the list of entries do not
        change the version.

        Returns:
            Whether the current view was replaced.
        """
        if answer.version < self.version:
            return False
        changed = False
        if answer.view is None and (answer.version > self.version or self.table is None):
            return False
        if answer.view is not None:
            check(
                answer.view.version == answer.version,
                f"the view has version {answer.view.version}, but its answer has version {answer.version}",
            )
            self.table = RoutingTable(answer.view)
            changed = True
        self.valid_until = max(self.valid_until, poll_sent_at + self.lifetime)
        return changed

    def wake(self) -> None:
        """Resume all requests that wait for a new view."""
        waiters, self.waiters = self.waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_for_change(self, timeout: float) -> None:
        """Wait for the next new view, at most ``timeout`` seconds."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            await wait_with_timeout(waiter, timeout)
        finally:
            self.waiters.discard(waiter)
