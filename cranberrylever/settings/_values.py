"""Conversion of the text of a flag or environment variable into the value of a setting."""

import ipaddress
import math
import re
from collections.abc import Callable

from cranberrylever.names import NAME_REMEDY, is_name

_LEVELS = ("debug", "info", "warning", "error")
_ADDRESS_REMEDY = "use an IP address and a port such as 127.0.0.1:7001 or [::1]:7001"
MAX_PORT = 65_535


class ValueProblemError(ValueError):
    """A text is not a value of the expected kind.

    Args:
        problem: What is wrong, in words that follow the value.
        remedy: What to use instead.
    """

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy


def identifier(text: str) -> str:
    """Return an id of 1 to 64 letters, digits, dots, underscores and hyphens."""
    if not is_name(text):
        raise ValueProblemError("is not an identifier", NAME_REMEDY)
    return text


def listen_address(text: str) -> str:
    """Return ``host:port``; port 0 lets the system choose a free port."""
    _split_address(text, lowest_port=0)
    return text


def remote_address(text: str) -> str:
    """Return ``host:port`` of another process."""
    _split_address(text, lowest_port=1)
    return text


def optional_address(text: str) -> str:
    """Return ``host:port``, or an empty text for none."""
    return remote_address(text) if text else ""


def split_address(address: str) -> tuple[str, int]:
    """Return host (without brackets) and port of a validated ``host:port``.

    Raises:
        ValueProblemError: The address is not ``host:port``.
    """
    return _split_address(address, lowest_port=0)


def is_loopback(address: str) -> bool:
    """Return whether the host of a validated ``host:port`` is a loopback address."""
    host, _ = split_address(address)
    return ipaddress.ip_address(host).is_loopback


def _split_address(text: str, lowest_port: int) -> tuple[str, int]:
    host, separator, port_text = text.rpartition(":")
    if not separator:
        raise ValueProblemError("has no port", _ADDRESS_REMEDY)
    is_bracketed = host.startswith("[") and host.endswith("]")
    host = host[1:-1] if is_bracketed else host
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        raise ValueProblemError("does not start with an IP address", _ADDRESS_REMEDY) from None
    if (address.version == 6) != is_bracketed:
        raise ValueProblemError("needs brackets around an IPv6 address only", _ADDRESS_REMEDY)
    if not (port_text.isascii() and port_text.isdigit() and lowest_port <= int(port_text[:9]) <= MAX_PORT):
        raise ValueProblemError(f"has no port from {lowest_port} to {MAX_PORT}", _ADDRESS_REMEDY)
    return host, int(port_text)


def token(text: str) -> str:
    """Return a bearer token; empty for none."""
    if not all("!" <= character <= "~" for character in text):
        raise ValueProblemError("holds a space or a character outside ASCII", "use a token of visible ASCII")
    return text


def plain_text(text: str) -> str:
    """Return the text itself when it holds no control characters."""
    if not text.isprintable():
        raise ValueProblemError("holds a control character", "remove it")
    return text


def required_text(text: str) -> str:
    """Return a text that is not empty."""
    if not text:
        raise ValueProblemError("is empty", "give a value")
    return plain_text(text)


def log_level(text: str) -> str:
    """Return the name of a log level."""
    if text not in _LEVELS:
        raise ValueProblemError("is not a log level", f"use one of {', '.join(_LEVELS)}")
    return text


def boolean(text: str) -> bool:
    """Return the truth value of an environment variable."""
    if text.lower() in ("1", "true", "yes", "on"):
        return True
    if text.lower() in ("0", "false", "no", "off", ""):
        return False
    raise ValueProblemError("is not a truth value", "use true or false")


def integer(lowest: int, highest: int) -> Callable[[str], int]:
    """Return a conversion to an integer within bounds."""

    def convert(text: str) -> int:
        if not re.fullmatch(r"-?[0-9]{1,18}", text) or not lowest <= int(text) <= highest:
            raise ValueProblemError("is out of range", f"use an integer from {lowest} to {highest}")
        return int(text)

    return convert


def number(lowest: float, highest: float) -> Callable[[str], float]:
    """Return a conversion to a finite number within bounds."""

    def convert(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not lowest <= value <= highest:
            raise ValueProblemError("is out of range", f"use a number from {lowest:g} to {highest:g}")
        return value

    return convert
