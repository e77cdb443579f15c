"""The leader's replication progress for one member."""

import collections
import enum

import attrs

from cranberrylever.consensus._messages import Snapshot


class Mode(enum.Enum):
    """Replication mode of a member."""

    PROBE = "probe"
    REPLICATE = "replicate"
    SNAPSHOT = "snapshot"


@attrs.define
class Progress:
    """Replication progress of one member with one data directory.

    Args:
        next_index: Index of the next entry to send.
        folder_id: Id of the member's data directory, empty until its first message.
        founder: Whether that directory was created with bootstrap.
        votes: Whether the member has synced a state under which it is a voter.
        failure_domain: Failure domain of the member, empty until its first reply.
        match_index: Last index that the member has synced and that matches the leader's log.
        match_round: Heartbeat round in which ``match_index`` was raised last.
        acknowledged_round: Latest heartbeat round that the member answered.
        mode: Replication mode.
        is_paused: In probe mode, whether a request with entries is unanswered.
        in_flight: Last index of each unanswered request.
        snapshot: Snapshot being sent.
        snapshot_offset: Offset in bytes of the next snapshot chunk.
        chunk_sent_at: Start in seconds of the heartbeat round in which that chunk was sent last.
    """

    next_index: int
    folder_id: str = ""
    founder: bool = False
    votes: bool = False
    failure_domain: str = ""
    match_index: int = 0
    match_round: int = 0
    acknowledged_round: int = 0
    mode: Mode = Mode.PROBE
    is_paused: bool = False
    in_flight: collections.deque[int] = attrs.field(factory=collections.deque)
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0
    chunk_sent_at: float = 0.0

    def start_probe(self, next_index: int) -> None:
        """Switch to probe mode: send one request at a time from ``next_index`` until one succeeds."""
        self.mode = Mode.PROBE
        self.is_paused = False
        self.next_index = next_index
        self.in_flight.clear()
        self.snapshot = None

    def start_snapshot(self, snapshot: Snapshot) -> None:
        """Switch to snapshot mode and send ``snapshot`` from its first byte."""
        self.mode = Mode.SNAPSHOT
        self.snapshot = snapshot
        self.snapshot_offset = 0
        self.next_index = snapshot.index + 1
        self.in_flight.clear()

    def acknowledge(self, match_index: int, current_round: int) -> None:
        """Update the progress after a successful reply with ``match_index``."""
        if match_index > self.match_index:
            self.match_index = match_index
            self.match_round = current_round
        self.next_index = max(self.next_index, match_index + 1)
        while self.in_flight and self.in_flight[0] <= match_index:
            self.in_flight.popleft()
        if self.mode is Mode.SNAPSHOT and self.snapshot is not None and match_index < self.snapshot.index:
            return
        self.mode = Mode.REPLICATE
        self.is_paused = False
        self.snapshot = None
