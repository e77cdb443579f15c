"""Constants of an entry, changed only by tests."""

import attrs


@attrs.frozen
class EntryTuning:
    """Intervals and timeouts in seconds, sizes in bytes; names ending in ``_ms`` are in milliseconds.

    Attributes:
        urgent_poll_interval: Replaces ``poll_interval`` while requests wait for a new view.
        view_lifetime: Lease of a view, counted from the time at which the answered poll was sent.
        leader_timeout: Time without a reply of the leader after which polls and claim messages go to all
            control members.
        reconnect_delay: Delay before a lost stream to a control member is opened again.
        stream_timeout: Time without a reply to a poll after which the stream to a control member is closed.
        connect_timeout: Timeout of connecting to a target, and of opening a stream to a control member.
        max_buffered_bytes: Size of all request bodies in memory from which requests with a body are refused.
        max_connections: Number of connections of callers.
        max_requests: Number of concurrent requests of callers above which further ones are refused.
        keep_alive: Time after which an idle connection of a caller is closed.
        header_timeout: Time from the first byte of request headers to the last one.
        target_keep_alive: Time after which an idle connection to a target is closed.
        finish_timeout: Time in which requests may finish when the entry stops.
        disconnect_check_delay: Time after which the check whether the caller has disconnected starts.
        retry_backoff: Delay before the first retry; it doubles with each retry up to ``max_retry_backoff``.
        claim_commit_wait: Time for which a response is delayed until its outcome is committed.
        claim_resend_interval: Time without a reply after which a claim message is sent again.
        claim_poll_interval: Interval at which a request checks a claim held by another request.
        max_stored_answer_bytes: Size of a response body above which it is streamed and not stored.
        claim_close_timeout: Time in which outcomes may be committed when the entry stops.
        cold_mark_lifetime: Time after which a cold mark that no view confirms expires.
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
