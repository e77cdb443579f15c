"""Converters from the text of a flag or environment variable to the value of a setting."""

import ipaddress
import math
import re
from collections.abc import Callable

from cranberrylever.names import NAME_REMEDY, is_name

_LOG_LEVELS = ("debug", "info", "warning", "error")
_ADDRESS_REMEDY = "use an IP address and a port such as 127.0.0.1:7001 or [::1]:7001"
MAX_PORT = 65_535


class ValueProblemError(ValueError):
    """A text is not a valid value of its setting.

    Args:
        problem: What is wrong, as a phrase that follows the value in the message.
        remedy: How to correct the value.
    """

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy


def identifier(text: str) -> str:
    """Return the text if it is an id of 1 to 64 letters, digits, dots, underscores and hyphens."""
    if not is_name(text):
        raise ValueProblemError("is not an identifier", NAME_REMEDY)
    return text


def listen_address(text: str) -> str:
    """Return the text if it is ``host:port``; port 0 lets the system choose a free port."""
    _split_address(text, minimum_port=0)
    return text


def remote_address(text: str) -> str:
    """Return the text if it is ``host:port`` with a port other than 0, the address of another process."""
    _split_address(text, minimum_port=1)
    return text


def optional_address(text: str) -> str:
    """Return the text if it is ``host:port`` or empty."""
    return remote_address(text) if text else ""


def split_address(address: str) -> tuple[str, int]:
    """Return host (without brackets) and port of a validated ``host:port``.

    Raises:
        ValueProblemError: The address is not ``host:port``.
    """
    return _split_address(address, minimum_port=0)


def is_loopback(address: str) -> bool:
    """Return whether the host of a validated ``host:port`` is a loopback address."""
    host, _ = split_address(address)
    return ipaddress.ip_address(host).is_loopback


def _split_address(text: str, minimum_port: int) -> tuple[str, int]:
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
        raise ValueProblemError(
            "must have brackets around an IPv6 address and around no other", _ADDRESS_REMEDY
        )
    if not (port_text.isascii() and port_text.isdigit() and minimum_port <= int(port_text[:9]) <= MAX_PORT):
        raise ValueProblemError(f"has no port from {minimum_port} to {MAX_PORT}", _ADDRESS_REMEDY)
    return host, int(port_text)


def token(text: str) -> str:
    """Return the text if it is a bearer token or empty."""
    if not all("!" <= character <= "~" for character in text):
        raise ValueProblemError(
            "contains a character that is not visible ASCII", "use a token of visible ASCII characters"
        )
    return text


def plain_text(text: str) -> str:
    """Return the text if all its characters are printable."""
    if not text.isprintable():
        raise ValueProblemError("contains a non-printable character", "remove it")
    return text


def required_text(text: str) -> str:
    """Return the text if it is printable and not empty."""
    if not text:
        raise ValueProblemError("is empty", "give a value")
    return plain_text(text)


def log_level(text: str) -> str:
    """Return the text if it is a log level."""
    if text not in _LOG_LEVELS:
        raise ValueProblemError("is not a log level", f"use one of {', '.join(_LOG_LEVELS)}")
    return text


def boolean(text: str) -> bool:
    """Convert the text of an environment variable to a boolean."""
    if text.lower() in ("1", "true", "yes", "on"):
        return True
    if text.lower() in ("0", "false", "no", "off", ""):
        return False
    raise ValueProblemError("is not a boolean", "use true or false")


def integer(minimum: int, maximum: int) -> Callable[[str], int]:
    """Return a converter to an integer from ``minimum`` to ``maximum``."""

    def convert(text: str) -> int:
        if not re.fullmatch(r"-?[0-9]{1,18}", text) or not minimum <= int(text) <= maximum:
            raise ValueProblemError("is out of range", f"use an integer from {minimum} to {maximum}")
        return int(text)

    return convert


def number(minimum: float, maximum: float) -> Callable[[str], float]:
    """Return a converter to a finite number from ``minimum`` to ``maximum``."""

    def convert(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not minimum <= value <= maximum:
            raise ValueProblemError("is out of range", f"use a number from {minimum:g} to {maximum:g}")
        return value

    return convert
