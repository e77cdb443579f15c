"""Commands of the log that holds routes, targets and key ranges."""

import attrs

from cranberrylever.keyspace import RangeEdit
from cranberrylever.route_plan import RoutePlan
from cranberrylever.target_registry import TargetAnnouncement
from cranberrylever.wire import CommandCodec


@attrs.frozen
class SubmitPlan:
    """Put a plan in force that builds on the plan numbered ``base``."""

    plan: RoutePlan
    base: int


@attrs.frozen
class SetDomainState:
    """Withdraw a failure domain, or restore it."""

    failure_domain: str
    withdrawn: bool


@attrs.frozen
class RecordTarget:
    """Take over a target's notice."""

    notice: TargetAnnouncement


@attrs.frozen
class EndTarget:
    """A life of a target has said that it ends."""

    target_id: str
    started_ms: int


@attrs.frozen
class ForgetTarget:
    """A life of a target has been silent for long."""

    target_id: str
    started_ms: int


@attrs.frozen
class RecordEntry:
    """An entry that shares limits with the others was met for the first time."""

    entry_id: str


@attrs.frozen
class EditRanges:
    """Change the key ranges of a service as they were at ``base_version``."""

    service: str
    base_version: int
    edits: tuple[RangeEdit, ...]


RouteControlCommand = (
    SubmitPlan | SetDomainState | RecordTarget | EndTarget | ForgetTarget | RecordEntry | EditRanges
)

command_codec = CommandCodec(RouteControlCommand)
