"""Assertions of rules that must always hold, active in production."""

from cranberrylever.errors import InvariantError

_REMEDY = "stop using this process and report the log lines before this one"


def check(condition: bool, message: str) -> None:
    """Raise when a rule that must always hold is broken.

    Args:
        condition: The rule.
        message: The rule in words, with the values concerned.

    Raises:
        InvariantError: ``condition`` is false.
    """
    if not condition:
        raise InvariantError(message, _REMEDY)
