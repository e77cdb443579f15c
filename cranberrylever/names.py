"""Syntax of the names that operators and targets choose: ids, services, failure domains."""

import re

NAME_REMEDY = "use 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


def is_name(text: str) -> bool:
    """Return whether a text is a valid name."""
    return _NAME_PATTERN.fullmatch(text) is not None
