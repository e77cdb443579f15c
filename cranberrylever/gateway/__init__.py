"""The entry that serves routes: choice of targets, limits, retries and the view from control."""

from cranberrylever.gateway._format import AnswerHeaders, CallHeaders, HeaderFormat, Headers, LoadSample
from cranberrylever.gateway._own_format import OwnFormat
from cranberrylever.gateway._program import (
    GatewayProgram,
    GatewayTuning,
    create_gateway,
)

__all__ = [
    "AnswerHeaders",
    "CallHeaders",
    "GatewayProgram",
    "GatewayTuning",
    "HeaderFormat",
    "Headers",
    "LoadSample",
    "OwnFormat",
    "create_gateway",
]
