"""Key ranges of keyed services: the replicated table, grant leases, work per part and the planner."""

from cranberrylever.keyspace._fair_work import PlanOwner, fair_weight
from cranberrylever.keyspace._leases import GrantCall, LeaseLedger
from cranberrylever.keyspace._loads import (
    KEYS_PER_PART,
    PART_COUNT,
    KeyLoads,
    cumulative_work,
    part_of,
    work_in_range,
)
from cranberrylever.keyspace._planner import KeyPlan, plan_keys, plan_merges
from cranberrylever.keyspace._ranges import (
    FIRST_FENCE,
    FREE,
    HELD,
    KEY_SPACE_SIZE,
    RELEASING,
    KeyRange,
    RangeEdit,
    RangeTable,
    RangeTableRecord,
)

__all__ = [
    "FIRST_FENCE",
    "FREE",
    "HELD",
    "KEYS_PER_PART",
    "KEY_SPACE_SIZE",
    "PART_COUNT",
    "RELEASING",
    "GrantCall",
    "KeyLoads",
    "KeyPlan",
    "KeyRange",
    "LeaseLedger",
    "PlanOwner",
    "RangeEdit",
    "RangeTable",
    "RangeTableRecord",
    "cumulative_work",
    "fair_weight",
    "part_of",
    "plan_keys",
    "plan_merges",
    "work_in_range",
]
