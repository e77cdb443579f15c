"""Route entry: matches requests to routes, chooses targets by estimated load and retries within limits."""

from cranberrylever.route_entry._default_format import DefaultHeaderFormat
from cranberrylever.route_entry._format import (
    AnswerHeaders,
    CallerHeaders,
    HeaderFormat,
    Headers,
    LoadSample,
    parse_rate,
    read_rest_time,
)
from cranberrylever.route_entry._program import (
    RouteEntryProgram,
    RouteEntryTuning,
    create_route_entry,
)

__all__ = [
    "AnswerHeaders",
    "CallerHeaders",
    "DefaultHeaderFormat",
    "HeaderFormat",
    "Headers",
    "LoadSample",
    "RouteEntryProgram",
    "RouteEntryTuning",
    "create_route_entry",
    "parse_rate",
    "read_rest_time",
]
