"""The view in force at an entry: routes, targets and key owners."""

import bisect
import math

import attrs

from cranberrylever.change_signal import ChangeSignal
from cranberrylever.customers import CustomerDirectory
from cranberrylever.route_entry._estimates import TargetLoadEstimate
from cranberrylever.route_plan import RouteMatcher, RoutePlan, apply_changes
from cranberrylever.settings import LimitSettings
from cranberrylever.wire import UNKNOWN, FeedReply, FleetView, RangesView, RoutedTarget, TargetSpeed

IDLE_CONNECTION_SHARE = 1 / 3
"""Share of a target's connections that all entries together may keep idle."""


LEAVING_SERVICE_S = 1.0
"""Time for which the owner of a key that leaves still gets requests for it, until the key has moved."""


@attrs.define(eq=False)
class TargetState:
    """An incarnation of a target and its load estimate; times are loop times in seconds.

    ``cold_until`` is 0 if it is warm. ``leaving_at`` is when an answer first said that it leaves, which only
    a new incarnation ends; ``draining_since`` is since when control publishes that it serves only the keys
    that it owns. Both are infinite otherwise. It asked this entry for no requests until ``rests_until``.
    """

    info: RoutedTarget
    estimate: TargetLoadEstimate
    cold_until: float = 0.0
    leaving_at: float = math.inf
    draining_since: float = math.inf
    rests_until: float = 0.0

    @property
    def incarnation_id(self) -> str:
        """Target id and start time as one string."""
        return f"{self.info.target_id}@{self.info.started_ms}"

    def is_cold(self, now: float) -> bool:
        """Return whether the target is in cold start."""
        return now < self.cold_until

    def is_resting(self, now: float) -> bool:
        """Return whether the target has asked for no requests at present."""
        return now < self.rests_until

    def record_leaving(self, now: float) -> bool:
        """Record that an answer says that the target leaves; return whether this is new."""
        is_new = self.leaving_at == math.inf
        self.leaving_at = min(now, self.leaving_at)
        return is_new

    def may_get_new_requests(self) -> bool:
        """Return whether requests that another target could serve may go to this one."""
        return self.info.usable and self.leaving_at == math.inf

    def may_serve_its_keys(self, now: float) -> bool:
        """Return whether requests for keys that the target owns may go to it."""
        is_available = self.info.usable or self.info.draining
        return is_available and now < min(self.leaving_at, self.draining_since) + LEAVING_SERVICE_S


@attrs.frozen
class KeyOwner:
    """Id of the target that owns a key, empty while no target serves it, and the loop time of the change."""

    target_id: str
    since: float


class KeyOwners:
    """Owners of the keys of one service, by key range."""

    def __init__(self) -> None:
        self.first_keys = [0]
        self.owners = [KeyOwner("", 0.0)]

    def set(self, first: int, last: int, owner: KeyOwner) -> None:
        """Set the owner of the keys ``first`` to ``last``."""
        next_owner = self.owner_of(last + 1)
        start = bisect.bisect_left(self.first_keys, first)
        stop = bisect.bisect_right(self.first_keys, last + 1)
        self.first_keys[start:stop] = [first, last + 1]
        self.owners[start:stop] = [owner, next_owner]

    def owner_of(self, key: int) -> KeyOwner:
        """Return the owner of a key."""
        return self.owners[bisect.bisect_right(self.first_keys, key) - 1]


class EntryView:
    """Sections of the view and their versions, which never decrease.

    ``received_at`` is when the last reply came. ``confirmed_at`` is when a report was sent that control has
    answered without holding anything back: the view holds all that was in force then. Both are loop times.
    ``changed`` wakes tasks when a section changes or permits arrive.

    Args:
        limits: Limits over all entries.
    """

    def __init__(self, limits: LimitSettings) -> None:
        self.limits = limits
        self.plan_version = -1
        self.fleet_version = -1
        self.ranges_version = -1
        self.matcher: RouteMatcher | None = None
        self.customers = CustomerDirectory()
        self.targets: dict[str, TargetState] = {}
        self.by_service: dict[str, list[TargetState]] = {}
        self.owners: dict[str, KeyOwners] = {}
        self.entries = 1
        self.suspects: frozenset[str] = frozenset()
        self.received_at = 0.0
        self.confirmed_at = 0.0
        self.changed = ChangeSignal()

    @property
    def is_complete(self) -> bool:
        """Whether requests can be served."""
        return self.matcher is not None and self.fleet_version >= 0

    def apply(self, reply: FeedReply, now: float, confirmed_at: float = -math.inf) -> bool:
        """Apply the newer sections of a reply; return whether there were any.

        Args:
            reply: The reply.
            now: Loop time in seconds.
            confirmed_at: Loop time as of which the view is complete with this reply.
        """
        changed = False
        self.received_at = now
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        plan = self._next_plan(reply)
        if plan is not None:
            self.plan_version = reply.plan_version
            self.matcher = RouteMatcher(plan)
            self.customers = CustomerDirectory(plan.customers)
            changed = True
        if self._is_applicable(reply.fleet, reply.fleet_version, self.fleet_version):
            self.fleet_version = reply.fleet_version
            self._apply_fleet(reply.fleet, now)
            changed = True
        if self._is_applicable(reply.ranges, reply.ranges_version, self.ranges_version):
            self.ranges_version = reply.ranges_version
            self._apply_ranges(reply.ranges, now)
            changed = True
        if changed:
            self.changed.notify()
        return changed

    def _next_plan(self, reply: FeedReply) -> RoutePlan | None:
        """Return the plan of a reply, ``None`` when it has none that is newer and complete."""
        if reply.plan_version <= self.plan_version:
            return None
        changes = reply.plan_changes
        if changes is not None and self.matcher is not None and changes.base_version == self.plan_version:
            return apply_changes(self.matcher.plan, changes)
        return reply.plan

    @staticmethod
    def _is_applicable(section: FleetView | RangesView | None, version: int, held_version: int) -> bool:
        """Return whether a section is newer and complete, or lists the changes since the version held."""
        return section is not None and version > held_version and section.base_version in (-1, held_version)

    def owner(self, service: str, key: int, now: float) -> TargetState | None:
        """Return the target that owns a key and may serve it, ``None`` if there is none."""
        owners = self.owners.get(service)
        target = self.targets.get(owners.owner_of(key).target_id) if owners is not None else None
        return target if target is not None and target.may_serve_its_keys(now) else None

    def unserved_since(self, service: str, key: int) -> float:
        """Return the loop time since which a key without a usable owner has had none."""
        owners = self.owners.get(service)
        return owners.owner_of(key).since if owners is not None else self.received_at

    def usable_targets(self, service: str) -> list[TargetState]:
        """Return the targets of a service that may get new requests, those that rest included."""
        return [target for target in self.by_service.get(service, ()) if target.may_get_new_requests()]

    def speeds(self) -> tuple[TargetSpeed, ...]:
        """Return the relative speeds of targets that differ from the average target."""
        infos = (target.info for target in self.targets.values())
        return tuple(
            TargetSpeed(info.target_id, info.started_ms, info.speed) for info in infos if info.speed != 1.0
        )

    def idle_connections(self) -> int:
        """Return how many idle connections this entry may keep to one target.

        All entries together keep a third of the connections that a target accepts: after a power loss of the
        entries, as many are opened again while the target still counts the old ones.
        """
        if self.matcher is None or not self.matcher.services:
            return 1
        accepted = min(service.max_connections for service in self.matcher.services.values())
        return max(1, int(IDLE_CONNECTION_SHARE * accepted / self.entries))

    def _apply_fleet(self, fleet: FleetView, now: float) -> None:
        self.entries = fleet.entries
        self.suspects = frozenset(fleet.suspects)
        targets = {} if fleet.base_version < 0 else dict(self.targets)
        for target_id in fleet.removed:
            targets.pop(target_id, None)
        for info in fleet.targets:
            state = self.targets.get(info.target_id)
            if state is None or state.info.started_ms != info.started_ms:
                state = TargetState(info, TargetLoadEstimate(max(1, info.slots)))
            state.info = info
            state.draining_since = min(now, state.draining_since) if info.draining else math.inf
            state.estimate.speed = info.speed
            state.estimate.entries = self.entries
            state.estimate.reported_busy = info.busy if info.busy != UNKNOWN else None
            if info.cold_for != UNKNOWN:
                state.cold_until = now + info.cold_for if info.cold_for > 0 else 0.0
            targets[info.target_id] = state
        self.targets = targets
        self.by_service = {}
        for target in targets.values():
            self.by_service.setdefault(target.info.service, []).append(target)

    def _apply_ranges(self, ranges: RangesView, now: float) -> None:
        if ranges.base_version < 0:
            self.owners = {}
        for service in ranges.services:
            owners = self.owners.setdefault(service.service, KeyOwners())
            for item in service.ranges:
                owners.set(item.first, item.last, KeyOwner(item.owner, now))
