"""Shard ownership, grants to targets and permits for cold targets."""

from cranberrylever.ownership._coordinator import Coordinator
from cranberrylever.ownership._grants import GrantAck, GrantLedger, GrantRenewal
from cranberrylever.ownership._permits import PermitLedger, PermitRecord, PermitTable, divide_permits
from cranberrylever.ownership._planner import (
    MAX_MOVES_IN_FLIGHT,
    Placement,
    Plan,
    PlanShard,
    PlanTarget,
    load_noise,
    plan,
    shard_shares,
)
from cranberrylever.ownership._shards import FREE, OWNED, RELEASING, ShardRecord, ShardTable
from cranberrylever.ownership._status import CoordinatorStatus, EntryStatus, ServiceStatus, TargetStatus
from cranberrylever.ownership._timings import Timings

__all__ = [
    "FREE",
    "MAX_MOVES_IN_FLIGHT",
    "OWNED",
    "RELEASING",
    "Coordinator",
    "CoordinatorStatus",
    "EntryStatus",
    "GrantAck",
    "GrantLedger",
    "GrantRenewal",
    "PermitLedger",
    "PermitRecord",
    "PermitTable",
    "Placement",
    "Plan",
    "PlanShard",
    "PlanTarget",
    "ServiceStatus",
    "ShardRecord",
    "ShardTable",
    "TargetStatus",
    "Timings",
    "divide_permits",
    "load_noise",
    "plan",
    "shard_shares",
]
