"""Which versions and statuses of HTTP are valid, for everything that reads one."""

HTTP_VERSIONS = ("1.0", "1.1")
"""Versions that listeners and connections to targets speak."""

STATUS_WITHOUT_BODY = frozenset({204, 304})
"""Statuses whose answers have no body."""

_SWITCHING_PROTOCOLS = 101


def is_interim(status: int) -> bool:
    """Return whether another answer follows the one with this status."""
    return 100 <= status < 200 and status != _SWITCHING_PROTOCOLS


def is_final(status: int) -> bool:
    """Return whether an answer with this status is the answer to a request.

    No request asks for another protocol, so a switch to one is no answer.
    """
    return 200 <= status < 600
