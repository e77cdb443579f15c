"""Routing rules of an entry: views, keys, owners and the choice of pooled targets."""

from cranberrylever.routing._chooser import Chooser, LastReport, LeastWait, PowerOfTwoChoices, RoundRobin
from cranberrylever.routing._keys import extract_key, hash_key, split_service
from cranberrylever.routing._methods import is_idempotent
from cranberrylever.routing._table import RoutingTable, ShardOwner, accepts_new_work
from cranberrylever.routing._view import (
    EntryAddress,
    KeySource,
    ServiceView,
    TargetView,
    View,
)

__all__ = [
    "Chooser",
    "LastReport",
    "LeastWait",
    "RoundRobin",
    "PowerOfTwoChoices",
    "EntryAddress",
    "KeySource",
    "ShardOwner",
    "RoutingTable",
    "ServiceView",
    "TargetView",
    "View",
    "accepts_new_work",
    "extract_key",
    "hash_key",
    "is_idempotent",
    "split_service",
]
