"""Listener for callers, and the watch that ends a request with its deadline or its caller."""

from cranberrylever.callers._guard import CALLER_GONE, DEADLINE, RequestGuard, wait_with_timeout
from cranberrylever.callers._server import CallerServer, ServerTuning

__all__ = ["CALLER_GONE", "DEADLINE", "CallerServer", "RequestGuard", "ServerTuning", "wait_with_timeout"]
