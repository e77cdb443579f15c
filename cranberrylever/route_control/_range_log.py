"""Log lines about each way by which a key range changes its owner or becomes free."""

from collections.abc import Iterable

from cranberrylever.keyspace import KeyRange, RangeEdit, RangeTable
from cranberrylever.logs import Log
from cranberrylever.route_control._lease_manager import LeaseManager


def log_edits(
    log: Log,
    lease_manager: LeaseManager,
    service: str,
    table: RangeTable,
    edits: Iterable[RangeEdit],
    now: float,
) -> None:
    """Log proposed edits with what is known of the present holder of each range."""
    for edit in edits:
        item = table.find(edit.first)
        log.info(
            "range_edit",
            service=service,
            first=edit.first,
            last=edit.last,
            phase=edit.phase,
            target=edit.target_id,
            **_holder_fields(lease_manager, item, now),
            failures=lease_manager.failures(item.incarnation),
            table_version=table.version,
        )


def log_freed_ranges(log: Log, lease_manager: LeaseManager, ranges: Iterable[KeyRange], now: float) -> None:
    """Log ranges that became free because the incarnation that held them has ended."""
    for item in ranges:
        log.info(
            "range_freed",
            reason="the target ended",
            first=item.first,
            last=item.last,
            **_holder_fields(lease_manager, item, now),
        )


def _holder_fields(lease_manager: LeaseManager, item: KeyRange, now: float) -> dict[str, object]:
    """Return the log fields of the present holder of a range, with the time for which it may hold it."""
    return {
        "before": item.target_id,
        "before_phase": item.phase,
        "before_fence": item.fence,
        "held_for_s": round(lease_manager.hold_bound(item, now), 3),
    }
