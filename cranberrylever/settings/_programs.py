"""Settings of the programs that serve services, the stand-in target, the demonstration and operators."""

import attrs

from cranberrylever.errors import SettingError
from cranberrylever.settings._fields import setting, setting_conflict
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
_TOKEN_ADVICE = "prefer the variable, because other users can read the flags of a process"
_LOOPBACK_REMEDY = "set a token of at least one character or listen on a loopback address"


@attrs.frozen
class PeerAddress:
    """Listen addresses of a control member, each as ``host:port``.

    ``rpc`` serves control members and entries; ``http`` serves operators and the announcements of targets.
    """

    member_id: str
    rpc: str
    http: str


def peer_address(text: str) -> PeerAddress:
    """Parse a peer in the form ``id=rpc_address/http_address``.

    Raises:
        ValueProblemError: The text does not have this form.
    """
    member_id, equals_sign, addresses = text.partition("=")
    rpc, slash, http = addresses.partition("/")
    if not (equals_sign and slash):
        raise ValueProblemError(
            "is not id=rpc_address/http_address", "use a peer such as c1=127.0.0.1:7001/127.0.0.1:8001"
        )
    return PeerAddress(identifier(member_id), remote_address(rpc), remote_address(http))


@attrs.frozen
class LogSettings:
    """Log destination (a path, ``-`` for standard error or ``stdout``) and minimum level."""

    destination: str = setting(
        "Log file, - for standard error or stdout for standard output.",
        required_text,
        "-",
        flag="--log",
        environment="LOG",
    )
    level: str = setting("Minimum log level: debug, info, warning or error.", log_level, "info")


def _cluster_id() -> str:
    return setting("Id of the cluster, identical in all its processes.", identifier)


def _failure_domain() -> str:
    return setting("Failure domain (zone) of this instance.", plain_text, "")


def _statsd() -> str:
    return setting("Address of a statsd server, host:port.", optional_address, "")


@attrs.frozen
class ControlSettings:
    """Settings of one control member; addresses are ``host:port``."""

    cluster_id: str = _cluster_id()
    member_id: str = setting("Id of this member; one of the peers has this id.", identifier)
    peers: tuple[PeerAddress, ...] = setting(
        "A control member, this one included, as id=rpc_address/http_address; may be given several times.",
        peer_address,
        is_list=True,
    )
    data_dir: str = setting("Data directory of this member.", required_text)
    bootstrap: bool = setting(
        "Form a new cluster on an empty data directory; accepted once per cluster.", boolean, False
    )
    failure_domain: str = _failure_domain()
    token: str = setting(
        f"Bearer token of the operator API; required unless it listens on loopback; {_TOKEN_ADVICE}.",
        token,
        "",
    )
    statsd: str = _statsd()
    log: LogSettings = attrs.field(factory=LogSettings)

    @property
    def own_address(self) -> PeerAddress:
        """Listen addresses of this member.

        Raises:
            SettingError: No peer has the id of this member.
        """
        for peer in self.peers:
            if peer.member_id == self.member_id:
                return peer
        raise setting_conflict(
            ControlSettings,
            "member_id",
            self.member_id,
            "is not the id of a peer",
            f"add --peers {self.member_id}=rpc_address/http_address",
        )

    def validate(self) -> None:
        """Check the settings in combination.

        Raises:
            SettingError: Peers are duplicated or too many, or the operator API is reachable without a token.
        """
        if len(self.peers) > MAX_PEERS:
            raise self._peers_conflict(
                f"{len(self.peers)} peers", "exceed the limit", f"use at most {MAX_PEERS}"
            )
        ids = [peer.member_id for peer in self.peers]
        addresses = [address for peer in self.peers for address in (peer.rpc, peer.http)]
        for values in (ids, addresses):
            for value in values:
                if values.count(value) > 1:
                    raise self._peers_conflict(
                        value, "is duplicated", "give each peer its own id and addresses"
                    )
        if not self.token and not is_loopback(self.own_address.http):
            raise SettingError(
                f"--token (CRANBERRYLEVER_TOKEN) is not set, but {self.own_address.http} is not loopback",
                _LOOPBACK_REMEDY,
            )

    def _peers_conflict(self, value: str, problem: str, remedy: str) -> SettingError:
        return setting_conflict(ControlSettings, "peers", value, problem, remedy)


@attrs.frozen
class EntrySettings:
    """Settings of one entry; ``control`` lists the RPC addresses of all control members.

    ``advertise`` is the address at which other entries reach this one (default ``listen``).
    ``drain_delay`` is the time in seconds between failing readiness checks and closing the listener.
    """

    cluster_id: str = _cluster_id()
    entry_id: str = setting("Id of this entry, unique in the cluster.", identifier)
    listen: str = setting("Address for callers, host:port.", listen_address)
    control: tuple[str, ...] = setting(
        "RPC address of a control member; may be given several times.",
        remote_address,
        environment="CONTROL_RPC",
        is_list=True,
    )
    advertise: str = setting(
        "Address at which other entries reach this one (default: the listen address).",
        optional_address,
        "",
    )
    failure_domain: str = _failure_domain()
    drain_delay: float = setting(
        "Seconds between failing readiness checks and closing the listener.",
        number(0.0, MAX_DRAIN_DELAY_S),
        5.0,
    )
    statsd: str = _statsd()
    log: LogSettings = attrs.field(factory=LogSettings)


@attrs.frozen
class TargetSettings:
    """Settings of one stand-in target; ``control`` lists the HTTP addresses of control members.

    ``service_time_ms`` is the mean service time of a request. A cold target becomes warm after
    ``warmup_requests`` completed requests.
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
        "Address in announcements (default: the listen address).",
        optional_address,
        "",
    )
    slots: int = setting("Requests that run concurrently.", integer(1, 10_000), 3)
    connections: int = setting("Concurrent connections accepted.", integer(1, 100_000), 100)
    cold_capacity: int = setting(
        "Requests accepted concurrently while cold, queued ones included.", integer(0, 10_000), 1
    )
    checks_fence: bool = setting(
        "Reject requests with a stale fence and outdated grant calls.", boolean, True
    )
    weight: float = setting("Capacity relative to other targets.", number(0.001, 1_000.0), 1.0)
    service_time_ms: float = setting("Mean service time of a request in ms.", number(0.0, 600_000.0), 2.0)
    warmup_requests: int = setting(
        "Requests that a cold target completes before it becomes warm.", integer(0, 1_000_000), 50
    )
    queue_limit: int = setting("Requests queued while all slots are in use.", integer(0, 100_000), 64)
    load_lag_s: float = setting("Delay of the load reports in s.", number(0.0, 600.0), 0.0)
    starts_cold: bool = setting("Start in the cold state.", boolean, False)
    token: str = setting(f"Bearer token for announcements to control; {_TOKEN_ADVICE}.", token, "")
    record: str = setting("File to which executed requests are recorded (default: none).", plain_text, "")
    log: LogSettings = attrs.field(factory=LogSettings)


@attrs.frozen
class DevSettings:
    """Settings of the demonstration."""

    token: str = setting(f"Bearer token of the operator API; {_TOKEN_ADVICE}.", token, "")


@attrs.frozen
class OperatorSettings:
    """Settings of the operator commands; ``control`` lists the HTTP addresses of control members.

    ``timeout`` is the time limit of one command in seconds, including attempts at other members.
    """

    control: tuple[str, ...] = setting(
        "HTTP address of a control member; may be given several times.",
        remote_address,
        environment="CONTROL_HTTP",
        is_list=True,
    )
    token: str = setting(f"Bearer token of the operator API; {_TOKEN_ADVICE}.", token, "")
    timeout: float = setting("Time limit of the command in seconds.", number(0.1, 600.0), 10.0)
