"""Settings of each program."""

import attrs


@attrs.frozen
class PeerAddress:
    """Where a control member listens, each as ``host:port``.

    ``rpc`` serves control members and entries; ``http`` serves operators and announcing targets.
    """

    member_id: str
    rpc: str
    http: str


@attrs.frozen
class LogSettings:
    """Log destination (a path, ``-`` for standard error) and the lowest level written."""

    destination: str = "-"
    level: str = "info"


@attrs.frozen
class ControlSettings:
    """Settings of one control member; addresses are ``host:port``."""

    cluster_id: str
    member_id: str
    peers: tuple[PeerAddress, ...]
    data_dir: str
    bootstrap: bool = False
    failure_domain: str = ""
    token: str = ""
    statsd: str = ""
    log: LogSettings = attrs.field(factory=LogSettings)


@attrs.frozen
class EntrySettings:
    """Settings of one entry; ``control`` lists the rpc addresses of all control members.

    ``advertise`` is the address under which other entries reach this one (default ``listen``).
    ``drain_delay`` is the time in seconds between failing readiness and closing the listener.
    """

    cluster_id: str
    entry_id: str
    listen: str
    control: tuple[str, ...]
    advertise: str = ""
    failure_domain: str = ""
    drain_delay: float = 5.0
    statsd: str = ""
    log: LogSettings = attrs.field(factory=LogSettings)


@attrs.frozen
class TargetSettings:
    """Settings of one stand-in target; ``control`` lists the http addresses of control members.

    ``service_time_ms`` is the mean time of one request; ``warmup_requests`` are run before it becomes warm.
    """

    target_id: str
    service: str
    listen: str
    control: tuple[str, ...]
    failure_domain: str
    slots: int = 3
    connections: int = 100
    cold_capacity: int = 1
    checks_fence: bool = True
    weight: float = 1.0
    service_time_ms: float = 2.0
    warmup_requests: int = 50
    queue_limit: int = 64
    load_lag_s: float = 0.0
    starts_cold: bool = False
    token: str = ""
    record: str = ""
    log: LogSettings = attrs.field(factory=LogSettings)
