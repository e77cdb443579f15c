"""Settings of the programs that serve and manage routes."""

import attrs

from cranberrylever.settings._fields import setting
from cranberrylever.settings._programs import LogSettings
from cranberrylever.settings._values import (
    boolean,
    identifier,
    integer,
    listen_address,
    number,
    optional_address,
    plain_text,
    remote_address,
    required_text,
)

MAX_TIME_S = 600.0
MAX_TOLERATED_LOSSES = 4
MIN_ANSWER_MEMORY = 16 * 1_048_576
MAX_MEMORY = 1 << 40
"""Highest setting of a limit in bytes, above the memory of any instance."""

DEFAULT_ANSWER_MEMORY = 96 * 1_048_576
MIN_BODY_MEMORY = 1_048_576
DEFAULT_BODY_MEMORY = 96 * 1_048_576
MIN_READ_MEMORY = 1_048_576


@attrs.frozen
class LimitSettings:
    """Rate limits that hold over all entries together.

    In any second, a cold target receives at most its rate times ``cold_factor`` plus ``cold_extra`` requests.
    In any ``retry_window`` seconds, at most ``retry_ratio`` of a service's requests plus ``retry_extra`` are
    retried.
    """

    cold_factor: float = setting(
        "Multiple of a cold target's rate that it may receive in one second.", number(0.0, 100.0), 1.5
    )
    cold_extra: float = setting(
        "Requests that a cold target may receive in one second beyond that multiple.", number(0.0, 1e6), 5.0
    )
    retry_ratio: float = setting(
        "Share of a service's requests that may be retried on a second target.", number(0.0, 1.0), 0.2
    )
    retry_extra: float = setting(
        "Requests beyond that share that may be retried in one window.", number(0.0, 1e6), 50.0
    )
    retry_window: float = setting("Length of the retry window in s.", number(1.0, MAX_TIME_S), 10.0)


@attrs.frozen
class ListenerSettings:
    """Limits of each listener on what its callers send; times are in seconds."""

    requests_ahead: int = setting(
        "Requests that a caller may send ahead on one connection; those beyond wait unread until an earlier "
        "one is answered.",
        integer(1, 10_000),
        64,
    )
    read_memory: int = setting(
        "Bytes of requests that wait for their turn, over all connections of one listener. While half of "
        "them are taken, nothing is read ahead; beyond them, the connection that holds most is closed after "
        "the answer to its first request. What it had sent behind that has not run.",
        integer(MIN_READ_MEMORY, MAX_MEMORY),
        32 * 1_048_576,
    )
    dropped_body: int = setting(
        "Bytes of a request's body that are read and dropped after its answer, so that the connection can be "
        "used again; beyond them it is closed.",
        integer(0, MAX_MEMORY),
        64 * 1_048_576,
    )


@attrs.frozen
class RouteEntrySettings:
    """Settings of an entry that serves routes; addresses are ``host:port``, times are in seconds."""

    cluster_id: str = setting("Id of the cluster, identical in all its processes.", identifier)
    entry_id: str = setting("Id of this entry, unique in the cluster.", identifier)
    listen: str = setting("Address for callers, host:port.", listen_address)
    ready_listen: str = setting(
        "Address for the readiness checks of the load balancer, host:port.", listen_address
    )
    contacts: tuple[str, ...] = setting(
        "RPC address of a control member to contact first; may be given several times.",
        remote_address,
        environment="CONTROL_RPC",
        is_list=True,
    )
    failure_domain: str = setting("Failure domain (zone) of this instance.", plain_text, "")
    peer_listen: str = setting(
        "Address for requests that other entries pass on while they reach no target, host:port (default: "
        "takes none).",
        optional_address,
        "",
    )
    metrics_listen: str = setting("Address of the metrics endpoint, host:port.", optional_address, "")
    drain_delay: float = setting(
        "Seconds between failing readiness checks and closing the listener.", number(0.0, MAX_TIME_S), 2.2
    )
    finish_timeout: float = setting(
        "Seconds for running requests to finish after the listener has closed. Together with the drain delay "
        "it has to end before the process is killed.",
        number(0.0, MAX_TIME_S),
        30.0,
    )
    answer_memory: int = setting(
        "Bytes of answers of 16 KiB or more that the entry holds at once, from the first byte of a target to "
        "the last one that a caller reads. While they are reached, requests are refused (503, not run, with "
        "Retry-After), and answers that are ready wait at their targets. The process needs about 100 MB "
        "beside them.",
        integer(MIN_ANSWER_MEMORY, MAX_MEMORY),
        DEFAULT_ANSWER_MEMORY,
    )
    body_memory: int = setting(
        "Bytes of request bodies of 16 KiB or more that the entry holds at once, from a body's first byte to "
        "the answer. Beyond them bodies wait, of which little is read, or are refused (503, not run, with "
        "Retry-After). A body takes twice its bytes while it is sent to a target, up to three times over a "
        "slow link, and for a moment up to four times. One above the limit is taken only while there is no "
        "other, one of more than twice the limit never; otherwise it is refused (503, not run).",
        integer(MIN_BODY_MEMORY, MAX_MEMORY),
        DEFAULT_BODY_MEMORY,
    )
    target_body_memory: int = setting(
        "Bytes of request bodies of 16 KiB or more that one target may hold of all entries together, running "
        "and queued; 0 for no limit. Each entry uses an equal share of it, or one request if that is less. "
        "Only requests of routes with large_bodies in the plan are held back by it.",
        integer(0, MAX_MEMORY),
        0,
    )
    rules: LimitSettings = attrs.field(factory=LimitSettings)
    log: LogSettings = attrs.field(factory=LogSettings)
    revocation_time: float = setting(
        "Seconds after the acknowledgement of a plan from which no request runs with an API key that it took "
        "away, also at an entry without control. An entry whose view was not confirmed for 0.8 of this time "
        "refuses requests with a key (503, not run); use at least 3 s (default: no bound).",
        number(0.0, MAX_TIME_S),
        0.0,
    )
    listener: ListenerSettings = attrs.field(factory=ListenerSettings)


@attrs.frozen
class RouteControlSettings:
    """Settings of a control member that manages routes; addresses are ``host:port``, times are in seconds.

    ``rpc`` is the address for other members and entries and also the id of the member. ``founders`` are the
    initial members of the cluster when ``bootstrap`` is set and the data directory is empty; otherwise the
    member asks the ``contacts`` to add it. All members serve operators and targets on the port of ``http``.
    """

    cluster_id: str = setting("Id of the cluster, identical in all its processes.", identifier)
    rpc: str = setting(
        "Address for members and entries, host:port; it is also the id of this member.", remote_address
    )
    http: str = setting(
        "Address for operators and targets, host:port; all members use the same port.", remote_address
    )
    data_dir: str = setting("Data directory of this member.", required_text)
    contacts: tuple[str, ...] = setting(
        "RPC address of a member to which the join request is sent; may be given several times.",
        remote_address,
        environment="CONTROL_RPC",
        is_list=True,
    )
    founders: tuple[str, ...] = setting(
        "RPC address of an initial member; may be given several times.", remote_address, (), is_list=True
    )
    bootstrap: bool = setting("Form a new cluster on an empty data directory.", boolean, False)
    failure_domains: tuple[str, ...] = setting(
        "Name of a failure domain; may be given several times; without one, every name is accepted.",
        identifier,
        (),
        is_list=True,
    )
    failure_domain: str = setting("Failure domain (zone) of this instance.", plain_text, "")
    tolerated_instances: int = setting(
        "Control members that may be lost at the same time, with their disks; 2 need five members. The group "
        "grows to the voters that this takes, as far as there are members.",
        integer(0, MAX_TOLERATED_LOSSES),
        0,
    )
    tolerated_domains: int = setting(
        "Failure domains whose control members may be lost at the same time instead.",
        integer(0, MAX_TOLERATED_LOSSES),
        0,
    )
    notice_interval: float = setting(
        "Seconds between two announcements of a target.", number(0.05, 60.0), 1.0
    )
    forward_timeout: float = setting(
        "Seconds to wait for the leader's response to a forwarded request.", number(0.05, 60.0), 0.9
    )
    rpc_listen: str = setting(
        "Listen address for members and entries, host:port, when it is not the --rpc address.",
        optional_address,
        "",
    )
    metrics_listen: str = setting("Address of the metrics endpoint, host:port.", optional_address, "")
    finish_timeout: float = setting(
        "Seconds in which operators and targets get the answers to their requests after the listener has "
        "closed. Together with a handover of leadership (1 s) it has to end before the process is killed.",
        number(0.0, MAX_TIME_S),
        5.0,
    )
    max_body: int = setting(
        "Bytes of the body of a request of an operator or a target, 413 beyond them. Bodies count towards "
        "--listener-read-memory until they are answered; beyond that the largest is refused (503, not run).",
        integer(65_536, MAX_MEMORY),
        16 * 1_048_576,
    )
    log: LogSettings = attrs.field(factory=LogSettings)
    listener: ListenerSettings = attrs.field(factory=ListenerSettings)
