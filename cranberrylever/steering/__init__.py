"""Control of routes: plans, targets, key ranges and the view of entries."""

from cranberrylever.steering._api import LeaderForwardingApi, create_route_api, json_response
from cranberrylever.steering._http_orders import HttpGrantClient
from cranberrylever.steering._orders import GrantAnswer, GrantClient, KeyGrant
from cranberrylever.steering._own_orders import DefaultGrantClient
from cranberrylever.steering._program import RouteControlProgram, create_route_control
from cranberrylever.steering._service import RouteControlService
from cranberrylever.steering._state import RouteControlState

__all__ = [
    "DefaultGrantClient",
    "GrantAnswer",
    "GrantClient",
    "HttpGrantClient",
    "KeyGrant",
    "LeaderForwardingApi",
    "RouteControlProgram",
    "RouteControlService",
    "RouteControlState",
    "create_route_api",
    "create_route_control",
    "json_response",
]
