"""Limits of a listener on what its callers send, whoever they are."""

import attrs


@attrs.frozen
class ListenerLimits:
    """Limits of one listener: counts, bytes and times in seconds.

    Args:
        max_connections: Connections above which further ones are closed at once.
        max_head_bytes: Bytes of the head of a request, with empty lines before it.
        arrival_time: Time from the first byte of a head to its last.
        idle_time: Time after which a connection is closed that waits for its next request.
    """

    max_connections: int = 2_000
    max_head_bytes: int = 32_768
    arrival_time: float = 20.0
    idle_time: float = 20.0
