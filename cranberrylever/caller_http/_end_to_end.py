"""Which headers pass between caller and target, and which concern one connection only."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

DROPPED_REQUEST_HEADERS = HOP_BY_HOP | {b"content-length", b"expect"}
"""Headers of a request that an entry sets itself, since it sends the whole body at once."""


def named_in_connection(headers: list[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """Return the lower-case header names listed in ``Connection``."""
    names: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            names.update(token.strip().lower() for token in value.split(b","))
    return frozenset(names)


def end_to_end_headers(headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return the headers that do not concern one connection only, without the length of the body."""
    named = named_in_connection(headers)
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in DROPPED_REQUEST_HEADERS and name.lower() not in named
    ]
