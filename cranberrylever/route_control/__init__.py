"""Replicated control program for routes: plans, targets, key ranges and the view for entries."""

from cranberrylever.route_control._announced_grants import (
    AnsweredGrants,
    HeldKeys,
    KeyReport,
    ReleasedKeys,
)
from cranberrylever.route_control._api import LeaderForwardingApi, create_route_api, json_response
from cranberrylever.route_control._default_grant_client import DefaultGrantClient
from cranberrylever.route_control._grant_client import GrantAnswer, GrantClient, KeyGrant
from cranberrylever.route_control._http_grant_client import HttpGrantClient
from cranberrylever.route_control._program import RouteControlProgram, create_route_control
from cranberrylever.route_control._service import RouteControlService
from cranberrylever.route_control._state import RouteControlState

__all__ = [
    "AnsweredGrants",
    "DefaultGrantClient",
    "GrantAnswer",
    "GrantClient",
    "HeldKeys",
    "HttpGrantClient",
    "KeyGrant",
    "KeyReport",
    "LeaderForwardingApi",
    "ReleasedKeys",
    "RouteControlProgram",
    "RouteControlService",
    "RouteControlState",
    "create_route_api",
    "create_route_control",
    "json_response",
]
