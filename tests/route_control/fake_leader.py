"""A leader and its driver as the feed and the published view see them."""

import asyncio

import attrs

from cranberrylever.route_control._measurements import TargetMeasurements
from cranberrylever.route_control._permits import PermitLedger

MEMBER = "m:1"


@attrs.define
class FakeLeaseManager:
    """A lease manager without any answers."""

    change_count: int = 0


@attrs.define
class FakeLeader:
    """What the feed reads of a leader."""

    measurements: TargetMeasurements
    term: int = 1
    lease_manager: FakeLeaseManager = attrs.field(factory=FakeLeaseManager)
    permits: PermitLedger = attrs.field(factory=lambda: PermitLedger(0.0))
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    is_without_lease: bool = False

    def is_serving(self):
        return True

    async def wait_until_serving(self):
        if self.is_without_lease:
            await asyncio.Event().wait()
        return True

    def record_report(self, report):
        pass

    def grant_quota(self, report, now):
        return ()

    def published_owner(self, item, service):
        return ""

    def service(self, name):
        return None


@attrs.define
class FakeDriver:
    """The consensus driver of a group of one member."""

    leader_id: str = MEMBER

    @property
    def config(self):
        return self

    @property
    def member_id(self):
        return MEMBER

    def group(self):
        return (MEMBER,)
