"""Header names, and filters for the headers forwarded between caller and target."""

from cranberrylever.caller_http import DROPPED_REQUEST_HEADERS, HOP_BY_HOP, named_in_connection

OUTCOME = "Cranberrylever-Outcome"
SHARD = "Cranberrylever-Shard"
FENCE = "Cranberrylever-Fence"
DEADLINE_MS = "Cranberrylever-Deadline-Ms"
REQUEST_ID = "Cranberrylever-Request-Id"
TARGET_INCARNATION = "Cranberrylever-Target-Incarnation"
TARGET_STATE = "Cranberrylever-Target-State"
HOP = "Cranberrylever-Hop"

DONE = "done"
NOT_RUN = "not-run"
UNKNOWN = "unknown"

_INTERNAL_PREFIX = b"cranberrylever-"
_OUTCOME_NAME = OUTCOME.lower().encode()


def filter_request_headers(headers: list[tuple[bytes, bytes]]) -> list[tuple[str, str]]:
    """Return a caller's headers without hop-by-hop headers and those that the entry sets itself."""
    kept = []
    connection_options = None
    for name, value in headers:
        if name in DROPPED_REQUEST_HEADERS:
            if name == b"connection" and value.lower() not in (b"keep-alive", b"close"):
                connection_options = named_in_connection(headers)
            continue
        if name.startswith(_INTERNAL_PREFIX):
            continue
        kept.append((name.decode("latin-1"), _decode(value)))
    if connection_options:
        kept = [pair for pair in kept if pair[0].encode("latin-1") not in connection_options]
    return kept


def _decode(value: bytes) -> str:
    """Decode a header value so that aiohttp, which encodes values as UTF-8, sends the same bytes."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")


def filter_response_headers(raw: tuple[tuple[bytes, bytes], ...]) -> list[tuple[bytes, bytes]]:
    """Return a target's headers without hop-by-hop headers and the outcome, which the entry sets."""
    kept = []
    connection_options = None
    for name, value in raw:
        lower = name.lower()
        if lower in HOP_BY_HOP:
            if lower == b"connection" and value.lower() not in (b"keep-alive", b"close"):
                connection_options = named_in_connection(list(raw))
            continue
        if lower == _OUTCOME_NAME:
            continue
        kept.append((lower, value))
    if connection_options:
        kept = [pair for pair in kept if pair[0] not in connection_options]
    return kept


def find_header(headers: list[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the value of the first header with the lower-case ``name``."""
    for header, value in headers:
        if header == name:
            return value
    return None
