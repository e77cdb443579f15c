"""The routing view in force at this entry and its lease."""

import asyncio
import math

from cranberrylever.caller_http import wait_with_timeout
from cranberrylever.errors import NotRunError
from cranberrylever.invariants import check
from cranberrylever.routing import RoutingTable
from cranberrylever.wire import ViewAnswer


class ViewStore:
    """Versioned view that never goes back and expires.

    Args:
        lifetime: Seconds for which an answer is valid, counted from the sending of its poll.
    """

    def __init__(self, lifetime: float) -> None:
        self.lifetime = lifetime
        self.table: RoutingTable | None = None
        self.valid_until = -math.inf
        self.waiters: set[asyncio.Future[None]] = set()

    @property
    def version(self) -> int:
        """Version of the view in force, 0 before the first."""
        return self.table.version if self.table is not None else 0

    def is_valid(self, now: float) -> bool:
        """Tell whether the view may be used at ``now``."""
        return now < self.valid_until

    def current(self, now: float) -> RoutingTable:
        """Return the view in force.

        Raises:
            NotRunError: There is no view or it has expired.
        """
        if self.table is None or now >= self.valid_until:
            raise NotRunError("this entry has no valid routing view", "use another entry or retry later")
        return self.table

    def offer(self, answer: ViewAnswer, poll_sent: float) -> bool:
        """Take an answer of the control leader to the poll sent at ``poll_sent``.

        An answer with an older version extends nothing: it may come from before the view in force. A view of
        the same version replaces the one in force, because its list of entries is not part of the version.

        Returns:
            Whether a new view came into force.
        """
        if answer.version < self.version:
            return False
        changed = False
        if answer.view is None and (answer.version > self.version or self.table is None):
            return False
        if answer.view is not None:
            check(
                answer.view.version == answer.version, f"view {answer.view.version} sent as {answer.version}"
            )
            self.table = RoutingTable(answer.view)
            changed = True
        self.valid_until = max(self.valid_until, poll_sent + self.lifetime)
        return changed

    def wake(self) -> None:
        """Resume all requests that wait for a change."""
        waiters, self.waiters = self.waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_for_change(self, timeout: float) -> None:
        """Return at the next change of view or permits, or after ``timeout`` seconds."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            await wait_with_timeout(waiter, timeout)
        finally:
            self.waiters.discard(waiter)
