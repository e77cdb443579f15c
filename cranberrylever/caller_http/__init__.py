"""HTTP server side of both entry programs: listener, end-to-end headers, deadline and disconnect guard."""

from cranberrylever.caller_http._end_to_end import (
    DROPPED_REQUEST_HEADERS,
    HOP_BY_HOP,
    end_to_end_headers,
    named_in_connection,
)
from cranberrylever.caller_http._guard import CALLER_GONE, DEADLINE, RequestGuard, wait_with_timeout
from cranberrylever.caller_http._running import RunningRequests
from cranberrylever.caller_http._server import CallerServer, ServerTuning
from cranberrylever.caller_http._stop import StopOutcome, finish_requests

__all__ = [
    "CALLER_GONE",
    "DEADLINE",
    "DROPPED_REQUEST_HEADERS",
    "HOP_BY_HOP",
    "CallerServer",
    "RequestGuard",
    "RunningRequests",
    "ServerTuning",
    "StopOutcome",
    "end_to_end_headers",
    "finish_requests",
    "named_in_connection",
    "wait_with_timeout",
]
