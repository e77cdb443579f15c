"""Messages and gRPC service of the stream between a route entry and control."""

import abc

import attrs
import grpclib.client
import grpclib.const
import grpclib.server

from cranberrylever.route_plan import PlanChanges, RoutePlan
from cranberrylever.wire._quota import QuotaGrant, QuotaReport

_FEED_ATTACH_PATH = "/cranberrylever.Feed/Attach"


@attrs.frozen
class PartWork:
    """Work of the requests for one part of a key space since the last report, in seconds."""

    part: int
    seconds: float


@attrs.frozen
class ServiceWork:
    """Work of one keyed service by part."""

    service: str
    parts: tuple[PartWork, ...]


@attrs.frozen
class TargetServiceTime:
    """Service time of the requests that a target ran without queueing since the last report.

    ``elapsed`` is the sum of their measured times, ``usual`` the sum of their expected service times, both in
    seconds.
    """

    target_id: str
    started_ms: int
    elapsed: float
    usual: float


@attrs.frozen
class ReportedLoad:
    """Loads that a target of a pooled service reported with its answers since the last report.

    ``total`` is the sum of the requests that ran or were queued there at each of ``count`` answers.
    """

    target_id: str
    started_ms: int
    total: int
    count: int


@attrs.frozen
class ObservedRateLimit:
    """Limit in requests per second that a target stated to an entry ``age`` seconds before the report.

    ``rate`` is infinite when the target stated none.
    """

    target_id: str
    started_ms: int
    rate: float
    age: float


@attrs.frozen
class TargetSpeed:
    """Relative speed of one incarnation of a target as last published to the entry; 1.0 is the average."""

    target_id: str
    started_ms: int
    speed: float


PERMIT_LIFETIME_S = 0.3
"""Time after an entry sends a permit request within which it may use the permits that it gets for it."""


COLD_PERMIT_WINDOW_S = 1.0 + PERMIT_LIFETIME_S
"""Length in seconds of the window in which the permits for a target in cold start stay below its bound.

A permit used within any one second was granted in that second or at most its lifetime earlier, so the bound
holds for each second.
"""


@attrs.frozen
class PermitRequest:
    """Number of permits that an entry requests for waiting requests to a target that needs them.

    At most ``bound`` permits are granted to all entries together in any ``window`` seconds.
    """

    target_id: str
    started_ms: int
    count: int
    bound: float
    window: float = COLD_PERMIT_WINDOW_S


@attrs.frozen
class GrantedPermits:
    """Permits for requests to a target; more may become free after ``next_in`` seconds."""

    target_id: str
    started_ms: int
    count: int
    next_in: float


@attrs.frozen
class FeedReport:
    """Report of an entry to control; the versions are those of the view sections that it holds.

    ``crashed`` pairs the fingerprints of requests during which a connection was lost with the target.
    ``paces`` are service times and ``wishes`` permit requests. ``speeds`` is set in the first report on a
    stream, for a leader that has not measured any yet. ``loads`` are those of targets of pooled services and
    ``rate_limits`` those that targets stated. ``peer_address`` is where the entry takes requests of other
    entries, empty while it takes none, and ``wants_peers`` asks for entries that take its own. ``leaving``
    are the ids and start times of targets whose answers said that they leave. ``reads_sections`` reports that
    the entry reads ``FeedReply.sections``, ``reads_parts`` that it joins parts of them and reads changes of a
    plan. ``quota`` are its tokens for the quotas of customers, ``None`` without customers that have one.
    """

    cluster_id: str
    entry_id: str
    sequence: int
    plan_version: int
    fleet_version: int
    ranges_version: int
    work: tuple[ServiceWork, ...] = ()
    paces: tuple[TargetServiceTime, ...] = ()
    crashed: tuple[tuple[str, str], ...] = ()
    speeds: tuple[TargetSpeed, ...] = ()
    wishes: tuple[PermitRequest, ...] = ()
    loads: tuple[ReportedLoad, ...] = ()
    rate_limits: tuple[ObservedRateLimit, ...] = ()
    peer_address: str = ""
    wants_peers: bool = False
    leaving: tuple[tuple[str, int], ...] = ()
    reads_sections: bool = False
    reads_parts: bool = False
    quota: QuotaReport | None = None


UNKNOWN = -1.0
"""Value that the leader does not know, because the target has not announced itself to it yet."""


@attrs.frozen
class RoutedTarget:
    """A target as control publishes it to entries.

    ``usable`` permits new requests. ``cold_for`` is the remaining time of its cold start when the view is
    sent, in seconds. ``speed`` is relative; 1.0 is the average of the service. ``busy`` is the recent mean
    number of requests that run there at once, for a pooled service with those queued. ``rate_limit`` is the
    number of requests per second that it accepts from all entries together, infinite without a limit.
    ``cold_for``, ``busy`` and ``rate_limit`` may be ``UNKNOWN``. ``draining`` is set while it leaves, or
    its failure domain is withdrawn, and it may still serve the keys that it owns; it is not usable then.
    """

    target_id: str
    started_ms: int
    service: str
    address: str
    failure_domain: str
    slots: int
    usable: bool
    cold_for: float
    speed: float
    busy: float = UNKNOWN
    rate_limit: float = UNKNOWN
    draining: bool = False

    @property
    def incarnation(self) -> tuple[str, int]:
        """Id and start time, which identify one process."""
        return self.target_id, self.started_ms


@attrs.frozen
class FleetView:
    """Section of the view with the targets.

    With a ``base_version`` the targets are those that changed since that version of the section, and
    ``removed`` names those that were removed; with -1 they are all targets. ``entries`` is the number of
    entries that share limits, ``suspects`` the fingerprints of requests that crash targets.
    """

    targets: tuple[RoutedTarget, ...]
    entries: int
    suspects: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    base_version: int = -1


@attrs.frozen
class RangeView:
    """Keys ``first`` to ``last``, both included, and the id of their owner, empty while there is none."""

    first: int
    last: int
    owner: str


@attrs.frozen
class ServiceRanges:
    """Key ranges of one service, in key order."""

    service: str
    ranges: tuple[RangeView, ...]


@attrs.frozen
class RangesView:
    """Section of the view with the key ranges of keyed services.

    With a ``base_version`` the ranges are those whose owner changed since that version of the section; with
    -1 they cover all keys of all keyed services.
    """

    services: tuple[ServiceRanges, ...]
    base_version: int = -1


@attrs.frozen
class FeedReply:
    """Sections of the view that an entry does not hold yet, or the leader to connect to.

    ``permits`` answers the permit requests of the report ``sequence``. ``control`` lists the RPC addresses of
    the control members, empty while they are those sent before on the stream. ``peers`` are the addresses of
    entries that take requests of others, ``None`` when the report did not ask for them. ``is_leader`` is
    false when the sender is not the leader; only ``leader`` and ``control`` are valid then. ``sections``
    holds the sections in compressed form in place of the fields.

    An entry that joins parts gets the plan apart from other sections, so that a large one does not delay
    them: ``plan_part`` is a part of its compressed section. ``sections_left`` and ``plan_left`` are the bytes
    that later replies bring. ``is_plan_pending`` is set while the entry lacks the plan in force.
    ``plan_changes`` are relative to a plan that the entry holds. ``quota`` are the tokens that the report
    ``sequence`` asked for.
    """

    cluster_id: str
    sequence: int
    is_leader: bool
    leader: str
    control: tuple[str, ...] = ()
    plan_version: int = -1
    plan: RoutePlan | None = None
    fleet_version: int = -1
    fleet: FleetView | None = None
    ranges_version: int = -1
    ranges: RangesView | None = None
    permits: tuple[GrantedPermits, ...] = ()
    peers: tuple[str, ...] | None = None
    sections: bytes = b""
    sections_left: int = 0
    plan_part: bytes = b""
    plan_left: int = 0
    is_plan_pending: bool = False
    plan_changes: PlanChanges | None = None
    quota: tuple[QuotaGrant, ...] = ()


class FeedBase(abc.ABC):
    """Server side of the stream between an entry and a control member."""

    @abc.abstractmethod
    async def attach(self, stream: "grpclib.server.Stream[FeedReport, FeedReply]") -> None:
        """Serve one entry's stream until it closes."""

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:  # noqa: PLW3201
        """Return the handlers by path, as grpclib expects."""
        return {
            _FEED_ATTACH_PATH: grpclib.const.Handler(
                self.attach, grpclib.const.Cardinality.STREAM_STREAM, FeedReport, FeedReply
            )
        }


class FeedStub:
    """Client side of the stream."""

    def __init__(self, channel: grpclib.client.Channel) -> None:
        self.attach = grpclib.client.StreamStreamMethod(channel, _FEED_ATTACH_PATH, FeedReport, FeedReply)
