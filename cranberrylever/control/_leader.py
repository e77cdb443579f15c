"""Duties of the control leader: proposes what the coordinator decides."""

from collections.abc import Callable

from cranberrylever.consensus import RaftDriver
from cranberrylever.control_member import LeaderBase
from cranberrylever.logs import Log
from cranberrylever.ownership import Coordinator
from cranberrylever.state import Command, CompleteClaims, ExpireClaims, OpenClaims, encode_command

STEP_INTERVAL_S = 0.025
CLAIM_RETENTION_S = 3600.0
CLAIM_MARK_INTERVAL_S = 60.0
_CLAIM_COMMANDS = (OpenClaims, CompleteClaims, ExpireClaims)


class LeaderLoop(LeaderBase):
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
        super().__init__(driver, STEP_INTERVAL_S, log, after_step)
        self.coordinator = coordinator
        self.claim_marks: list[tuple[float, int]] = []

    def on_applied(self, index: int, command: Command, result: object) -> None:
        """Run the next step at once after a change that it may react to.

        Claims change no placement, and a step for each batch of them would cost more than the batch.
        """
        if not isinstance(command, _CLAIM_COMMANDS):
            self.wake.set()

    def encode(self, command: Command) -> bytes:
        """Return a command as it is written to the log."""
        return encode_command(command)

    def step(self, now: float) -> None:
        """Propose what the coordinator decides, and the expiry of old claims."""
        # A lease that lapses and returns within one term keeps the coordinator's memory: a new start would
        # repeat grant sequences that targets refuse, and would wait out grants that are known.
        if self.term != self.driver.term:
            self.term = self.driver.term
            self.claim_marks = [(now, self.driver.applied_index)]
            self.coordinator.start_term(self.term, now)
            self.log.info("leadership_started", term=self.term)
        for command in (*self.coordinator.step(now), *self._expired_claims(now)):
            self.propose_in_background(command)

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
