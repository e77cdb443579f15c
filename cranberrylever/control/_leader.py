"""Duties of the control leader: proposes what the coordinator decides."""

import asyncio
from collections.abc import Callable

from cranberrylever.consensus import RaftDriver
from cranberrylever.errors import NotLeaderError, ProposalLostError
from cranberrylever.logs import Log
from cranberrylever.ownership import Coordinator
from cranberrylever.state import Command, CompleteClaims, ExpireClaims, OpenClaims, encode_command

STEP_INTERVAL_S = 0.025
CLAIM_RETENTION_S = 3600.0
CLAIM_MARK_INTERVAL_S = 60.0
_CLAIM_COMMANDS = (OpenClaims, CompleteClaims, ExpireClaims)


class LeaderLoop:
    """Runs the coordinator's steps while this member leads and holds its lease.

    Args:
        driver: Consensus driver of this member.
        coordinator: Decides on placement, grants and permits.
        log: Program log.
        after_step: Called after each step.
    """

    def __init__(
        self, driver: RaftDriver, coordinator: Coordinator, log: Log, after_step: Callable[[], None]
    ) -> None:
        self.driver = driver
        self.coordinator = coordinator
        self.log = log
        self.after_step = after_step
        self.term = 0
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.proposals: set[asyncio.Task[None]] = set()
        self.claim_marks: list[tuple[float, int]] = []

    def start(self) -> None:
        """Start the loop."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop the loop and what it has proposed."""
        tasks = [*self.proposals, *([self.task] if self.task else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_applied(self, index: int, command: Command, result: object) -> None:
        """Run the next step at once after a change that it may react to.

        Claims change no placement, and a step for each batch of them would cost more than the batch.
        """
        if not isinstance(command, _CLAIM_COMMANDS):
            self.wake.set()

    def is_serving(self) -> bool:
        """Tell whether this member leads, holds its lease and has taken up its duties."""
        now = asyncio.get_running_loop().time()
        return self._leads(now) and self.term == self.driver.term

    async def propose(self, command: Command) -> object:
        """Commit a command and return the result of applying it.

        Raises:
            NotLeaderError: This member does not lead.
            ProposalLostError: The command may or may not be committed.
        """
        return await self.driver.propose(encode_command(command))

    def _leads(self, now: float) -> bool:
        return self.driver.leader_since is not None and self.driver.has_lease(now)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self.wake.clear()
            now = loop.time()
            if self._leads(now):
                self._step(now)
            self.after_step()
            try:
                async with asyncio.timeout(STEP_INTERVAL_S):
                    await self.wake.wait()
            except TimeoutError:
                continue

    def _step(self, now: float) -> None:
        # A lease that lapses and returns within one term keeps the coordinator's memory: a new start would
        # repeat grant sequences that targets refuse, and would wait out grants that are known.
        if self.term != self.driver.term:
            self.term = self.driver.term
            self.claim_marks = [(now, self.driver.applied_index)]
            self.coordinator.start_term(self.term, now)
            self.log.info("leadership_started", term=self.term)
        for command in (*self.coordinator.step(now), *self._expired_claims(now)):
            task = asyncio.create_task(self._propose_quietly(command))
            self.proposals.add(task)
            task.add_done_callback(self.proposals.discard)

    def _expired_claims(self, now: float) -> list[Command]:
        """Return the expiry of claims opened before the retention time.

        Marks pair a time with the log index applied then. They start anew with each leader, so a claim is
        kept for longer after a change of leader, never for less.
        """
        if now - self.claim_marks[-1][0] >= CLAIM_MARK_INTERVAL_S:
            self.claim_marks.append((now, self.driver.applied_index))
        time, index = self.claim_marks[0]
        if now - time < CLAIM_RETENTION_S:
            return []
        self.claim_marks.pop(0)
        return [ExpireClaims(index)]

    async def _propose_quietly(self, command: Command) -> None:
        try:
            await self.propose(command)
        except (NotLeaderError, ProposalLostError) as error:
            self.log.warning("proposal_lost", command=type(command).__name__, error=str(error))
