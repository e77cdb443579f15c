"""Slopes of the route programs: planning time and bytes of views and reports by targets and ranges."""

import random
import time

from cranberrylever.keyspace import PART_COUNT, PlanOwner, RangeEdit, RangeTable, plan_keys
from cranberrylever.route_control._sections import fleet_changes, range_changes
from cranberrylever.wire import (
    FeedReport,
    FleetView,
    PartWork,
    RangesView,
    RangeView,
    RoutedTarget,
    ServiceRanges,
    ServiceWork,
    encode,
)

TARGETS = (20, 80, 160)
RANGES = (50, 200, 800)
REPEATS = 40


def main() -> None:
    """Print one line per measured point."""
    for targets in TARGETS:
        print(f"plan of keys, {targets} targets: {plan_time(targets) * 1000:.2f} ms")
    for targets in TARGETS:
        complete, change = fleet_bytes(targets)
        print(f"fleet section, {targets} targets: {complete} B whole, {change} B for one changed target")
    for ranges in RANGES:
        complete, change = range_bytes(ranges)
        print(f"ranges section, {ranges} ranges: {complete} B whole, {change} B for one moved range")
    for requests in (10, 50, 200):
        print(f"report of an entry with {requests} keyed requests: {report_bytes(requests)} B")


def plan_time(targets: int) -> float:
    """Return the seconds of one plan of a table with three ranges per target."""
    rng = random.Random(1)
    owners = [PlanOwner((f"t{number}", 1), 3.0, 3.0) for number in range(targets)]
    table = RangeTable()
    step = 65_536 // (3 * targets)
    edits = tuple(
        RangeEdit(number * step, (number + 1) * step - 1, "held", *owners[number % targets].incarnation)
        for number in range(3 * targets)
    )
    table.apply(0, edits, 1)
    work = [rng.expovariate(1 / 0.004) for _ in range(PART_COUNT)]
    started = time.perf_counter()
    for _ in range(REPEATS):
        plan_keys(table.ranges, owners, work, 0, True)
    return (time.perf_counter() - started) / REPEATS


def fleet_bytes(targets: int) -> tuple[int, int]:
    """Return the bytes of a complete section and of a section with one changed target."""
    items = tuple(
        RoutedTarget(
            f"i-{number:010x}", 1767250972000, "ledger", f"10.1.64.{number}:8681", "a", 3, True, 0.0, 1.0
        )
        for number in range(targets)
    )
    changed = (RoutedTarget("i-new", 1, "ledger", "10.1.64.1:8681", "a", 3, True, 0.0, 1.0), *items[1:])
    complete = FleetView(items, 8)
    return len(encode(complete)), len(encode(fleet_changes(complete, FleetView(changed, 8), 1)))


def range_bytes(ranges: int) -> tuple[int, int]:
    """Return the bytes of a complete section and of a section with one moved range."""
    step = 65_536 // ranges
    items = [RangeView(n * step, (n + 1) * step - 1, f"i-{n % 21:010x}") for n in range(ranges)]
    complete = RangesView((ServiceRanges("ledger", tuple(items)),))
    items[1] = RangeView(items[1].first, items[1].last, "i-other")
    moved = RangesView((ServiceRanges("ledger", tuple(items)),))
    return len(encode(complete)), len(encode(range_changes(complete, moved, 1)))


def report_bytes(requests: int) -> int:
    """Return the bytes of a report on keyed requests for as many parts of the key space."""
    parts = tuple(PartWork(number, 0.1) for number in range(requests))
    return len(encode(FeedReport("c", "edge-1", 1, 1, 1, 1, (ServiceWork("ledger", parts),))))


if __name__ == "__main__":
    main()
