"""What both entry programs need towards callers: listener, headers that pass, end of a request."""

from cranberrylever.callers._end_to_end import (
    HOP_BY_HOP,
    REQUEST_DROPPED,
    end_to_end,
    named_in_connection,
)
from cranberrylever.callers._guard import CALLER_GONE, DEADLINE, RequestGuard, wait_with_timeout
from cranberrylever.callers._server import CallerServer, ServerTuning

__all__ = [
    "CALLER_GONE",
    "DEADLINE",
    "HOP_BY_HOP",
    "REQUEST_DROPPED",
    "CallerServer",
    "RequestGuard",
    "ServerTuning",
    "end_to_end",
    "named_in_connection",
    "wait_with_timeout",
]
