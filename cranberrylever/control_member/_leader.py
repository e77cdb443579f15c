"""Loop that a control member runs while it leads."""

import abc
import asyncio
from collections.abc import Callable

from cranberrylever.change_signal import ChangeSignal
from cranberrylever.consensus import RaftDriver
from cranberrylever.errors import NotLeaderError, ProposalLostError
from cranberrylever.logs import Log

MAX_LEASE_WAIT_S = 0.5
"""Time for which callers of a leader without a lease wait for one; by then another member may lead."""


class LeaderBase(abc.ABC):
    """Runs steps at an interval and after each change, while this member leads and holds its lease.

    Args:
        driver: Consensus driver of this member.
        step_interval: Seconds between steps when nothing changes.
        log: Program log.
        after_step: Called after each step, also on a member that does not lead.
    """

    def __init__(
        self,
        driver: RaftDriver,
        step_interval: float,
        log: Log,
        after_step: Callable[[], None] = lambda: None,
    ) -> None:
        self.driver = driver
        self.step_interval = step_interval
        self.log = log
        self.after_step = after_step
        self.term = 0
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.proposals: set[asyncio.Task[None]] = set()
        self.step_done = ChangeSignal()

    def start(self) -> None:
        """Start the loop."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Cancel the loop and pending proposals."""
        tasks = [*self.proposals, *([self.task] if self.task else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def is_serving(self) -> bool:
        """Return whether this member leads, holds its lease and has run a step in this term."""
        return self._is_leader_with_lease(asyncio.get_running_loop().time()) and self.term == self.driver.term

    async def wait_until_serving(self) -> bool:
        """Return whether this member serves; while it leads without a lease, wait for it for a moment.

        A stall of the loop outlasts the lease, although the answers that renew it have arrived. A member that
        then says that it does not lead sends everybody to others, who name it again.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + MAX_LEASE_WAIT_S
        while not self.is_serving():
            if self.driver.leader_id != self.driver.config.member_id or loop.time() >= deadline:
                return False
            await self.step_done.wait(deadline - loop.time())
        return True

    async def require_serving(self) -> None:
        """Return once this member serves, see ``wait_until_serving``.

        Raises:
            NotLeaderError: It does not lead, or gets no lease.
        """
        if not await self.wait_until_serving():
            raise NotLeaderError(self.driver.leader_id)

    async def propose(self, command: object) -> object:
        """Commit a command and return the result of applying it.

        Raises:
            NotLeaderError: This member does not lead.
            ProposalLostError: It is unknown whether the command is committed.
        """
        return await self.driver.propose(self.encode(command))

    def propose_in_background(self, command: object) -> None:
        """Propose a command without waiting; a loss is only logged, as a later step proposes it again."""
        task = asyncio.get_running_loop().create_task(self._propose_and_log(command))
        self.proposals.add(task)
        task.add_done_callback(self.proposals.discard)

    @abc.abstractmethod
    def encode(self, command: object) -> bytes:
        """Return the form in which a command is written to the replicated log."""

    @abc.abstractmethod
    def step(self, now: float) -> None:
        """Run one step; called only while this member leads and holds its lease."""

    def step_gap(self) -> float:
        """Return the shortest time between two steps in seconds."""
        return 0.0

    def _is_leader_with_lease(self, now: float) -> bool:
        return self.driver.leader_since is not None and self.driver.has_lease(now)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self.wake.clear()
            now = loop.time()
            try:
                if self._is_leader_with_lease(now):
                    self.step(now)
            except Exception as error:
                # Without the handler the loop would end while this member still leads. The next step decides
                # from the replicated state again.
                self.log.failure("step_failed", error)
            self.step_done.notify()
            self.after_step()
            # Sleeps for as long as the step took, so that calls of targets and entries get the same time.
            await asyncio.sleep(max(loop.time() - now, self.step_gap()))
            try:
                async with asyncio.timeout(self.step_interval):
                    await self.wake.wait()
            except TimeoutError:
                continue

    async def _propose_and_log(self, command: object) -> None:
        try:
            await self.propose(command)
        except (NotLeaderError, ProposalLostError) as error:
            self.log.warning("proposal_lost", command=type(command).__name__, error=str(error))
