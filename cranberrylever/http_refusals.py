"""Refusals that a listener writes itself, after which it closes the connection."""


def bad_host(hosts: int) -> bytes:
    """Return the refusal of a request with none or several Host headers."""
    return _bad_request(b'{"error": "%d Host headers", "remedy": "send exactly one"}' % hosts)


def _bad_request(body: bytes) -> bytes:
    head = (
        "HTTP/1.1 400 Bad Request\r\ncranberrylever-outcome: not-run\r\ncontent-type: application/json\r\n"
        f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
    )
    return head.encode() + body


HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\ncranberrylever-outcome: not-run\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
BODY_TOO_LARGE = b"HTTP/1.1 413 Content Too Large\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
NO_MEMORY = (
    b"HTTP/1.1 503 Service Unavailable\r\ncranberrylever-outcome: not-run\r\nretry-after: 1\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
FRAMING_TOO_LARGE = _bad_request(
    b'{"error": "chunk extensions and trailers are too large", "remedy": "send fewer of them"}'
)
BAD_VERSION = _bad_request(
    b'{"error": "the version is not HTTP/1.0 or HTTP/1.1", "remedy": "send one of these"}'
)
BODY_BEFORE_UPGRADE = _bad_request(
    b'{"error": "a body with an Upgrade header", "remedy": "send the body without that header"}'
)
INVALID = _bad_request(b'{"error": "the request is not valid HTTP", "remedy": "send requests by RFC 9112"}')
