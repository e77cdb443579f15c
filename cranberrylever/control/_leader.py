"""Leader loop of control, which proposes the decisions of the coordinator."""

from collections.abc import Callable

from cranberrylever.consensus import RaftDriver
from cranberrylever.control_member import LeaderBase
from cranberrylever.logs import Log
from cranberrylever.ownership import Coordinator
from cranberrylever.state import Command, CompleteClaims, ExpireClaims, OpenClaims, encode_command

STEP_INTERVAL_S = 0.025
"""Interval between two steps when nothing changes."""

CLAIM_RETENTION_S = 3600.0
"""Minimum age at which a claim is removed; a request sent again after that may be executed again."""

CLAIM_SAMPLE_INTERVAL_S = 60.0
"""Interval between samples of the applied log index, by which the age of claims is known."""

_CLAIM_COMMANDS = (OpenClaims, CompleteClaims, ExpireClaims)


class LeaderLoop(LeaderBase):
    """Runs the steps of the coordinator while this member leads and holds its lease.

    Args:
        driver: Raft driver of this member.
        coordinator: Decides on shard placement, grants and permits.
        log: Log of the program.
        after_step: Called after each step.
    """

    def __init__(
        self, driver: RaftDriver, coordinator: Coordinator, log: Log, after_step: Callable[[], None]
    ) -> None:
        super().__init__(driver, STEP_INTERVAL_S, log, after_step)
        self.coordinator = coordinator
        self.applied_samples: list[tuple[float, int]] = []

    def on_applied(self, index: int, command: Command, result: object) -> None:
        """Start the next step at once after a command that may affect it.

        Claim commands do not affect placement, and a step for each batch of claims would cost more than the
        batch.
        """
        if not isinstance(command, _CLAIM_COMMANDS):
            self.wake.set()

    def encode(self, command: Command) -> bytes:
        """Encode a command as the payload of a log entry."""
        return encode_command(command)

    def step(self, now: float) -> None:
        """Propose the decisions of the coordinator and the expiry of old claims."""
        # A lease that lapses and is regained within one term keeps the coordinator's state: starting the term
        # again would repeat grant sequences, which targets refuse, and wait for known grants to expire.
        if self.term != self.driver.term:
            self.term = self.driver.term
            self.applied_samples = [(now, self.driver.applied_index)]
            self.coordinator.start_term(self.term, now)
            self.log.info("leadership_started", term=self.term)
        for command in (*self.coordinator.step(now), *self._expired_claims(now)):
            self.propose_in_background(command)

    def _expired_claims(self, now: float) -> list[Command]:
        """Return the command that expires claims older than the retention time, if one is due.

        Each sample pairs a time with the log index applied then. Each leader starts its own samples, so a
        change of leader may extend the retention of a claim but never shortens it.
        """
        if now - self.applied_samples[-1][0] >= CLAIM_SAMPLE_INTERVAL_S:
            self.applied_samples.append((now, self.driver.applied_index))
        time, index = self.applied_samples[0]
        if now - time < CLAIM_RETENTION_S:
            return []
        self.applied_samples.pop(0)
        return [ExpireClaims(index)]
