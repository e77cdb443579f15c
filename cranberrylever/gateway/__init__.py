"""The entry that serves routes: choice of targets, limits, retries and the view from control."""

from cranberrylever.gateway._format import AnswerHeaders, CallHeaders, HeaderFormat, Headers, LoadSample
from cranberrylever.gateway._limits import LimitRules
from cranberrylever.gateway._program import (
    GatewayProgram,
    GatewaySettings,
    GatewayTuning,
    create_gateway,
)

__all__ = [
    "AnswerHeaders",
    "CallHeaders",
    "GatewayProgram",
    "GatewaySettings",
    "GatewayTuning",
    "HeaderFormat",
    "Headers",
    "LimitRules",
    "LoadSample",
    "create_gateway",
]
