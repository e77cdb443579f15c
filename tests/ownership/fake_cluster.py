"""A simulated network of fake targets and entries around a Coordinator and its ClusterState."""

import heapq
import itertools
from collections.abc import Callable

from cranberrylever.membership import PHASE_COLD, PHASE_LOST, Announcement
from cranberrylever.ownership import Coordinator, GrantAck, GrantRenewal
from cranberrylever.state import AcceptTicket, AnnounceTarget, ClusterState, Command
from cranberrylever.wire import EntryHello, EntryReport
from tests.ownership.fakes import FakeEntry, FakeRequest, FakeTarget

TICK_S = 0.01
STEP_INTERVAL_S = 0.03
RENEWAL_TIMEOUT_S = 0.3
ANNOUNCE_INTERVAL_S = 0.5
REPORT_INTERVAL_S = 0.2


class FakeCluster:
    """A leader, targets and entries, connected by a network that delays and drops messages."""

    def __init__(self, shards: int = 16, extra_ticket: str = "") -> None:
        self.now = 0.0
        self.index = 0
        self.state = ClusterState()
        self.term = 0
        self.targets: dict[str, FakeTarget] = {}
        self.replaced_targets: list[FakeTarget] = []
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
        """Replace the leader by a new one with the same state.

        Pending proposals of the old leader are applied before the new term starts, or dropped.
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
        """Advance the simulated time and call ``check`` after every tick."""
        end = self.now + seconds
        while self.now < end - TICK_S / 2:
            self.now += TICK_S
            self._tick()
            check()

    def run_until(self, condition: Callable[[], bool], limit: float) -> float:
        """Advance until a condition holds and return the time taken, ``limit`` if it does not hold."""
        start = self.now
        while not condition() and self.now - start < limit:
            self.advance(TICK_S)
        return self.now - start

    def owners(self) -> dict[int, str]:
        """Return the owners of all owned shards in the state."""
        return {
            shard: record.target_id
            for shard, record in self.state.shards["ledger"].items()
            if record.phase == "owned"
        }

    def all_owned(self) -> bool:
        table = self.state.shards["ledger"]
        return len(self.owners()) == sum(1 for _ in table.items())

    def request(self, entry: FakeEntry, key: int, duration: float) -> bool:
        """Send a request for a key and return whether the entry sent it."""
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
        # A request that its entry has closed is not delivered.
        if request.number not in entry.requests or entry.ended:
            return
        target = self.process_at(address)
        if target is None:
            entry.finish(request.number)
            return
        if target.frozen:
            self._later(TICK_S, lambda: self._run(entry, request, address))
            return
        if not target.admits(request.shard, request.fence, request.incarnation, self.now):
            entry.finish(request.number)
            return
        self.on_run(target, request)
        target.running[request.number] = request
        self._later(request.duration, lambda: self._end(entry, target, request))

    def _end(self, entry: FakeEntry, target: FakeTarget, request: FakeRequest) -> None:
        if target.frozen and not target.ended:
            self._later(TICK_S, lambda: self._end(entry, target, request))
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
        self._send_reports()
        self._send_renewals()
        if self.now >= self.next_step:
            self.next_step = self.now + STEP_INTERVAL_S
            self._propose(self.leader.step(self.now))

    def _propose(self, commands: list[Command]) -> None:
        for command in commands:
            if not self.lose_proposal():
                self.proposed.append((self.now + self.commit_delay, command))

    def _announce(self) -> None:
        for target in list(self.targets.values()):
            announcement = target.announcement
            last = self.announced_at.get(announcement.target_id, -1.0)
            if target.frozen or target.ended or self.now - last < ANNOUNCE_INTERVAL_S:
                continue
            self.announced_at[announcement.target_id] = self.now
            self._send("announce", lambda target=target: self._receive_announcement(target))

    def _receive_announcement(self, target: FakeTarget) -> None:
        if not target.ended and self.leader.needs_proposal(target.announcement):
            self._propose([AnnounceTarget(target.announcement)])

    def _send_reports(self) -> None:
        for entry in self.entries.values():
            if entry.ended or self.now < entry.next_poll:
                continue
            entry.next_poll = self.now + REPORT_INTERVAL_S
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

    def _send_renewals(self) -> None:
        for target_id in list(self.state.targets.records):
            renewal = self.leader.next_renewal(target_id, self.now)
            if renewal is not None:
                self._send_renewal(target_id, renewal)

    def _send_renewal(self, target_id: str, renewal: GrantRenewal) -> None:
        leader = self.leader
        finished: list[bool] = []

        def fail() -> None:
            if not finished:
                finished.append(True)
                leader.record_grant_failure(target_id, renewal, self.now)

        def receive_ack(ack: GrantAck) -> None:
            if not finished:
                finished.append(True)
                leader.record_grant_ack(target_id, renewal, ack, self.now)

        def deliver() -> None:
            target = self.process_at(renewal.address)
            if target is None:
                return
            if target.frozen:
                # A frozen process reads the message from its socket buffer when it resumes.
                self._later(TICK_S, deliver)
                return
            ack = target.apply(renewal, self.now)
            if ack is not None:
                self._send("ack", lambda: receive_ack(ack))

        self._later(RENEWAL_TIMEOUT_S, fail)
        self._send("renewal", deliver)

    def process_at(self, address: str) -> FakeTarget | None:
        """Return the running process that listens at an address."""
        for target in [*self.targets.values(), *self.replaced_targets]:
            if target.announcement.address == address and not target.ended:
                return target
        return None

    def processes(self) -> list[FakeTarget]:
        return [*self.targets.values(), *self.replaced_targets]

    def phase(self, target_id: str) -> str:
        record = self.state.targets.get(target_id)
        return record.phase if record else PHASE_LOST

    def cold_records(self) -> list:
        return [record for record in self.state.targets.records.values() if record.phase == PHASE_COLD]
