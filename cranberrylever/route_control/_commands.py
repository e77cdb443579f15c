"""Commands in the replicated log of route control."""

import attrs

from cranberrylever.keyspace import RangeEdit
from cranberrylever.route_plan import RoutePlan
from cranberrylever.target_registry import TargetAnnouncement
from cranberrylever.wire import CommandCodec


@attrs.frozen
class SubmitPlan:
    """Put a plan in force if the plan numbered ``base`` is the current one."""

    plan: RoutePlan
    base: int


@attrs.frozen
class SetDomainState:
    """Withdraw a failure domain, or restore it."""

    failure_domain: str
    withdrawn: bool


@attrs.frozen
class RecordTarget:
    """Record an announcement of a target."""

    notice: TargetAnnouncement


@attrs.frozen
class EndTarget:
    """Mark an incarnation of a target that deregisters as leaving."""

    target_id: str
    started_ms: int


@attrs.frozen
class ForgetTarget:
    """Remove an incarnation of a target without recent announcements; it may announce itself again."""

    target_id: str
    started_ms: int


@attrs.frozen
class RecordEntry:
    """Record an entry seen for the first time; limits are shared among all recorded entries."""

    entry_id: str


@attrs.frozen
class EditRanges:
    """Edit the key ranges of a service; without effect unless its table is at ``base_version``."""

    service: str
    base_version: int
    edits: tuple[RangeEdit, ...]


RouteControlCommand = (
    SubmitPlan | SetDomainState | RecordTarget | EndTarget | ForgetTarget | RecordEntry | EditRanges
)

command_codec = CommandCodec(RouteControlCommand)
