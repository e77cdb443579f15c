"""Limits of a listener on what its callers send, whoever they are."""

import attrs

from cranberrylever.settings import ListenerSettings


@attrs.frozen
class ListenerLimits:
    """Limits of one listener: counts, bytes and times in seconds.

    Args:
        max_connections: Connections above which one without a request is closed, or else the new one.
        max_head_bytes: Bytes of the head of a request, with empty lines before it.
        arrival_time: Time for the first byte of the first request, from the first byte of a head to its last,
            and for each 64 KiB of a body that no application waits for.
        idle_time: Time after which a connection is closed that waits for its next request.
        max_requests_ahead: Requests of a connection that are read while an earlier one is answered.
        max_bytes_ahead: Bytes of them above which no more are read.
        read_memory: Bytes of all requests that wait at the listener and of what was received behind them.
        max_dropped_bytes: Bytes of a body that are read and dropped after its request is answered.
        max_body_bytes: Bytes of a body, which then counts as waiting until its request is answered; ``None``
            when the application has a limit of its own.
    """

    max_connections: int = 2_000
    max_head_bytes: int = 32_768
    arrival_time: float = 20.0
    idle_time: float = 20.0
    max_requests_ahead: int = 64
    max_bytes_ahead: int = 262_144
    read_memory: int = 32 * 1_048_576
    max_dropped_bytes: int = 64 * 1_048_576
    max_body_bytes: int | None = None


def create_limits(settings: ListenerSettings) -> ListenerLimits:
    """Return the limits of a listener by the settings of its program."""
    return ListenerLimits(
        max_requests_ahead=settings.requests_ahead,
        read_memory=settings.read_memory,
        max_dropped_bytes=settings.dropped_body,
    )
