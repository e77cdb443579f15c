"""Separation of the end-to-end headers of a message from the hop-by-hop ones."""

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
"""Headers that an entry does not forward; it sends the complete body at once and sets its length itself."""


def named_in_connection(headers: list[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """Return the lower-case header names listed in ``Connection``."""
    names: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            names.update(token.strip().lower() for token in value.split(b","))
    return frozenset(names)


def end_to_end_headers(headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return the headers to forward: all but hop-by-hop headers, ``Content-Length`` and ``Expect``."""
    connection_headers = named_in_connection(headers)
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in DROPPED_REQUEST_HEADERS and name.lower() not in connection_headers
    ]
