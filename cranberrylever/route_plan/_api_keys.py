"""Digests of API keys, which stand in place of the keys wherever a plan is held."""

import hashlib

MAX_KEY_BYTES = 1_024
"""Longest API key in bytes; a longer one would not fit beside the other headers of a request."""

_DIGEST_BYTES = 32
_DIGEST_PURPOSE = b"cranberrylever"


def key_digest(key: bytes) -> str:
    """Return the digest of an API key, empty for one that no request can carry.

    A key has 1 to ``MAX_KEY_BYTES`` visible ASCII characters.
    """
    if not 0 < len(key) <= MAX_KEY_BYTES or not all(0x21 <= byte <= 0x7E for byte in key):
        return ""
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES, person=_DIGEST_PURPOSE).hexdigest()


def text_key_digest(key: str) -> str:
    """Return the digest of an API key in a document, empty for one that no request can carry."""
    return key_digest(key.encode("utf-8", "replace"))
