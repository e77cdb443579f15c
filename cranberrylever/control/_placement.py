"""Decision log lines for committed placement changes."""

from collections.abc import Callable

from cranberrylever.logs import Log
from cranberrylever.state import (
    AllocatePermits,
    AnnounceTarget,
    AssignShards,
    ClusterState,
    Command,
    PinKey,
    ReleaseShards,
    RemoveTarget,
    SetTargetPhase,
    UnpinKey,
)

_LOGGED_COMMANDS = (
    AllocatePermits,
    AnnounceTarget,
    AssignShards,
    PinKey,
    ReleaseShards,
    RemoveTarget,
    SetTargetPhase,
    UnpinKey,
)


class PlacementLog:
    """Writes one log line for each committed placement decision, on the leader only.

    Args:
        state: Replicated state after the change.
        is_leader: Returns whether this member leads; only the leader writes, so that each line appears once.
        log: Program log.
    """

    def __init__(self, state: ClusterState, is_leader: Callable[[], bool], log: Log) -> None:
        self.state = state
        self.is_leader = is_leader
        self.log = log

    def __call__(self, index: int, command: Command, result: object) -> None:
        """Log an applied command if it is a placement decision."""
        if not isinstance(command, _LOGGED_COMMANDS) or not self.is_leader():
            return
        if isinstance(command, AssignShards):
            self._log_assignment(command)
        elif isinstance(command, ReleaseShards):
            self._log_release(command)
        elif isinstance(command, SetTargetPhase):
            service = self._service_name(command.target_id)
            self._write_decision(service, command.target_id, f"phase_{command.phase}: {command.reason}", 0)
        elif isinstance(command, AnnounceTarget):
            announcement = command.announcement
            self._write_decision(announcement.service, announcement.target_id, "announced", 0)
        elif isinstance(command, AllocatePermits):
            reason = f"permits_{sum(command.allocations.values())}"
            self._write_decision(self._service_name(command.target_id), command.target_id, reason, 0)
        elif isinstance(command, RemoveTarget):
            self._write_decision("", command.target_id, "removed", 0)
        else:
            reason = "pinned" if isinstance(command, PinKey) else "unpinned"
            self.log.decision(command.service, command.key_hash, None, reason, 0, self.state.view_version)

    def _log_assignment(self, command: AssignShards) -> None:
        shards_by_target: dict[str, list[int]] = {}
        for item in command.items:
            shards_by_target.setdefault(item.target_id, []).append(item.shard)
        for target_id, shards in shards_by_target.items():
            self._write_decision(
                command.service, target_id, f"assigned {_format_ranges(shards)}", self.state.next_fence - 1
            )

    def _log_release(self, command: ReleaseShards) -> None:
        shards = _format_ranges([reference.shard for reference in command.shards])
        self._write_decision(
            command.service, None, f"released {shards}: {command.reason}", self.state.next_fence - 1
        )

    def _service_name(self, target_id: str) -> str:
        record = self.state.targets.get(target_id)
        return record.announcement.service if record is not None else ""

    def _write_decision(self, service: str, target_id: str | None, reason: str, fence: int) -> None:
        self.log.decision(service, None, target_id, reason, fence, self.state.view_version)


def _format_ranges(shards: list[int]) -> str:
    """Return shard numbers as ranges such as ``0-3,7``."""
    ranges: list[str] = []
    sorted_shards = sorted(shards)
    start = previous = sorted_shards[0] if sorted_shards else 0
    for shard in [*sorted_shards[1:], None]:
        if shard is not None and shard == previous + 1:
            previous = shard
            continue
        ranges.append(str(start) if start == previous else f"{start}-{previous}")
        start = previous = shard
    return ",".join(ranges)
