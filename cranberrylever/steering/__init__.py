"""Control of routes: plans, targets, key ranges and the view of entries."""

from cranberrylever.steering._api import LeaderForwardingApi, create_route_api, json_response
from cranberrylever.steering._default_grant_client import DefaultGrantClient
from cranberrylever.steering._grant_client import GrantAnswer, GrantClient, KeyGrant
from cranberrylever.steering._http_grant_client import HttpGrantClient
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
