"""The replicated state machine as consensus sees it."""

import abc


class StateMachine(abc.ABC):
    """Deterministic state that committed payloads are applied to."""

    @abc.abstractmethod
    def apply(self, index: int, payload: bytes) -> object:
        """Apply the committed ``payload`` of the entry at ``index`` and return the result.

        An exception stops the member, because its state would differ from the others'.
        """

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Return the whole state."""

    @abc.abstractmethod
    def restore(self, index: int, data: bytes) -> None:
        """Replace the state by the one in ``data``, which is the state after ``index``."""
