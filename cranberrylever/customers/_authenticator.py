"""Reads the API key of a request from its Authorization headers."""

from collections.abc import Sequence

from cranberrylever.errors import UnauthorizedError
from cranberrylever.route_plan import key_digest

_SCHEME = b"bearer"
_REMEDY = "send one header Authorization: Bearer KEY with a key that the operator gave you"


def read_key_digest(values: Sequence[bytes]) -> str:
    """Return the digest of the API key in a request.

    The scheme is read in any case, with any number of spaces around the key.

    Args:
        values: Values of all Authorization headers.

    Raises:
        UnauthorizedError: There is no such header, more than one, or one without a usable key.
    """
    if not values:
        raise UnauthorizedError("the request has no API key", _REMEDY)
    if len(values) > 1:
        raise UnauthorizedError("the request has several Authorization headers", _REMEDY)
    scheme, _, key = values[0].strip(b" \t").partition(b" ")
    digest = key_digest(key.strip(b" \t"))
    if scheme.lower() != _SCHEME or not digest:
        raise UnauthorizedError("the Authorization header holds no API key", _REMEDY)
    return digest


def unknown_key_error() -> UnauthorizedError:
    """Return the error for a key that belongs to no customer."""
    return UnauthorizedError("the API key belongs to no customer", _REMEDY)
