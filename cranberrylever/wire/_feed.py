"""Messages of the stream between an entry that serves routes and control."""

import abc

import attrs
import grpclib.client
import grpclib.const
import grpclib.server

from cranberrylever.route_plan import RoutePlan

_FEED_ATTACH = "/cranberrylever.Feed/Attach"


@attrs.frozen
class PartWork:
    """Work in seconds that arrived for one part of a key space since the last report."""

    part: int
    seconds: float


@attrs.frozen
class ServiceWork:
    """Work by part of one keyed service."""

    service: str
    parts: tuple[PartWork, ...]


@attrs.frozen
class TargetServiceTime:
    """Requests that a target ran without queueing: the time they took and the usual time of their kind."""

    target_id: str
    started_ms: int
    elapsed: float
    usual: float


@attrs.frozen
class TargetSpeed:
    """Speed of one life of a target as an entry was told it, relative to the usual target of its service."""

    target_id: str
    started_ms: int
    speed: float


PERMIT_LIFETIME_S = 0.3
"""Time after an entry's sending of a wish within which it may use the permits that answer it."""


@attrs.frozen
class PermitRequest:
    """Requests that wait at an entry for permits of a target in cold start.

    ``bound`` is the number of requests that the target bears in any second from all entries together.
    """

    target_id: str
    started_ms: int
    count: int
    bound: float


@attrs.frozen
class ColdPermits:
    """Permits for requests to a target in cold start; more are expected after ``next_in`` seconds."""

    target_id: str
    started_ms: int
    count: int
    next_in: float


@attrs.frozen
class FeedReport:
    """What an entry tells control; the versions are those of the view sections that it holds.

    ``crashed`` names fingerprints of requests during which a target's connection broke, with that target.
    ``speeds`` is given in the first report on a stream, for a leader that has measured none yet.
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


UNKNOWN = -1.0
"""Figure of a target that the leader does not know, since it has not heard the target yet."""


@attrs.frozen
class RoutedTarget:
    """A target as entries see it.

    ``usable`` tells whether new work may go there. ``cold_for`` is how much longer it stays cold, in seconds
    from the sending of the view. ``speed`` is relative to the usual target of its service. ``busy`` is the
    number of requests that usually run there at once. ``cold_for`` and ``busy`` may be ``UNKNOWN``.
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

    @property
    def incarnation(self) -> tuple[str, int]:
        """Id and start, which no other process shares."""
        return self.target_id, self.started_ms


@attrs.frozen
class FleetView:
    """Targets, the number of entries that share limits, and requests that crash targets.

    With a ``base_version`` the targets are those that changed since that version of the section and
    ``removed`` names those that are gone; without one (-1) they are all targets.
    """

    targets: tuple[RoutedTarget, ...]
    entries: int
    suspects: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    base_version: int = -1


@attrs.frozen
class RangeView:
    """Keys ``first`` to ``last`` and the target that serves them, empty while nobody does."""

    first: int
    last: int
    owner: str


@attrs.frozen
class ServiceRanges:
    """The key space of one service, in key order."""

    service: str
    ranges: tuple[RangeView, ...]


@attrs.frozen
class RangesView:
    """The key spaces of keyed services.

    With a ``base_version`` the ranges are those whose owner changed since that version of the section;
    without one (-1) they cover all keys of all keyed services.
    """

    services: tuple[ServiceRanges, ...]
    base_version: int = -1


@attrs.frozen
class FeedReply:
    """Sections of the view that an entry does not hold yet, or the leader to ask.

    ``permits`` answers the wishes of the report ``sequence``. ``control`` lists the rpc addresses of the
    control members. ``is_leader`` is false on a member that does not lead; only ``leader`` and ``control``
    count then.
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
    permits: tuple[ColdPermits, ...] = ()


class FeedBase(abc.ABC):
    """Server side of the stream between an entry and a control member."""

    @abc.abstractmethod
    async def attach(self, stream: "grpclib.server.Stream[FeedReport, FeedReply]") -> None:
        """Serve one entry's stream until it closes."""

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:  # noqa: PLW3201
        """Return the handlers by path, as grpclib expects."""
        return {
            _FEED_ATTACH: grpclib.const.Handler(
                self.attach, grpclib.const.Cardinality.STREAM_STREAM, FeedReport, FeedReply
            )
        }


class FeedStub:
    """Client side of the stream."""

    def __init__(self, channel: grpclib.client.Channel) -> None:
        self.attach = grpclib.client.StreamStreamMethod(channel, _FEED_ATTACH, FeedReport, FeedReply)
