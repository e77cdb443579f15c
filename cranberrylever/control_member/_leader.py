"""The loop of the duties that a control member has while it leads."""

import abc
import asyncio
from collections.abc import Callable

from cranberrylever.consensus import RaftDriver
from cranberrylever.errors import NotLeaderError, ProposalLostError
from cranberrylever.logs import Log


class LeaderBase(abc.ABC):
    """Runs steps while this member leads and holds its lease, at an interval and after each change.

    Args:
        driver: Consensus driver of this member.
        step_interval: Seconds between steps without a change.
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

    def start(self) -> None:
        """Start the loop."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop the loop and what it has proposed."""
        tasks = [*self.proposals, *([self.task] if self.task else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def is_serving(self) -> bool:
        """Tell whether this member leads, holds its lease and has taken up its duties."""
        return self._leads(asyncio.get_running_loop().time()) and self.term == self.driver.term

    async def propose(self, command: object) -> object:
        """Commit a command and return the result of applying it.

        Raises:
            NotLeaderError: This member does not lead.
            ProposalLostError: The command may or may not be committed.
        """
        return await self.driver.propose(self.encode(command))

    def propose_in_background(self, command: object) -> None:
        """Propose a command whose loss needs no more than a log line: a later step proposes it again."""
        task = asyncio.get_running_loop().create_task(self._propose_and_log(command))
        self.proposals.add(task)
        task.add_done_callback(self.proposals.discard)

    @abc.abstractmethod
    def encode(self, command: object) -> bytes:
        """Return a command as it is written to the log."""

    @abc.abstractmethod
    def step(self, now: float) -> None:
        """Do what is due; called while this member leads."""

    def _leads(self, now: float) -> bool:
        return self.driver.leader_since is not None and self.driver.has_lease(now)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self.wake.clear()
            now = loop.time()
            try:
                if self._leads(now):
                    self.step(now)
            except Exception as error:
                # The next step starts from the replicated state again.
                self.log.failure("step_failed", error)
            self.after_step()
            # Calls of targets and entries get at least as much time as the steps.
            await asyncio.sleep(loop.time() - now)
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
