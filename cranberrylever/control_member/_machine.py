"""Adapter between the consensus driver and a replicated state."""

from collections.abc import Callable
from typing import Protocol

from cranberrylever.consensus import StateMachine

AppliedCallback = Callable[[int, object, object], None]


class ReplicatedState(Protocol):
    """State that is the same on all members once they have applied the same commands."""

    def apply(self, index: int, command: object) -> object:
        """Apply one committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the complete state as bytes."""

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot."""


class StateMachineAdapter(StateMachine):
    """Applies committed log payloads to a replicated state, then calls each of ``callbacks``.

    Args:
        state: The state.
        decode: Returns the command that a payload encodes.
    """

    def __init__(self, state: ReplicatedState, decode: Callable[[bytes], object]) -> None:
        self.state = state
        self.decode = decode
        self.callbacks: list[AppliedCallback] = []

    def apply(self, index: int, payload: bytes) -> object:
        """Apply one committed command and return its result."""
        command = self.decode(payload)
        result = self.state.apply(index, command)
        for callback in self.callbacks:
            callback(index, command, result)
        return result

    def snapshot(self) -> bytes:
        """Return the complete state as bytes."""
        return self.state.snapshot()

    def restore(self, index: int, data: bytes) -> None:
        """Replace the state by a snapshot taken at ``index``."""
        self.state.restore(data)
