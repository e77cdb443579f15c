"""Adapter between the consensus driver and the cluster state."""

from collections.abc import Callable

from cranberrylever.consensus import StateMachine
from cranberrylever.state import ClusterState, Command, decode_command

AppliedCallback = Callable[[int, Command, object], None]


class ClusterMachine(StateMachine):
    """Applies committed log payloads to a ``ClusterState``."""

    def __init__(self, state: ClusterState) -> None:
        self.state = state
        self.callbacks: list[AppliedCallback] = []

    def apply(self, index: int, payload: bytes) -> object:
        """Apply one committed command and return its result."""
        command = decode_command(payload)
        result = self.state.apply(index, command)
        for callback in self.callbacks:
            callback(index, command, result)
        return result

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        return self.state.snapshot()

    def restore(self, index: int, data: bytes) -> None:
        """Replace the state by a snapshot taken at ``index``."""
        self.state.restore(data)
