"""Settings of each program, with their flags and environment variables."""

import attrs

from cranberrylever.errors import SettingError
from cranberrylever.settings._fields import setting, wrong_setting
from cranberrylever.settings._values import (
    ValueProblemError,
    boolean,
    identifier,
    integer,
    is_loopback,
    listen_address,
    log_level,
    number,
    optional_address,
    plain_text,
    remote_address,
    required_text,
    token,
)

MAX_PEERS = 19
MAX_DRAIN_DELAY_S = 600.0
_TOKEN_NOTE = "prefer the variable, because other users can read the flags of a process"
_LOOPBACK_REMEDY = "set a token of at least one character or listen on a loopback address"


@attrs.frozen
class PeerAddress:
    """Where a control member listens, each as ``host:port``.

    ``rpc`` serves control members and entries; ``http`` serves operators and announcing targets.
    """

    member_id: str
    rpc: str
    http: str


def peer_address(text: str) -> PeerAddress:
    """Return the peer written as ``id=rpc_address/http_address``.

    Raises:
        ValueProblemError: The text has another form.
    """
    member_id, equals, addresses = text.partition("=")
    rpc, slash, http = addresses.partition("/")
    if not (equals and slash):
        raise ValueProblemError(
            "is not id=rpc_address/http_address", "use a peer such as c1=127.0.0.1:7001/127.0.0.1:8001"
        )
    return PeerAddress(identifier(member_id), remote_address(rpc), remote_address(http))


@attrs.frozen
class LogSettings:
    """Log destination (a path, ``-`` for standard error) and the lowest level written."""

    destination: str = setting(
        "Log file, - for standard error or stdout for standard output.",
        required_text,
        "-",
        flag="--log",
        environment="LOG",
    )
    level: str = setting("Lowest level written: debug, info, warning or error.", log_level, "info")


def _cluster_id() -> str:
    return setting("Id of the cluster, the same in all its processes.", identifier)


def _failure_domain() -> str:
    return setting("Failure domain (zone) of this instance.", plain_text, "")


def _statsd() -> str:
    return setting("Address of a statsd server, host:port.", optional_address, "")


@attrs.frozen
class ControlSettings:
    """Settings of one control member; addresses are ``host:port``."""

    cluster_id: str = _cluster_id()
    member_id: str = setting("Id of this member, one of the peers.", identifier)
    peers: tuple[PeerAddress, ...] = setting(
        "A control member (this one included) as id=rpc_address/http_address; may be given several times.",
        peer_address,
        is_list=True,
    )
    data_dir: str = setting("Data folder of this member.", required_text)
    bootstrap: bool = setting(
        "Form a new cluster on an empty data folder; accepted once per cluster.", boolean, False
    )
    failure_domain: str = _failure_domain()
    token: str = setting(
        f"Bearer token of the operator API; required unless it is on loopback; {_TOKEN_NOTE}.", token, ""
    )
    statsd: str = _statsd()
    log: LogSettings = attrs.field(factory=LogSettings)

    @property
    def own_address(self) -> PeerAddress:
        """The addresses of this member.

        Raises:
            SettingError: No peer has the id of this member.
        """
        for peer in self.peers:
            if peer.member_id == self.member_id:
                return peer
        raise wrong_setting(
            ControlSettings,
            "member_id",
            self.member_id,
            "is not the id of a peer",
            f"add --peers {self.member_id}=rpc_address/http_address",
        )

    def validate(self) -> None:
        """Check the settings together.

        Raises:
            SettingError: Peers are duplicated, too many, or the API would be open without a token.
        """
        if len(self.peers) > MAX_PEERS:
            raise self._wrong_peers(f"{len(self.peers)} peers", "are too many", f"use at most {MAX_PEERS}")
        ids = [peer.member_id for peer in self.peers]
        addresses = [address for peer in self.peers for address in (peer.rpc, peer.http)]
        for values in (ids, addresses):
            for value in values:
                if values.count(value) > 1:
                    raise self._wrong_peers(value, "occurs twice", "give each peer its own id and addresses")
        if not self.token and not is_loopback(self.own_address.http):
            raise SettingError(
                f"--token (CRANBERRYLEVER_TOKEN) is not set, but {self.own_address.http} is not loopback",
                _LOOPBACK_REMEDY,
            )

    def _wrong_peers(self, value: str, problem: str, remedy: str) -> SettingError:
        return wrong_setting(ControlSettings, "peers", value, problem, remedy)


@attrs.frozen
class EntrySettings:
    """Settings of one entry; ``control`` lists the rpc addresses of all control members.

    ``advertise`` is the address under which other entries reach this one (default ``listen``).
    ``drain_delay`` is the time in seconds between failing readiness and closing the listener.
    """

    cluster_id: str = _cluster_id()
    entry_id: str = setting("Id of this entry, unique in the cluster.", identifier)
    listen: str = setting("Address for callers, host:port.", listen_address)
    control: tuple[str, ...] = setting(
        "Rpc address of a control member; may be given several times.",
        remote_address,
        environment="CONTROL_RPC",
        is_list=True,
    )
    advertise: str = setting(
        "Address under which other entries reach this one (default: the listen address).",
        optional_address,
        "",
    )
    failure_domain: str = _failure_domain()
    drain_delay: float = setting(
        "Seconds between failing readiness and closing the listener.", number(0.0, MAX_DRAIN_DELAY_S), 5.0
    )
    statsd: str = _statsd()
    log: LogSettings = attrs.field(factory=LogSettings)


@attrs.frozen
class TargetSettings:
    """Settings of one stand-in target; ``control`` lists the http addresses of control members.

    ``service_time_ms`` is the mean time of one request; ``warmup_requests`` are run before it becomes warm.
    """

    target_id: str = setting("Id of this target, unique in the cluster.", identifier)
    service: str = setting("Service that this target serves.", identifier)
    listen: str = setting("Address for entries and control, host:port.", listen_address)
    control: tuple[str, ...] = setting(
        "HTTP address of a control member; may be given several times.",
        remote_address,
        environment="CONTROL_HTTP",
        is_list=True,
    )
    failure_domain: str = setting("Failure domain (zone) of this instance.", identifier)
    advertise: str = setting(
        "Address to announce (default: the listen address).",
        optional_address,
        "",
    )
    slots: int = setting("Requests that run at once.", integer(1, 10_000), 3)
    connections: int = setting("Connections accepted at once.", integer(1, 100_000), 100)
    cold_capacity: int = setting("Requests that may run at once while cold.", integer(0, 10_000), 1)
    checks_fence: bool = setting("Refuse orders and grants with an old fence.", boolean, True)
    weight: float = setting("Capacity relative to other targets.", number(0.001, 1_000.0), 1.0)
    service_time_ms: float = setting("Mean time of one request in ms.", number(0.0, 600_000.0), 2.0)
    warmup_requests: int = setting("Requests run before the target is warm.", integer(0, 1_000_000), 50)
    queue_limit: int = setting("Requests queued beyond the slots.", integer(0, 100_000), 64)
    load_lag_s: float = setting("Age of the load reports in s.", number(0.0, 600.0), 0.0)
    starts_cold: bool = setting("Start cold.", boolean, False)
    token: str = setting(f"Bearer token for announcements to control; {_TOKEN_NOTE}.", token, "")
    record: str = setting("File for the record of executed requests (default: none).", plain_text, "")
    log: LogSettings = attrs.field(factory=LogSettings)


@attrs.frozen
class DevSettings:
    """Settings of the demonstration."""

    token: str = setting(f"Bearer token of the operator API; {_TOKEN_NOTE}.", token, "")


@attrs.frozen
class OperatorSettings:
    """Settings of the operator's commands; ``control`` lists the http addresses of control members.

    ``timeout`` bounds one command in seconds, attempts at other members included.
    """

    control: tuple[str, ...] = setting(
        "HTTP address of a control member; may be given several times.",
        remote_address,
        environment="CONTROL_HTTP",
        is_list=True,
    )
    token: str = setting(f"Bearer token of the operator API; {_TOKEN_NOTE}.", token, "")
    timeout: float = setting("Seconds that the command may take.", number(0.1, 600.0), 10.0)
