"""Extraction of service names and keys from requests, and key hashes."""

from urllib.parse import unquote

import xxhash

from cranberrylever.routing._view import KeySource


def split_service(path: str) -> tuple[str, str]:
    """Split an undecoded path into the service name and the path below it, with a leading ``/``."""
    service, _, rest = path[1:].partition("/")
    return service, "/" + rest


def key_from_path(path: str, segment: int) -> str | None:
    """Return the decoded path segment number ``segment``, from 1, or ``None`` if missing or empty."""
    segments = path.split("/", segment + 1)
    if len(segments) <= segment or not segments[segment]:
        return None
    text = segments[segment]
    return unquote(text) if "%" in text else text


def extract_key(source: KeySource, path: str, headers: list[tuple[bytes, bytes]]) -> str | None:
    """Return the key of a request, or ``None`` when it has none.

    Args:
        source: Where the service keeps its key.
        path: The undecoded path without the query.
        headers: Header pairs with lower-case names.
    """
    if not source.header:
        return key_from_path(path, source.segment)
    name = source.header.lower().encode("latin-1")
    for header, value in headers:
        if header == name:
            return value.decode("utf-8", "replace") or None
    return None


def hash_key(key: str) -> int:
    """Return the 64-bit hash of ``key``."""
    return xxhash.xxh3_64_intdigest(key.encode("utf-8", "surrogatepass"))
