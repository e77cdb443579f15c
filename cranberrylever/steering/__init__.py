"""Control of routes: plans, targets, key ranges and the view of entries."""

from cranberrylever.steering._api import LeaderFirstApi, create_route_api, json_answer
from cranberrylever.steering._http_orders import HttpOrders
from cranberrylever.steering._orders import GrantAnswer, KeyGrant, TargetOrders
from cranberrylever.steering._own_orders import OwnOrders
from cranberrylever.steering._program import RouteControlProgram, create_route_control
from cranberrylever.steering._service import RouteControlService
from cranberrylever.steering._state import RouteControlState

__all__ = [
    "GrantAnswer",
    "HttpOrders",
    "KeyGrant",
    "LeaderFirstApi",
    "OwnOrders",
    "RouteControlProgram",
    "RouteControlService",
    "RouteControlState",
    "TargetOrders",
    "create_route_api",
    "create_route_control",
    "json_answer",
]
