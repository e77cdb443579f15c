"""The entry that serves routes: choice of targets, limits, retries and the view from control."""

from cranberrylever.route_entry._default_format import DefaultHeaderFormat
from cranberrylever.route_entry._format import AnswerHeaders, CallHeaders, HeaderFormat, Headers, LoadSample
from cranberrylever.route_entry._program import (
    RouteEntryProgram,
    RouteEntryTuning,
    create_route_entry,
)

__all__ = [
    "AnswerHeaders",
    "CallHeaders",
    "DefaultHeaderFormat",
    "HeaderFormat",
    "Headers",
    "LoadSample",
    "RouteEntryProgram",
    "RouteEntryTuning",
    "create_route_entry",
]
