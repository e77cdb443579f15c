"""Abstract class of the replicated state machine."""

import abc


class StateMachine(abc.ABC):
    """Deterministic state machine to which committed payloads are applied."""

    @abc.abstractmethod
    def apply(self, index: int, payload: bytes) -> object:
        """Apply the committed ``payload`` of the entry at ``index`` and return the result.

        An exception stops the member, because its state would diverge from that of the other members.
        """

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Return the serialized state."""

    @abc.abstractmethod
    def restore(self, index: int, data: bytes) -> None:
        """Replace the state with a snapshot ``data`` of the state after the entry at ``index``."""
