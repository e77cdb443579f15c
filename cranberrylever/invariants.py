"""Invariant checks that stay active in production."""

from cranberrylever.errors import InvariantError

_REMEDY = "stop using this process and report the log lines before this one"


def check(condition: bool, message: str) -> None:
    """Raise an error if an invariant is violated.

    Args:
        condition: Whether the invariant holds.
        message: Description of the violation, with the values concerned.

    Raises:
        InvariantError: ``condition`` is false.
    """
    if not condition:
        raise InvariantError(message, _REMEDY)
