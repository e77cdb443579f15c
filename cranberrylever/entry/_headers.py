"""Header names, and the headers that pass between caller and target."""

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

_OWN_PREFIX = b"cranberrylever-"
_OUTCOME_NAME = OUTCOME.lower().encode()


def request_headers(headers: list[tuple[bytes, bytes]]) -> list[tuple[str, str]]:
    """Return a caller's headers without hop-by-hop ones and without our own, which the entry sets itself."""
    kept = []
    listed = None
    for name, value in headers:
        if name in DROPPED_REQUEST_HEADERS:
            if name == b"connection" and value.lower() not in (b"keep-alive", b"close"):
                listed = named_in_connection(headers)
            continue
        if name.startswith(_OWN_PREFIX):
            continue
        kept.append((name.decode("latin-1"), _decode(value)))
    if listed:
        kept = [pair for pair in kept if pair[0].encode("latin-1") not in listed]
    return kept


def _decode(value: bytes) -> str:
    """Return a header value in the form that aiohttp, which encodes as UTF-8, sends as the same bytes."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")


def answer_headers(raw: tuple[tuple[bytes, bytes], ...]) -> list[tuple[bytes, bytes]]:
    """Return a target's headers without hop-by-hop ones and without an outcome, which the entry sets."""
    kept = []
    listed = None
    for name, value in raw:
        lower = name.lower()
        if lower in HOP_BY_HOP:
            if lower == b"connection" and value.lower() not in (b"keep-alive", b"close"):
                listed = named_in_connection(list(raw))
            continue
        if lower == _OUTCOME_NAME:
            continue
        kept.append((lower, value))
    if listed:
        kept = [pair for pair in kept if pair[0] not in listed]
    return kept


def find(headers: list[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the value of the first header with the lower-case ``name``."""
    for header, value in headers:
        if header == name:
            return value
    return None
