"""Settings of the programs that serve and steer routes."""

import attrs

from cranberrylever.settings._fields import setting
from cranberrylever.settings._programs import LogSettings
from cranberrylever.settings._values import (
    boolean,
    identifier,
    listen_address,
    number,
    optional_address,
    plain_text,
    remote_address,
    required_text,
)

MAX_TIME_S = 600.0


@attrs.frozen
class LimitRules:
    """Limits over all entries.

    In any second a cold target gets at most its rate times ``cold_factor`` plus ``cold_extra`` requests. In
    any ``retry_window`` seconds a service gets at most ``retry_ratio`` of its requests plus ``retry_extra``
    again.
    """

    cold_factor: float = setting(
        "Multiple of a cold target's rate that it bears in one second.", number(0.0, 100.0), 1.5
    )
    cold_extra: float = setting(
        "Requests that a cold target bears in one second beyond that.", number(0.0, 1e6), 5.0
    )
    retry_ratio: float = setting(
        "Share of a service's requests that may be sent to a second target.", number(0.0, 1.0), 0.2
    )
    retry_extra: float = setting(
        "Requests beyond that share that may be sent again in one window.", number(0.0, 1e6), 50.0
    )
    retry_window: float = setting("Length of the window of retries in s.", number(1.0, MAX_TIME_S), 10.0)


@attrs.frozen
class RouteEntrySettings:
    """Settings of an entry that serves routes; addresses are ``host:port``, times seconds."""

    cluster_id: str = setting("Id of the cluster, the same in all its processes.", identifier)
    entry_id: str = setting("Id of this entry, unique in the cluster.", identifier)
    listen: str = setting("Address for callers, host:port.", listen_address)
    ready_listen: str = setting("Address for the balancer's readiness checks, host:port.", listen_address)
    contacts: tuple[str, ...] = setting(
        "Rpc address of a control member to ask first; may be given several times.",
        remote_address,
        environment="CONTROL_RPC",
        is_list=True,
    )
    failure_domain: str = setting("Failure domain (zone) of this instance.", plain_text, "")
    metrics_listen: str = setting("Address on which metrics are read, host:port.", optional_address, "")
    drain_delay: float = setting(
        "Seconds between failing readiness and closing the listener.", number(0.0, MAX_TIME_S), 2.2
    )
    finish_timeout: float = setting(
        "Seconds for requests that run when the listener has closed.", number(0.0, MAX_TIME_S), 1.6
    )
    rules: LimitRules = attrs.field(factory=LimitRules)
    log: LogSettings = attrs.field(factory=LogSettings)


@attrs.frozen
class RouteControlSettings:
    """Settings of a control member that steers routes; addresses are ``host:port``, times seconds.

    ``rpc`` is the address for other members and entries and names the member. ``founders`` are the members
    that form the group when ``bootstrap`` is set and the data folder is empty; ``contacts`` are members to
    ask otherwise. All members serve operators and targets on the port of ``http``.
    """

    cluster_id: str = setting("Id of the cluster, the same in all its processes.", identifier)
    rpc: str = setting("Address for members and entries, host:port; it names this member.", remote_address)
    http: str = setting("Address for operators and targets; its port is that of all members.", remote_address)
    data_dir: str = setting("Data folder of this member.", required_text)
    contacts: tuple[str, ...] = setting(
        "Rpc address of a member to ask to be let in; may be given several times.",
        remote_address,
        environment="CONTROL_RPC",
        is_list=True,
    )
    founders: tuple[str, ...] = setting(
        "Rpc address of a founding member; may be given several times.", remote_address, (), is_list=True
    )
    bootstrap: bool = setting("Form a new cluster on an empty data folder.", boolean, False)
    failure_domains: tuple[str, ...] = setting(
        "Name of a failure domain; may be given several times; without one all names are taken.",
        identifier,
        (),
        is_list=True,
    )
    notice_interval: float = setting("Seconds between notices of a target.", number(0.05, 60.0), 1.0)
    forward_timeout: float = setting("Seconds that the leader has to answer.", number(0.05, 60.0), 0.9)
    rpc_listen: str = setting(
        "Address to listen on for members and entries when they reach --rpc by another way, host:port.",
        optional_address,
        "",
    )
    metrics_listen: str = setting("Address on which metrics are read, host:port.", optional_address, "")
    log: LogSettings = attrs.field(factory=LogSettings)
