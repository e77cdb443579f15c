"""State of one request's dispatch."""

import attrs

from cranberrylever.route_entry._view import TargetState


@attrs.define
class DispatchState:
    """State of one request's dispatch.

    ``connect_failures`` counts attempts that reached no target, ``permit_deadline`` is the loop time at which
    the wait for a permit ends, ``permit_target`` is the target for which a permit was awaited last, and
    ``excluded_targets`` failed to connect or did not run the request. ``room_deadline`` is the loop time at
    which the wait for room for its body ends.
    """

    connect_failures: int = 0
    permit_deadline: float | None = None
    permit_target: TargetState | None = None
    excluded_targets: set[str] = attrs.field(factory=set)
    room_deadline: float | None = None
