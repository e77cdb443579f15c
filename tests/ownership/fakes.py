"""Fake targets, entries and network that drive a Coordinator over a ClusterState."""

import heapq
import itertools
from collections.abc import Callable

import attrs

from cranberrylever.membership import PHASE_COLD, PHASE_LOST, Announcement
from cranberrylever.ownership import Coordinator, GrantAck, GrantRenewal
from cranberrylever.routing import View
from cranberrylever.state import AcceptTicket, AnnounceTarget, ClusterState, Command
from cranberrylever.wire import EntryHello, EntryReport, HotKey, ShardCount, TargetLoad, ViewAnswer

TICK = 0.01
STEP_INTERVAL = 0.03
RENEWAL_TIMEOUT = 0.3
ANNOUNCE_INTERVAL = 0.5
VIEW_LIFETIME = 1.2
POLL_INTERVAL = 0.2
POLL_TIMEOUT = 0.3


@attrs.define
class FakeTarget:
    """One target process; its clock has an offset and a rate of its own."""

    announcement: Announcement
    clock_offset: float = 1000.0
    clock_rate: float = 1.0
    state: str = "warm"
    frozen: bool = False
    ended: bool = False
    is_successor_elsewhere: bool = False
    version: int = 0
    expires_at_ms: float = 0.0
    order: tuple[int, int] = (0, 0)
    shards: dict[int, int] = attrs.field(factory=dict)
    running: dict[int, "FakeRequest"] = attrs.field(factory=dict)

    def clock_ms(self, now: float) -> float:
        return (self.clock_offset + now * self.clock_rate) * 1000

    def apply(self, renewal: GrantRenewal, now: float) -> GrantAck | None:
        """Adopt a renewal; ``None`` is a refusal."""
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
    """One request in flight at an entry, or running at a target after the entry has given it up."""

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
    """One entry process."""

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
        """Return shard, fence and owner of a key in the entry's view."""
        service = self.view.services[0] if self.view and self.view.services else None
        if service is None:
            return None
        shard = service.pins.get(key, key % service.shards)
        position = service.owners[shard]
        if position < 0:
            return None
        return shard, service.fences[shard], service.owner_ids[position]

    def is_released(self, request: FakeRequest) -> bool:
        """Tell whether the view has taken away the shard of a request in flight."""
        route = self.route(request.key)
        return route is None or route[:2] != (request.shard, request.fence)

    def settled_version(self) -> int:
        """Return the version of the view, or that before the release of a shard with a request in flight."""
        version = self.view.version if self.view else 0
        return min((blocked for blocked in self.blocked.values()), default=version)

    def apply_view(self, view: View) -> None:
        """Adopt a view, and close requests to targets that it shows as lost."""
        previous = self.view.version if self.view else 0
        self.view = view
        lost = {target.target_id for target in view.targets if target.phase == PHASE_LOST}
        for number, request in list(self.requests.items()):
            if request.target_id in lost:
                self.finish(number)
            elif number not in self.blocked and self.is_released(request):
                self.blocked[number] = previous

    def finish(self, number: int) -> None:
        """Forget a request that was answered or closed."""
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
        # An answer of a slower leader must not take the view back.
        if answer.version < known or (answer.view is None and answer.version != known):
            return
        self.answered = answer.sequence
        self.valid_until = max(self.valid_until, self.sent_at[answer.sequence] + VIEW_LIFETIME)
        self.permits = dict(answer.permits)
        if answer.view is not None:
            self.apply_view(answer.view)


class FakeCluster:
    """A leader, targets and entries joined by a network with delays and losses."""

    def __init__(self, shards: int = 16, extra_ticket: str = "") -> None:
        self.now = 0.0
        self.index = 0
        self.state = ClusterState()
        self.term = 0
        self.targets: dict[str, FakeTarget] = {}
        self.zombies: list[FakeTarget] = []
        self.entries: dict[str, FakeEntry] = {}
        self.numbers = itertools.count(1)
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.log: list[tuple[float, Command]] = []
        self.proposed: list[tuple[float, Command]] = []
        self.latency = 0.001
        self.commit_delay = 0.003
        self.on_run: Callable[[FakeTarget, FakeRequest], None] = lambda target, request: None
        self.drop: Callable[[str], bool] = lambda kind: False
        self.lose_proposal: Callable[[], bool] = lambda: False
        self.next_step = 0.0
        self.announced_at: dict[str, float] = {}
        self.ticket_number = 0
        self.leader: Coordinator | None = None
        text = f'[[service]]\nname = "ledger"\nkind = "keyed"\nshards = {shards}\n{extra_ticket}'
        self.submit(text)
        self.elect()

    def submit(self, body: str) -> object:
        self.ticket_number += 1
        return self.apply(AcceptTicket(f"number = {self.ticket_number}\n{body}"))

    def apply(self, command: Command) -> object:
        self.index += 1
        return self.state.apply(self.index, command)

    def elect(self, restore: bool = False, keeps_proposals: bool = True) -> None:
        """Replace the leader by a new one over the same state.

        The proposals of the old leader are applied before the new term starts, or not at all.
        """
        pending, self.proposed = self.proposed, []
        for _, command in pending if keeps_proposals else ():
            self.apply(command)
        if restore:
            restored = ClusterState()
            restored.restore(self.state.snapshot())
            self.state = restored
        self.term += 1
        self.leader = Coordinator(self.state)
        for entry in self.entries.values():
            self._hello(entry)
        self.index += 1
        self.leader.start_term(self.term, self.now)

    def add_target(self, target_id: str, **fields: object) -> FakeTarget:
        options = {"slots": 4, "connections": 10, "failure_domain": "a", "address": f"{target_id}:1"}
        state = fields.pop("state", "warm")
        clock_rate = fields.pop("clock_rate", 1.0)
        incarnation = f"{target_id}-{next(self.numbers)}"
        announcement = Announcement(target_id, "ledger", incarnation=incarnation, **{**options, **fields})
        target = FakeTarget(announcement, clock_rate=clock_rate, state=state)
        self.targets[target_id] = target
        self.announced_at.pop(target_id, None)
        return target

    def add_entry(self, entry_id: str) -> FakeEntry:
        entry = FakeEntry(entry_id, f"{entry_id}-{next(self.numbers)}", f"{entry_id}:1", next_poll=self.now)
        self.entries[entry_id] = entry
        self._hello(entry)
        return entry

    def advance(self, seconds: float, check: Callable[[], None] = lambda: None) -> None:
        """Run for a time, and run ``check`` after every tick."""
        end = self.now + seconds
        while self.now < end - TICK / 2:
            self.now += TICK
            self._tick()
            check()

    def run_until(self, condition: Callable[[], bool], limit: float) -> float:
        """Run until a condition holds and return the time taken, ``limit`` if it never held."""
        start = self.now
        while not condition() and self.now - start < limit:
            self.advance(TICK)
        return self.now - start

    def owners(self) -> dict[int, str]:
        """Return the owner of every owned shard in the state."""
        return {
            shard: record.target_id
            for shard, record in self.state.shards["ledger"].items()
            if record.phase == "owned"
        }

    def all_owned(self) -> bool:
        table = self.state.shards["ledger"]
        return len(self.owners()) == sum(1 for _ in table.items())

    def request(self, entry: FakeEntry, key: int, duration: float) -> bool:
        """Dispatch a request for a key; return whether the entry sent it."""
        route = entry.route(key) if entry.is_live(self.now) else None
        if route is None:
            return False
        shard, fence, owner = route
        view = next(target for target in entry.view.targets if target.target_id == owner)
        number = next(self.numbers)
        sent = FakeRequest(number, key, shard, fence, owner, view.incarnation, duration, entry.view.version)
        entry.requests[number] = sent
        entry.shard_counts[shard] = entry.shard_counts.get(shard, 0) + 1
        self._later(self.latency, lambda: self._run(entry, sent, view.address))
        return True

    def _run(self, entry: FakeEntry, request: FakeRequest, address: str) -> None:
        # A request that its entry has closed is not delivered any more.
        if request.number not in entry.requests or entry.ended:
            return
        target = self.process_at(address)
        if target is None:
            entry.finish(request.number)
            return
        if target.frozen:
            self._later(TICK, lambda: self._run(entry, request, address))
            return
        if not target.admits(request.shard, request.fence, request.incarnation, self.now):
            entry.finish(request.number)
            return
        self.on_run(target, request)
        target.running[request.number] = request
        self._later(request.duration, lambda: self._end(entry, target, request))

    def _end(self, entry: FakeEntry, target: FakeTarget, request: FakeRequest) -> None:
        if target.frozen and not target.ended:
            self._later(TICK, lambda: self._end(entry, target, request))
            return
        target.running.pop(request.number, None)
        entry.finish(request.number)

    def _hello(self, entry: FakeEntry) -> None:
        self.leader.record_hello(EntryHello(entry.entry_id, entry.incarnation, entry.address, "a"))

    def _send(self, kind: str, action: Callable[[], None]) -> None:
        if not self.drop(kind):
            heapq.heappush(self.queue, (self.now + self.latency, next(self.numbers), action))

    def _later(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.numbers), action))

    def _tick(self) -> None:
        while self.queue and self.queue[0][0] <= self.now:
            heapq.heappop(self.queue)[2]()
        while self.proposed and self.proposed[0][0] <= self.now:
            command = self.proposed.pop(0)[1]
            self.log.append((self.now, command))
            self.apply(command)
        self._announce()
        self._poll()
        self._renew()
        if self.now >= self.next_step:
            self.next_step = self.now + STEP_INTERVAL
            self._propose(self.leader.step(self.now))

    def _propose(self, commands: list[Command]) -> None:
        for command in commands:
            if not self.lose_proposal():
                self.proposed.append((self.now + self.commit_delay, command))

    def _announce(self) -> None:
        for target in list(self.targets.values()):
            announcement = target.announcement
            last = self.announced_at.get(announcement.target_id, -1.0)
            if target.frozen or target.ended or self.now - last < ANNOUNCE_INTERVAL:
                continue
            self.announced_at[announcement.target_id] = self.now
            self._send("announce", lambda target=target: self._receive_announcement(target))

    def _receive_announcement(self, target: FakeTarget) -> None:
        if not target.ended and self.leader.is_change(target.announcement):
            self._propose([AnnounceTarget(target.announcement)])

    def _poll(self) -> None:
        for entry in self.entries.values():
            if entry.ended or self.now < entry.next_poll:
                continue
            entry.next_poll = self.now + POLL_INTERVAL
            report = entry.report(self.now)
            if not entry.partitioned:
                leader = self.leader
                self._send("report", lambda e=entry, r=report, c=leader: self._receive_report(c, e, r))

    def _receive_report(self, leader: Coordinator, entry: FakeEntry, report: EntryReport) -> None:
        if leader is not self.leader:
            return
        leader.record_report(report, self.now)
        answer = leader.view_answer(report, self.now)
        if not entry.partitioned:
            self._send("answer", lambda: entry.apply(answer))

    def _renew(self) -> None:
        for target_id in list(self.state.targets.records):
            renewal = self.leader.next_renewal(target_id, self.now)
            if renewal is not None:
                self._send_renewal(target_id, renewal)

    def _send_renewal(self, target_id: str, renewal: GrantRenewal) -> None:
        leader = self.leader
        done: list[bool] = []

        def fail() -> None:
            if not done:
                done.append(True)
                leader.record_grant_failure(target_id, renewal, self.now)

        def receive_ack(ack: GrantAck) -> None:
            if not done:
                done.append(True)
                leader.record_grant_ack(target_id, renewal, ack, self.now)

        def deliver() -> None:
            target = self.process_at(renewal.address)
            if target is None:
                return
            if target.frozen:
                # A frozen process reads the message from its socket buffer after it has resumed.
                self._later(TICK, deliver)
                return
            ack = target.apply(renewal, self.now)
            if ack is not None:
                self._send("ack", lambda: receive_ack(ack))

        self._later(RENEWAL_TIMEOUT, fail)
        self._send("renewal", deliver)

    def process_at(self, address: str) -> FakeTarget | None:
        """Return the process that listens at an address."""
        for target in [*self.targets.values(), *self.zombies]:
            if target.announcement.address == address and not target.ended:
                return target
        return None

    def processes(self) -> list[FakeTarget]:
        return [*self.targets.values(), *self.zombies]

    def phase(self, target_id: str) -> str:
        record = self.state.targets.get(target_id)
        return record.phase if record else PHASE_LOST

    def cold_records(self) -> list:
        return [record for record in self.state.targets.records.values() if record.phase == PHASE_COLD]
