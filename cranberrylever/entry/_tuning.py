"""Constants of an entry, changed only by tests."""

import attrs


@attrs.frozen
class EntryTuning:
    """Intervals and timeouts in seconds, sizes in bytes; names ending in ``_ms`` are in milliseconds.

    ``urgent_poll_interval`` replaces ``poll_interval`` while requests wait for a new view. After
    ``leader_timeout`` without a reply of the leader, polls and claim messages go to all control members.
    """

    poll_interval: float = 0.2
    urgent_poll_interval: float = 0.05
    view_lifetime: float = 1.2
    leader_timeout: float = 0.3
    reconnect_delay: float = 0.2
    stream_timeout: float = 2.0
    connect_timeout: float = 1.0
    max_deadline_ms: int = 120_000
    max_buffered_bytes: int = 64 * 1_048_576
    max_header_bytes: int = 32_768
    max_connections: int = 2_000
    max_requests: int = 2_000
    keep_alive: float = 20.0
    header_timeout: float = 10.0
    target_keep_alive: float = 4.0
    finish_timeout: float = 30.0
    disconnect_check_delay: float = 0.01
    retry_backoff: float = 0.02
    max_retry_backoff: float = 0.2
    claim_commit_wait: float = 0.25
    claim_resend_interval: float = 0.3
    claim_poll_interval: float = 0.1
    max_stored_answer_bytes: int = 262_144
    claim_close_timeout: float = 5.0
    cold_mark_lifetime: float = 3.0
