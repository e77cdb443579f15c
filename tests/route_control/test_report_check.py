"""Fuzz of the reports of entries: no report may spoil the plans of the leader."""

import math

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberrylever.keyspace import PlanOwner, plan_keys
from cranberrylever.keyspace._ranges import RangeTable
from cranberrylever.route_control._measurements import TargetMeasurements
from cranberrylever.route_control._permits import PermitLedger
from cranberrylever.route_control._report_check import check_report
from cranberrylever.target_registry import RegisteredTarget
from cranberrylever.wire import (
    FeedReport,
    ObservedRateLimit,
    PartWork,
    PermitRequest,
    ReportedLoad,
    ServiceWork,
    TargetServiceTime,
    TargetSpeed,
)

TARGETS = tuple(RegisteredTarget(f"t{n}", 1, "ledger", f"t{n}:80", "z", 3) for n in range(3))
EXAMPLES = 150

numbers = st.floats() | st.sampled_from([math.nan, math.inf, -math.inf, -1.0, 1e300, 0.0])
counts = st.integers(-(2**63), 2**63 - 1)
ids = st.sampled_from(["t0", "t1", "t2", "x"])


def lists(element):
    return st.lists(element, max_size=4).map(tuple)


reports = st.builds(
    FeedReport,
    cluster_id=st.just("c"),
    entry_id=st.just("e"),
    sequence=counts,
    plan_version=counts,
    fleet_version=counts,
    ranges_version=counts,
    work=lists(st.builds(ServiceWork, st.just("ledger"), lists(st.builds(PartWork, counts, numbers)))),
    paces=lists(st.builds(TargetServiceTime, ids, st.just(1), numbers, numbers)),
    speeds=lists(st.builds(TargetSpeed, ids, st.just(1), numbers)),
    wishes=lists(st.builds(PermitRequest, ids, st.just(1), counts, numbers, numbers)),
    loads=lists(st.builds(ReportedLoad, ids, st.just(1), counts, counts)),
    rate_limits=lists(st.builds(ObservedRateLimit, ids, st.just(1), numbers, numbers)),
)


class ReportCheckTest(testtools.TestCase):
    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @given(reports)
    def test_no_report_spoils_the_plans_of_the_leader(self, report):
        """Guards against one malformed report after which no key is assigned any more."""
        checked, _ = check_report(report)
        measurements = TargetMeasurements(0.0, 10.0)
        measurements.record(checked, 1.0)
        for observed in checked.rate_limits:
            measurements.rate_limits.record(observed, 1.0)
        PermitLedger(-10.0).grant(checked.wishes, 1.0)
        measurements.update_speeds(TARGETS)
        load = measurements.loads_of("ledger", 1.0)
        assert all(math.isfinite(value) and value >= 0 for value in load.work)
        owners = []
        for target in TARGETS:
            speed = measurements.speed(target)
            assert 0 < speed < math.inf, speed
            assert (measurements.busy(target, 1.1) or 0.0) >= 0
            owners.append(PlanOwner(target.incarnation, 3 * speed, 3 * speed))
        plan = plan_keys(RangeTable().ranges, owners, load.work, 0, True)
        assert sum(edit.last - edit.first + 1 for edit in plan.assignments) == 65_536

    def test_possible_items_are_kept(self):
        """Guards against reports of sound entries that lose items."""
        report = FeedReport(
            "c",
            "e",
            1,
            1,
            1,
            1,
            work=(ServiceWork("ledger", (PartWork(0, 0.5), PartWork(1, math.nan))),),
            rate_limits=(ObservedRateLimit("t0", 1, math.inf, 0.1),),
        )
        checked, dropped = check_report(report)
        assert dropped == 1
        assert checked.work[0].parts == (PartWork(0, 0.5),)
        assert checked.rate_limits == report.rate_limits
