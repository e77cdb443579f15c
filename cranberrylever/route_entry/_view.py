"""The view in force at an entry: routes, targets and who owns which keys."""

import asyncio
import bisect

import attrs

from cranberrylever.route_entry._estimates import TargetEstimate
from cranberrylever.route_plan import RouteMatcher
from cranberrylever.settings import LimitRules
from cranberrylever.wire import UNKNOWN, FeedReply, FleetView, RangesView, RoutedTarget, TargetSpeed

IDLE_SHARE = 1 / 3


@attrs.define(eq=False)
class KnownTarget:
    """One life of a target; ``cold_until`` is a loop time, 0 while it is warm."""

    info: RoutedTarget
    estimate: TargetEstimate
    cold_until: float = 0.0

    @property
    def life_name(self) -> str:
        """Id and start in one text."""
        return f"{self.info.target_id}@{self.info.started_ms}"

    def is_cold(self, now: float) -> bool:
        """Tell whether the target is in cold start."""
        return now < self.cold_until


@attrs.frozen
class KeyOwner:
    """The target that owns a key, empty while nobody serves it, since a loop time."""

    target_id: str
    since: float


class KeyOwners:
    """Owners of one service's keys."""

    def __init__(self) -> None:
        self.firsts = [0]
        self.owners = [KeyOwner("", 0.0)]

    def set(self, first: int, last: int, owner: KeyOwner) -> None:
        """Give the keys ``first`` to ``last`` another owner."""
        after = self.of(last + 1)
        start = bisect.bisect_left(self.firsts, first)
        stop = bisect.bisect_right(self.firsts, last + 1)
        self.firsts[start:stop] = [first, last + 1]
        self.owners[start:stop] = [owner, after]

    def of(self, key: int) -> KeyOwner:
        """Return the owner of a key."""
        return self.owners[bisect.bisect_right(self.firsts, key) - 1]


class EntryView:
    """Sections of the view with their versions, which never fall.

    Args:
        rules: Limits that all entries keep together.
    """

    def __init__(self, rules: LimitRules) -> None:
        self.rules = rules
        self.plan_version = -1
        self.fleet_version = -1
        self.ranges_version = -1
        self.matcher: RouteMatcher | None = None
        self.targets: dict[str, KnownTarget] = {}
        self.by_service: dict[str, list[KnownTarget]] = {}
        self.owners: dict[str, KeyOwners] = {}
        self.entries = 1
        self.suspects: frozenset[str] = frozenset()
        self.received_at = 0.0
        self._changed = asyncio.Event()

    @property
    def is_complete(self) -> bool:
        """Whether requests can be served."""
        return self.matcher is not None and self.fleet_version >= 0

    def apply(self, reply: FeedReply, now: float) -> bool:
        """Take over the sections of a reply that are newer; returns whether there were any."""
        changed = False
        self.received_at = now
        if reply.plan is not None and reply.plan_version > self.plan_version:
            self.plan_version = reply.plan_version
            self.matcher = RouteMatcher(reply.plan)
            changed = True
        if self._fits(reply.fleet, reply.fleet_version, self.fleet_version):
            self.fleet_version = reply.fleet_version
            self._apply_fleet(reply.fleet, now)
            changed = True
        if self._fits(reply.ranges, reply.ranges_version, self.ranges_version):
            self.ranges_version = reply.ranges_version
            self._apply_ranges(reply.ranges, now)
            changed = True
        if changed:
            self.announce_change()
        return changed

    def announce_change(self) -> None:
        """Wake all that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    @staticmethod
    def _fits(section: FleetView | RangesView | None, version: int, held: int) -> bool:
        """Tell whether a section is newer and, when it lists only changes, builds on the version held."""
        return section is not None and version > held and section.base_version in (-1, held)

    async def wait_for_change(self, timeout: float) -> None:
        """Wait until a section changes, ``timeout`` seconds at most."""
        try:
            async with asyncio.timeout(timeout):
                await self._changed.wait()
        except TimeoutError:
            return

    def owner(self, service: str, key: int) -> KnownTarget | None:
        """Return the usable target that owns a key, ``None`` while there is none."""
        owners = self.owners.get(service)
        target = self.targets.get(owners.of(key).target_id) if owners is not None else None
        return target if target is not None and target.info.usable else None

    def unserved_since(self, service: str, key: int) -> float:
        """Return the loop time from which a key without a usable owner has had none."""
        owners = self.owners.get(service)
        return owners.of(key).since if owners is not None else self.received_at

    def pool(self, service: str) -> list[KnownTarget]:
        """Return the usable targets of a service."""
        return [target for target in self.by_service.get(service, ()) if target.info.usable]

    def speeds(self) -> tuple[TargetSpeed, ...]:
        """Return the speeds of targets that are not usual ones."""
        infos = (target.info for target in self.targets.values())
        return tuple(
            TargetSpeed(info.target_id, info.started_ms, info.speed) for info in infos if info.speed != 1.0
        )

    def idle_connections(self) -> int:
        """Return how many idle connections this entry may keep to one target.

        All entries together keep a third of what a target accepts: after a loss of power as many again are
        opened while the target still counts those before.
        """
        if self.matcher is None or not self.matcher.services:
            return 1
        accepted = min(service.max_connections for service in self.matcher.services.values())
        return max(1, int(IDLE_SHARE * accepted / self.entries))

    def _apply_fleet(self, fleet: FleetView, now: float) -> None:
        self.entries = fleet.entries
        self.suspects = frozenset(fleet.suspects)
        targets = {} if fleet.base_version < 0 else dict(self.targets)
        for target_id in fleet.removed:
            targets.pop(target_id, None)
        for info in fleet.targets:
            known = self.targets.get(info.target_id)
            if known is None or known.info.started_ms != info.started_ms:
                known = KnownTarget(info, TargetEstimate(max(1, info.slots)))
            known.info = info
            known.estimate.speed = info.speed
            known.estimate.entries = self.entries
            known.estimate.told_busy = info.busy if info.busy != UNKNOWN else None
            if info.cold_for != UNKNOWN:
                known.cold_until = now + info.cold_for if info.cold_for > 0 else 0.0
            targets[info.target_id] = known
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
