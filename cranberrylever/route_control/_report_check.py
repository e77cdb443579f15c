"""Check of the reports of entries: what no entry can have measured is dropped.

A figure that is not finite would stay in the sums of the leader and spoil each later plan.
"""

import math
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import attrs

from cranberrylever.wire import FeedReport, PermitRequest, QuotaNeed, QuotaReport

MAX_SECONDS = 3_600.0
"""Longest work or elapsed time in one report."""

MAX_COUNT = 1_000_000
"""Most requests or permits in one item of a report."""

MAX_SPEED_RATIO = 1_000.0
"""Highest speed relative to the average, and the reciprocal of the lowest."""

MAX_ITEMS = 10_000
"""Most items of one kind in a report; further ones are dropped."""

T = TypeVar("T")


def check_report(report: FeedReport) -> tuple[FeedReport, int]:
    """Return a report without its impossible items, and the number of these."""
    work = tuple(
        attrs.evolve(service, parts=_keep(service.parts, lambda part: _is_within(part.seconds, MAX_SECONDS)))
        for service in report.work[:MAX_ITEMS]
    )
    checked = attrs.evolve(
        report,
        work=work,
        paces=_keep(
            report.paces,
            lambda item: _is_within(item.elapsed, MAX_SECONDS) and _is_within(item.usual, MAX_SECONDS),
        ),
        crashed=report.crashed[:MAX_ITEMS],
        speeds=_keep(report.speeds, lambda item: 1 / MAX_SPEED_RATIO <= item.speed <= MAX_SPEED_RATIO),
        wishes=_keep(report.wishes, _is_permit_request),
        loads=_keep(report.loads, lambda item: 0 <= item.total <= MAX_COUNT and 0 < item.count <= MAX_COUNT),
        rate_limits=_keep(report.rate_limits, lambda item: item.rate > 0 and _is_within(item.age, math.inf)),
        leaving=report.leaving[:MAX_ITEMS],
        quota=_check_quota(report.quota),
    )
    return checked, _count_items(report) - _count_items(checked)


def _keep(items: Iterable[T], is_possible: Callable[[Any], bool]) -> tuple[T, ...]:
    return tuple(item for item in tuple(items)[:MAX_ITEMS] if is_possible(item))


def _is_within(seconds: float, limit: float) -> bool:
    return math.isfinite(seconds) and 0 <= seconds <= limit


def _is_permit_request(request: PermitRequest) -> bool:
    return (
        0 <= request.count <= MAX_COUNT
        and _is_within(request.bound, MAX_COUNT)
        and _is_within(request.window, MAX_SECONDS)
    )


def _check_quota(report: QuotaReport | None) -> QuotaReport | None:
    """Return the part about tokens without impossible items, ``None`` if it names no possible process."""
    if report is None or report.process < 0 or not math.isfinite(report.uptime):
        return None
    return attrs.evolve(report, needs=_keep(report.needs, _is_quota_need))


def _is_quota_need(need: QuotaNeed) -> bool:
    counts = (need.held, need.waiting, need.ahead, need.returned, need.recent)
    return all(0 <= count <= MAX_COUNT for count in counts)


def _count_items(report: FeedReport) -> int:
    lists = (
        report.paces,
        report.crashed,
        report.speeds,
        report.wishes,
        report.loads,
        report.rate_limits,
        report.leaving,
        report.quota.needs if report.quota else (),
    )
    return sum(len(service.parts) for service in report.work) + sum(map(len, lists))
