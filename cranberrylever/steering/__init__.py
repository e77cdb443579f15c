"""Control of routes: plans, targets, key ranges and the view of entries."""

from cranberrylever.steering._granter import LEASE_S
from cranberrylever.steering._orders import GrantAnswer, KeyGrant, TargetOrders
from cranberrylever.steering._program import SteeringProgram, SteeringSettings, create_steering
from cranberrylever.steering._service import SteeringService
from cranberrylever.steering._state import SteeringState

__all__ = [
    "LEASE_S",
    "GrantAnswer",
    "KeyGrant",
    "SteeringProgram",
    "SteeringService",
    "SteeringSettings",
    "SteeringState",
    "TargetOrders",
    "create_steering",
]
