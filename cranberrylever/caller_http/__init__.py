"""HTTP server side of both entry programs: listener, end-to-end headers, deadline and disconnect guard."""

from cranberrylever.caller_http._end_to_end import (
    DROPPED_REQUEST_HEADERS,
    HOP_BY_HOP,
    end_to_end_headers,
    named_in_connection,
)
from cranberrylever.caller_http._guard import CALLER_GONE, DEADLINE, RequestGuard, wait_with_timeout
from cranberrylever.caller_http._server import CallerServer, ServerTuning

__all__ = [
    "CALLER_GONE",
    "DEADLINE",
    "DROPPED_REQUEST_HEADERS",
    "HOP_BY_HOP",
    "CallerServer",
    "RequestGuard",
    "ServerTuning",
    "end_to_end_headers",
    "named_in_connection",
    "wait_with_timeout",
]
