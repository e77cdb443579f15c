"""Announcements that change nothing, taken by followers and passed on to the leader in batches.

With hundreds of targets the leader would spend most of its time on single announcements. A follower knows
from the replicated state whether one changes anything; if not, all that the leader needs to know is when it
came. Announcements that change something, and those that get keys in the answer, still go to the leader.
"""

import asyncio
import zlib

import attrs

from cranberrylever.background_tasks import BackgroundTasks
from cranberrylever.consensus import RaftDriver
from cranberrylever.control_member import LeaderForwarder
from cranberrylever.logs import Log
from cranberrylever.route_control._state import RouteControlState
from cranberrylever.target_registry import TargetAnnouncement
from cranberrylever.wire import encode

BATCH_PATH = "/-/announcements"
"""Path at which the leader takes batches."""

BATCH_INTERVAL_S = 0.2
MAX_AGE_S = 2.0
"""Age from which an announcement is not passed on any more."""

MIN_RELAYED_TARGETS = 100
"""Targets from which followers take announcements, and the leader names them for later ones."""

Incarnation = tuple[str, int]


@attrs.frozen
class RelayedAnnouncement:
    """An announcement that a follower took ``age`` seconds ago."""

    announcement: TargetAnnouncement
    age: float


@attrs.frozen
class AnnouncementBatch:
    """The last announcement of each target that a follower took since its last batch."""

    announcements: tuple[RelayedAnnouncement, ...]


class AnnouncementRelay:
    """Takes announcements on a follower and sends them to the leader; times are loop times in seconds.

    Args:
        state: The replicated state of this member.
        driver: Consensus driver.
        forwarder: Sends requests to the leader.
        log: Program log.
    """

    def __init__(
        self, state: RouteControlState, driver: RaftDriver, forwarder: LeaderForwarder, log: Log
    ) -> None:
        self.state = state
        self.driver = driver
        self.forwarder = forwarder
        self.log = log
        self.pending: dict[Incarnation, tuple[TargetAnnouncement, float]] = {}
        self.is_connected = False
        self.tasks = BackgroundTasks()

    def start(self) -> None:
        """Start to send batches."""
        self.tasks.start(self._run())

    async def close(self) -> None:
        """Stop; what has not been sent is dropped."""
        await self.tasks.close()

    def accept(self, announcement: TargetAnnouncement) -> bool:
        """Take an announcement if it changes nothing and the leader gets batches; return whether it did."""
        fleet = self.state.fleet
        if len(fleet.targets) < MIN_RELAYED_TARGETS or not self.is_connected:
            return False
        if announcement.cold_for > 0 or fleet.is_leaving(announcement) or not fleet.repeats(announcement):
            return False
        incarnation = announcement.target_id, announcement.started_ms
        last = self.pending.get(incarnation)
        if last is None or last[0].sequence <= announcement.sequence:
            self.pending[incarnation] = (announcement, asyncio.get_running_loop().time())
        return True

    def member_for(self, target_id: str) -> str:
        """Return the member to which a target should send its later announcements."""
        followers = [member for member in self.driver.group() if member != self.driver.config.member_id]
        if not followers or len(self.state.fleet.targets) < MIN_RELAYED_TARGETS:
            return self.driver.config.member_id
        return sorted(followers)[zlib.crc32(target_id.encode()) % len(followers)]

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(BATCH_INTERVAL_S)
            try:
                await self._send_batch()
            except Exception as error:
                self.is_connected = False
                self.log.failure("announcement_batch_failed", error)

    async def _send_batch(self) -> None:
        """Send what was taken, also an empty batch, which shows that the leader can be reached."""
        leader_id = self.driver.leader_id
        if leader_id is None or leader_id == self.driver.config.member_id:
            self.is_connected = False
            return
        now = asyncio.get_running_loop().time()
        pending, self.pending = self.pending, {}
        batch = AnnouncementBatch(
            tuple(
                RelayedAnnouncement(announcement, now - taken_at)
                for announcement, taken_at in pending.values()
                if now - taken_at < MAX_AGE_S
            )
        )
        was_connected, self.is_connected = (
            self.is_connected,
            await self.forwarder.post(leader_id, BATCH_PATH, encode(batch)),
        )
        if not self.is_connected:
            self.pending = {**pending, **self.pending}
        if was_connected != self.is_connected:
            self.log.info("announcement_relay", leader=leader_id, connected=self.is_connected)
