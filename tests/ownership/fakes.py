"""Fake targets and entries for the tests of the coordinator."""

import attrs

from cranberrylever.membership import PHASE_LOST, Announcement
from cranberrylever.ownership import GrantAck, GrantRenewal
from cranberrylever.routing import View
from cranberrylever.wire import EntryReport, HotKey, ShardCount, TargetLoad, ViewAnswer

VIEW_LIFETIME_S = 1.2


@attrs.define
class FakeTarget:
    """A target process whose clock has its own offset and rate."""

    announcement: Announcement
    clock_offset: float = 1000.0
    clock_rate: float = 1.0
    state: str = "warm"
    frozen: bool = False
    ended: bool = False
    version: int = 0
    expires_at_ms: float = 0.0
    order: tuple[int, int] = (0, 0)
    shards: dict[int, int] = attrs.field(factory=dict)
    running: dict[int, "FakeRequest"] = attrs.field(factory=dict)

    def clock_ms(self, now: float) -> float:
        return (self.clock_offset + now * self.clock_rate) * 1000

    def apply(self, renewal: GrantRenewal, now: float) -> GrantAck | None:
        """Apply a renewal and return the acknowledgement, ``None`` if it is refused."""
        order = (renewal.term, renewal.sequence)
        is_other = renewal.incarnation != self.announcement.incarnation
        if self.announcement.checks_fence and (is_other or order <= self.order):
            return None
        self.order = order
        if renewal.expires_at_ms is not None and not is_other:
            if renewal.shards is not None:
                self.shards = {ref.shard: ref.fence for ref in renewal.shards}
                self.version = renewal.version
            if renewal.version == self.version:
                self.expires_at_ms = renewal.expires_at_ms
        used = {request.shard for request in self.running.values()}
        busy = tuple(sorted(used - set(self.shards)))
        return GrantAck(
            self.announcement.incarnation,
            self.clock_ms(now),
            renewal.sequence,
            self.version,
            busy,
            self.state,
        )

    def held(self, now: float) -> dict[int, int]:
        """Return the shards of an unexpired grant."""
        is_valid = not self.ended and self.clock_ms(now) < self.expires_at_ms
        return self.shards if is_valid else {}

    def admits(self, shard: int, fence: int, incarnation: str, now: float) -> bool:
        if not self.announcement.checks_fence:
            return True
        return incarnation == self.announcement.incarnation and self.held(now).get(shard) == fence


@attrs.define
class FakeRequest:
    """A request in flight at an entry, or still running at a target after the entry has closed it."""

    number: int
    key: int
    shard: int
    fence: int
    target_id: str
    incarnation: str
    duration: float
    sent_version: int


@attrs.define
class FakeEntry:
    """An entry process."""

    entry_id: str
    incarnation: str
    address: str
    sequence: int = 0
    view: View | None = None
    valid_until: float = -1.0
    sent_at: dict[int, float] = attrs.field(factory=dict)
    answered: int = 0
    next_poll: float = 0.0
    partitioned: bool = False
    ended: bool = False
    permits: dict[str, int] = attrs.field(factory=dict)
    in_use: dict[str, int] = attrs.field(factory=dict)
    demand: dict[str, int] = attrs.field(factory=dict)
    requests: dict[int, FakeRequest] = attrs.field(factory=dict)
    blocked: dict[int, int] = attrs.field(factory=dict)
    shard_counts: dict[int, int] = attrs.field(factory=dict)
    hot: dict[int, int] = attrs.field(factory=dict)

    def is_live(self, now: float) -> bool:
        return not self.ended and self.view is not None and now < self.valid_until

    def route(self, key: int) -> tuple[int, int, str] | None:
        """Return shard, fence and owner of a key in the entry's view, ``None`` without an owner."""
        service = self.view.services[0] if self.view and self.view.services else None
        if service is None:
            return None
        shard = service.pins.get(key, key % service.shards)
        position = service.owners[shard]
        if position < 0:
            return None
        return shard, service.fences[shard], service.owner_ids[position]

    def is_released(self, request: FakeRequest) -> bool:
        """Return whether the shard of a request in flight is released or has a new fence in the view."""
        route = self.route(request.key)
        return route is None or route[:2] != (request.shard, request.fence)

    def settled_version(self) -> int:
        """Return the view's version, or the last one before a shard with requests in flight was released."""
        version = self.view.version if self.view else 0
        return min((blocked for blocked in self.blocked.values()), default=version)

    def apply_view(self, view: View) -> None:
        """Apply a view and close the requests to targets that are lost in it."""
        previous = self.view.version if self.view else 0
        self.view = view
        lost = {target.target_id for target in view.targets if target.phase == PHASE_LOST}
        for number, request in list(self.requests.items()):
            if request.target_id in lost:
                self.finish(number)
            elif number not in self.blocked and self.is_released(request):
                self.blocked[number] = previous

    def finish(self, number: int) -> None:
        """Remove a request that was answered or closed."""
        self.requests.pop(number, None)
        self.blocked.pop(number, None)

    def report(self, now: float) -> EntryReport:
        self.sequence += 1
        self.sent_at[self.sequence] = now
        counts = tuple(ShardCount("ledger", shard, count) for shard, count in self.shard_counts.items())
        hot = tuple(HotKey("ledger", key, count) for key, count in self.hot.items())
        self.shard_counts = {}
        return EntryReport(
            self.sequence,
            self.entry_id,
            self.incarnation,
            self.view.version if self.view else 0,
            self.settled_version(),
            shard_counts=counts,
            hot_keys=hot,
            target_loads=tuple(
                TargetLoad(target, "", 0, demand, 1.0) for target, demand in self.demand.items()
            ),
            permits=dict(self.in_use),
        )

    def apply(self, answer: ViewAnswer) -> None:
        if answer.sequence < self.answered or answer.sequence not in self.sent_at:
            return
        known = self.view.version if self.view else -1
        # An answer of a leader that lags behind must not replace the view by an older one.
        if answer.version < known or (answer.view is None and answer.version != known):
            return
        self.answered = answer.sequence
        self.valid_until = max(self.valid_until, self.sent_at[answer.sequence] + VIEW_LIFETIME_S)
        self.permits = dict(answer.permits)
        if answer.view is not None:
            self.apply_view(answer.view)
