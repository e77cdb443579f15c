"""Route plans: selection of the service of a request, and acceptance of new plans."""

from cranberrylever.route_plan._api_keys import MAX_KEY_BYTES, key_digest, text_key_digest
from cranberrylever.route_plan._changes import PlanChanges, apply_changes, changes_between, share_routes
from cranberrylever.route_plan._matcher import RouteMatcher
from cranberrylever.route_plan._plan import (
    CallerLimits,
    Customer,
    Route,
    RoutedService,
    RoutePlan,
    RouteShare,
    plan_digest,
)
from cranberrylever.route_plan._registry import PlanOutcome, PlanRegistry, PlanRegistryRecord
from cranberrylever.route_plan._rules import plan_problem

__all__ = [
    "MAX_KEY_BYTES",
    "CallerLimits",
    "Customer",
    "PlanChanges",
    "PlanOutcome",
    "PlanRegistry",
    "PlanRegistryRecord",
    "Route",
    "RouteMatcher",
    "RoutePlan",
    "RouteShare",
    "RoutedService",
    "apply_changes",
    "changes_between",
    "key_digest",
    "plan_digest",
    "plan_problem",
    "share_routes",
    "text_key_digest",
]
