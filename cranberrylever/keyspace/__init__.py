"""Key spaces by range: who owns which keys, what may still be held, and where ranges should be."""

from cranberrylever.keyspace._leases import GrantCall, LeaseLedger
from cranberrylever.keyspace._loads import KEYS_PER_PART, PARTS, KeyLoads, part_of
from cranberrylever.keyspace._planner import (
    KeyPlan,
    PlanOwner,
    fair_weight,
    merges,
    plan_keys,
    work_of,
    work_sums,
)
from cranberrylever.keyspace._ranges import (
    FREE,
    HELD,
    KEYS,
    RELEASING,
    KeyRange,
    RangeEdit,
    RangeTable,
    RangeTableRecord,
)

__all__ = [
    "FREE",
    "HELD",
    "KEYS",
    "KEYS_PER_PART",
    "PARTS",
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
    "fair_weight",
    "merges",
    "part_of",
    "plan_keys",
    "work_of",
    "work_sums",
]
