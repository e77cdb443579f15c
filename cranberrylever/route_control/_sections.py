"""Versioned sections of the view, and the changes between two versions of one."""

import collections

import attrs

from cranberrylever.wire import FleetView, RangesView, RangeView, RoutedTarget, ServiceRanges

MAX_VERSIONS = 128
"""Versions kept to send only changes; an entry that is further behind gets a complete section."""

_VERSIONS_PER_TERM = 1 << 24
"""Versions that each term may use; a version of a later term is always higher than those of earlier terms."""


class Section:
    """One section of the view; its version increases with each change and never decreases."""

    def __init__(self) -> None:
        self.version = -1
        self.term = 0
        self.content: FleetView | RangesView | None = None
        self.history: collections.OrderedDict[int, FleetView | RangesView] = collections.OrderedDict()
        self.changes: dict[int, FleetView | RangesView] = {}

    def update(self, content: FleetView | RangesView, term: int) -> None:
        """Set new content; versions of an earlier term are not a base for changes."""
        if term != self.term:
            self.history.clear()
        self.changes.clear()
        self.version = max(self.version + 1, term * _VERSIONS_PER_TERM)
        self.term = term
        self.content = content
        self.history[self.version] = content
        while len(self.history) > MAX_VERSIONS:
            self.history.popitem(last=False)

    def since(self, version: int) -> FleetView | RangesView | None:
        """Return what an entry lacks that holds ``version``, ``None`` when that is the current one.

        A version that is not kept any more gets the complete section.
        """
        if version >= self.version or self.content is None:
            return None
        base = self.history.get(version)
        if base is None:
            return self.content
        changes = self.changes.get(version)
        if changes is None:
            changes = self.changes[version] = self._changes_since(base, version)
        return changes

    def _changes_since(self, base: FleetView | RangesView, version: int) -> FleetView | RangesView:
        if isinstance(self.content, FleetView):
            return fleet_changes(base, self.content, version)
        return range_changes(base, self.content, version)


def fleet_changes(before: FleetView, after: FleetView, base_version: int) -> FleetView:
    """Return ``after`` with only the targets that differ from ``before``, and the ids of removed ones."""
    known = {target.target_id: target for target in before.targets}
    changed = tuple(
        target for target in after.targets if not is_same_target(known.get(target.target_id), target)
    )
    removed = tuple(known.keys() - {target.target_id for target in after.targets})
    return attrs.evolve(after, targets=changed, removed=removed, base_version=base_version)


def is_same_fleet(before: FleetView | None, after: FleetView) -> bool:
    """Return whether two views differ at most in remaining cold times, which only count down."""
    if before is None or before.entries != after.entries or before.suspects != after.suspects:
        return False
    return len(before.targets) == len(after.targets) and all(
        map(is_same_target, before.targets, after.targets)
    )


def is_same_target(before: RoutedTarget | None, after: RoutedTarget) -> bool:
    """Return whether a target differs at most in its remaining cold time, which only counts down."""
    return before is after or (before is not None and _comparable(before) == _comparable(after))


def _comparable(target: RoutedTarget) -> tuple[object, ...]:
    return (
        target.target_id,
        target.started_ms,
        target.service,
        target.address,
        target.failure_domain,
        target.slots,
        target.usable,
        target.cold_for > 0,
        target.speed,
        target.busy,
        target.rate_limit,
        target.draining,
    )


def range_changes(before: RangesView, after: RangesView, base_version: int) -> RangesView:
    """Return the ranges of ``after`` whose owner differs from ``before``."""
    known = {service.service: service.ranges for service in before.services}
    services = []
    for service in after.services:
        changed = _changed_ranges(known.get(service.service, ()), service.ranges)
        if changed:
            services.append(ServiceRanges(service.service, changed))
    return RangesView(tuple(services), base_version)


def _changed_ranges(before: tuple[RangeView, ...], after: tuple[RangeView, ...]) -> tuple[RangeView, ...]:
    changed: list[RangeView] = []
    start = 0
    for item in after:
        first = item.first
        while start < len(before) and before[start].last < first:
            start += 1
        index = start
        while first <= item.last:
            old = before[index] if index < len(before) else None
            last = min(item.last, old.last) if old is not None else item.last
            if old is None or old.owner != item.owner:
                changed.append(RangeView(first, last, item.owner))
            first = last + 1
            index += 1
    return tuple(changed)
