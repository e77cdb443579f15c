"""Slopes of coordinator and state: processor time and bytes by shards, targets, entries, tickets, claims."""

import time
import tracemalloc
from collections.abc import Callable
from functools import partial

from bench.fit import Slope, fit
from cranberrylever.invariants import check
from cranberrylever.membership import Announcement
from cranberrylever.ownership import Coordinator, GrantAck
from cranberrylever.routing import RoutingTable, View
from cranberrylever.state import (
    AcceptTicket,
    AnnounceTarget,
    ClaimCompletion,
    ClaimOpening,
    ClusterState,
    CompleteClaims,
    OpenClaims,
    encode_command,
)
from cranberrylever.wire import ClaimAnswer, EntryHello, EntryReport, encode

SHARDS = (1024, 4096, 16384)
TARGETS = (20, 80, 320)
ENTRIES = (10, 40, 160)
TICKETS = (100, 400, 1000)
CLAIMS = (2_000, 8_000, 32_000)
# Calls of the coordinator step over which its processor time is averaged.
STEPS = 200
STEP_S = 0.025
# Steps before the first measurement, in which the shards are assigned.
SETTLE_STEPS = 400
# Steps after the loss of targets, within which all their shards must get new owners.
LOSS_STEPS = 80
TARGET_COUNT = 20
SHARD_COUNT = 1024
ENTRY_COUNT = 10


class CoordinatorCluster:
    """Coordinator and state with simulated targets, which acknowledge at once, and up-to-date entries."""

    def __init__(self, shards: int, targets: int, entries: int) -> None:
        self.state = ClusterState()
        self.coordinator = Coordinator(self.state)
        self.index = 0
        self.now = 0.0
        self.log_bytes = 0
        self.apply(
            AcceptTicket(f'number = 1\n[[service]]\nname = "ledger"\nkind = "keyed"\nshards = {shards}\n')
        )
        self.targets = [f"t{number}" for number in range(targets)]
        for target_id in self.targets:
            self.apply(AnnounceTarget(Announcement(target_id, "ledger", "127.0.0.1:1", "a", "i", 3, 100)))
        self.entries = [f"e{number}" for number in range(entries)]
        for entry_id in self.entries:
            self.coordinator.record_hello(EntryHello(entry_id, "i", "127.0.0.1:2", "a"))
        self.sequence = 0
        self.lost: set[str] = set()
        self.coordinator.start_term(1, 0.0)
        for _ in range(SETTLE_STEPS):
            self.advance()

    def apply(self, command: object) -> object:
        """Apply a command at the next log index."""
        self.index += 1
        self.log_bytes += len(encode_command(command))
        return self.state.apply(self.index, command)

    def advance(self) -> None:
        """Advance the time by one step and answer all messages."""
        self.now += STEP_S
        self.renew()
        if round(self.now / STEP_S) % 8 == 0:
            self.poll()
        for command in self.coordinator.step(self.now):
            self.apply(command)

    def owned_by_lost(self) -> int:
        """Return the number of shards that lost targets own."""
        records = self.state.targets.records
        return sum(len(self.state.owned_shards(records[name])) for name in self.lost if name in records)

    def step(self) -> None:
        """Run one coordinator step without a change of state."""
        self.coordinator.step(self.now)

    def renew_all(self) -> None:
        """Advance the time by a renewal interval and answer one renewal of each target."""
        self.now += self.coordinator.timings.grant_interval
        self.renew()

    def renew(self) -> int:
        """Answer all renewals that are due and return their number."""
        sent = 0
        for target_id in self.targets:
            renewal = self.coordinator.next_renewal(target_id, self.now)
            if renewal is None:
                continue
            sent += 1
            if target_id in self.lost:
                self.coordinator.record_grant_failure(target_id, renewal, self.now)
                continue
            ack = GrantAck("i", self.now * 1000, renewal.sequence, renewal.version, state="warm")
            self.coordinator.record_grant_ack(target_id, renewal, ack, self.now)
        return sent

    def poll(self) -> int:
        """Answer one poll of each entry and return their number."""
        self.sequence += 1
        for entry_id in self.entries:
            version = self.state.view_version
            report = EntryReport(self.sequence, entry_id, "i", version, version)
            self.coordinator.record_report(report, self.now)
            self.coordinator.view_answer(report, self.now)
        return len(self.entries)


def run() -> list[Slope]:
    """Measure all slopes of coordinator and state."""
    return [
        *by_shards(),
        *by_lost_shards(),
        *by_targets(),
        *by_entries(),
        *by_tickets(),
        *by_claims(),
    ]


def by_shards() -> list[Slope]:
    """Cost by shards of one keyed service."""
    step, snapshot, view, decode_time, memory = [], [], [], [], []
    for shards in SHARDS:
        tracemalloc.start()
        cluster = CoordinatorCluster(shards, TARGET_COUNT, ENTRY_COUNT)
        memory.append((shards, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        step.append((shards, cpu_us(cluster.step, STEPS)))
        snapshot.append((shards, len(cluster.state.snapshot())))
        current = current_view(cluster)
        view.append((shards, len(encode(current))))
        decode_time.append((shards, cpu_us(partial(RoutingTable, current), 20)))
    return [
        fit("step_by_shards", "us", "shard", step),
        fit("control_memory_by_shards", "B", "shard", memory),
        fit("snapshot_by_shards", "B", "shard", snapshot),
        fit("view_by_shards", "B", "shard", view),
        fit("entry_table_by_shards", "us", "shard", decode_time),
    ]


def by_lost_shards() -> list[Slope]:
    """Cost of the loss of a tenth of the targets beyond that of an idle cluster, by moved shards."""
    processor, log = [], []
    for shards in SHARDS:
        cluster = CoordinatorCluster(shards, TARGET_COUNT, ENTRY_COUNT)
        idle = cpu_us(cluster.advance, LOSS_STEPS) * LOSS_STEPS
        cluster.lost = set(cluster.targets[: TARGET_COUNT // 10])
        moved = cluster.owned_by_lost()
        bytes_before = cluster.log_bytes
        busy = cpu_us(cluster.advance, LOSS_STEPS) * LOSS_STEPS
        check(cluster.owned_by_lost() == 0, "all shards of lost targets have new owners")
        processor.append((moved, busy - idle))
        log.append((moved, cluster.log_bytes - bytes_before))
    return [
        fit("loss_by_shards", "us", "lost shard", processor),
        fit("loss_log_by_shards", "B", "lost shard", log),
    ]


def by_targets() -> list[Slope]:
    """Cost by targets of one keyed service."""
    step, view, renewal = [], [], []
    for targets in TARGETS:
        cluster = CoordinatorCluster(SHARD_COUNT, targets, ENTRY_COUNT)
        step.append((targets, cpu_us(cluster.step, STEPS)))
        view.append((targets, len(encode(current_view(cluster)))))
        renewal.append((targets, cpu_us(cluster.renew_all, 20)))
    return [
        fit("step_by_targets", "us", "target", step),
        fit("view_by_targets", "B", "target", view),
        fit("renewal_rules_by_targets", "us", "target", renewal),
    ]


def by_entries() -> list[Slope]:
    """Cost by entries."""
    points = []
    for entries in ENTRIES:
        cluster = CoordinatorCluster(SHARD_COUNT, TARGET_COUNT, entries)
        points.append((entries, cpu_us(cluster.poll, 20)))
    return [fit("poll_rules_by_entries", "us", "entry", points)]


def by_tickets() -> list[Slope]:
    """Cost by accepted tickets, each with one failure domain."""
    log, snapshot, apply_time = [], [], []
    for tickets in TICKETS:
        state = ClusterState()
        commands = [
            AcceptTicket(f'number = {n}\n[[failure_domain]]\nname = "d{n % 10}"\nstate = "active"\n')
            for n in range(1, tickets + 1)
        ]
        log.append((tickets, sum(len(encode_command(command)) for command in commands)))
        begin = time.process_time()
        for index, command in enumerate(commands, start=1):
            state.apply(index, command)
        apply_time.append((tickets, (time.process_time() - begin) * 1e6))
        snapshot.append((tickets, len(state.snapshot())))
    return [
        fit("log_by_tickets", "B", "ticket", log),
        fit("apply_by_tickets", "us", "ticket", apply_time),
        fit("snapshot_by_tickets", "B", "ticket", snapshot),
    ]


def by_claims() -> list[Slope]:
    """Cost by claims with a stored answer of 200 bytes."""
    apply_time, memory, snapshot = [], [], []
    answer = ClaimAnswer("done", 200, (("content-type", "application/json"),), b"x" * 200)
    for claims in CLAIMS:
        state = ClusterState()
        tracemalloc.start()
        for number in range(claims):
            apply_claim(state, number, answer)
        memory.append((claims, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        snapshot.append((claims, len(state.snapshot())))
        timed = ClusterState()
        begin = time.process_time()
        for number in range(claims):
            apply_claim(timed, number, answer)
        apply_time.append((claims, (time.process_time() - begin) * 1e6))
    return [
        fit("apply_by_claims", "us", "claim", apply_time),
        fit("control_memory_by_claims", "B", "claim", memory),
        fit("snapshot_by_claims", "B", "claim", snapshot),
    ]


def apply_claim(state: ClusterState, number: int, answer: ClaimAnswer) -> None:
    """Open and complete one claim."""
    claim_id = f"materials-desk:{number:032d}"
    fingerprint = f"{number:032x}"
    state.apply(2 * number + 1, OpenClaims((ClaimOpening(claim_id, fingerprint, "e1", "a1"),)))
    completion = ClaimCompletion(claim_id=claim_id, entry_id="e1", answer=answer, attempt="a1")
    state.apply(2 * number + 2, CompleteClaims((completion,)))


def current_view(cluster: CoordinatorCluster) -> View:
    """Return the view that a new entry receives."""
    report = EntryReport(1, "new", "i", 0, 0)
    return cluster.coordinator.view_answer(report, cluster.now).view


def cpu_us(work: Callable[[], object], repeats: int) -> float:
    """Return the mean processor time of one call in microseconds."""
    begin = time.process_time()
    for _ in range(repeats):
        work()
    return (time.process_time() - begin) / repeats * 1e6
